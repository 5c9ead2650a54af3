#include "gcw/wire/relay_header.h"

#include <endian.h>

#include <cstring>

namespace gcw::wire {
namespace {

// GUE (draft-ietf-intarea-gue) counts its header length in words after the
// first; the private flag says that private data follows.
constexpr std::uint8_t kHeaderWords = (RelayHeader::kSize - 4) / 4;
constexpr std::uint8_t kProtocolIpv4 = 4;
constexpr std::uint8_t kPrivateFlag = 0x01;

constexpr std::size_t kHopsAt = 4;
constexpr std::size_t kVisitedAt = 6;
constexpr std::size_t kRevisionAt = 8;
constexpr std::size_t kServiceAt = 16;
constexpr std::size_t kPlacementAt = 24;

void Store16(std::uint8_t* to, std::uint16_t value) {
  const std::uint16_t big = htobe16(value);
  std::memcpy(to, &big, sizeof(big));
}

std::uint16_t Load16(const std::uint8_t* from) {
  std::uint16_t big = 0;
  std::memcpy(&big, from, sizeof(big));
  return be16toh(big);
}

void Store64(std::uint8_t* to, std::uint64_t value) {
  const std::uint64_t big = htobe64(value);
  std::memcpy(to, &big, sizeof(big));
}

std::uint64_t Load64(const std::uint8_t* from) {
  std::uint64_t big = 0;
  std::memcpy(&big, from, sizeof(big));
  return be64toh(big);
}

}  // namespace

std::array<std::uint8_t, RelayHeader::kSize> RelayHeader::Encode() const {
  std::array<std::uint8_t, kSize> bytes{};
  bytes[0] = kHeaderWords;
  bytes[1] = kProtocolIpv4;
  bytes[3] = kPrivateFlag;
  bytes[kHopsAt] = hops;
  Store16(&bytes[kVisitedAt], visited);
  Store64(&bytes[kRevisionAt], revision);
  Store64(&bytes[kServiceAt], service);
  Store64(&bytes[kPlacementAt], placement);
  return bytes;
}

std::optional<RelayHeader> RelayHeader::Decode(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kSize || bytes[0] != kHeaderWords ||
      bytes[1] != kProtocolIpv4 || bytes[3] != kPrivateFlag) {
    return std::nullopt;
  }
  RelayHeader header;
  header.hops = bytes[kHopsAt];
  header.visited = Load16(&bytes[kVisitedAt]);
  header.revision = Load64(&bytes[kRevisionAt]);
  header.service = Load64(&bytes[kServiceAt]);
  header.placement = Load64(&bytes[kPlacementAt]);
  return header;
}

}  // namespace gcw::wire
