#include "gcw/wire/relay_header.h"

#include <endian.h>

#include <cstring>

namespace gcw::wire {
namespace {

// GUE (draft-ietf-intarea-gue) gives the header length in 32-bit words, not
// counting the first word. The private flag says that private data follows.
constexpr std::uint8_t kHeaderWords = (RelayHeader::kSize - 4) / 4;
constexpr std::uint8_t kProtocolIpv4 = 4;
constexpr std::uint8_t kPrivateFlag = 0x01;

// Byte offsets of the fields.
constexpr std::size_t kHopsOffset = 4;
constexpr std::size_t kVisitedOffset = 6;
constexpr std::size_t kRevisionOffset = 8;
constexpr std::size_t kServiceOffset = 16;
constexpr std::size_t kPlacementOffset = 24;

void Store16(std::uint8_t* target, std::uint16_t value) {
  const std::uint16_t big_endian = htobe16(value);
  std::memcpy(target, &big_endian, sizeof(big_endian));
}

std::uint16_t Load16(const std::uint8_t* source_bytes) {
  std::uint16_t big_endian = 0;
  std::memcpy(&big_endian, source_bytes, sizeof(big_endian));
  return be16toh(big_endian);
}

void Store64(std::uint8_t* target, std::uint64_t value) {
  const std::uint64_t big_endian = htobe64(value);
  std::memcpy(target, &big_endian, sizeof(big_endian));
}

std::uint64_t Load64(const std::uint8_t* source_bytes) {
  std::uint64_t big_endian = 0;
  std::memcpy(&big_endian, source_bytes, sizeof(big_endian));
  return be64toh(big_endian);
}

}  // namespace

std::array<std::uint8_t, RelayHeader::kSize> RelayHeader::Encode() const {
  std::array<std::uint8_t, kSize> bytes{};
  bytes[0] = kHeaderWords;
  bytes[1] = kProtocolIpv4;
  bytes[3] = kPrivateFlag;
  bytes[kHopsOffset] = hops;
  Store16(&bytes[kVisitedOffset], visited);
  Store64(&bytes[kRevisionOffset], revision);
  Store64(&bytes[kServiceOffset], service);
  Store64(&bytes[kPlacementOffset], placement);
  return bytes;
}

std::optional<RelayHeader> RelayHeader::Decode(
    std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kSize || bytes[0] != kHeaderWords ||
      bytes[1] != kProtocolIpv4 || bytes[3] != kPrivateFlag) {
    return std::nullopt;
  }
  RelayHeader header;
  header.hops = bytes[kHopsOffset];
  header.visited = Load16(&bytes[kVisitedOffset]);
  header.revision = Load64(&bytes[kRevisionOffset]);
  header.service = Load64(&bytes[kServiceOffset]);
  header.placement = Load64(&bytes[kPlacementOffset]);
  return header;
}

}  // namespace gcw::wire
