#ifndef REVIEW_STAND_INS_3_PACKET_H_
#define REVIEW_STAND_INS_3_PACKET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "review/stand-ins-3/net.h"

namespace review3 {

inline constexpr std::uint8_t kSyn = 128;
inline constexpr std::uint8_t kAck = 32;
inline constexpr std::uint8_t kFin = 16;
inline constexpr std::uint8_t kRst = 4;
inline constexpr std::size_t kHeaderBytes = 34;

// One packet as PROTOCOL.md, "Packets", tells it.
struct FlowPacket {
  Address from;
  Address to;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  std::uint32_t sum = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

namespace internal {

inline void Put(std::string& bytes,
                std::size_t at,
                std::size_t count,
                std::uint32_t value) {
  for (std::size_t i = 0; i < count; ++i) {
    bytes[at + i] = static_cast<char>(value >> (8 * i) & 255);
  }
}

inline std::uint32_t Take(const std::string& bytes,
                          std::size_t at,
                          std::size_t count) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < count; ++i) {
    value |=
        static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i]))
        << (8 * i);
  }
  return value;
}

// The sum over all but `echo` and `sum`; never 0, which is that of a reset of
// the system.
inline std::uint32_t SumOf(std::string bytes) {
  bytes.replace(26, 8, 8, '\0');
  const auto hash = static_cast<std::uint32_t>(std::hash<std::string>{}(bytes));
  return std::max<std::uint32_t>(hash, 1);
}

}  // namespace internal

inline std::string Encode(const FlowPacket& packet) {
  std::string bytes(kHeaderBytes, '\0');
  internal::Put(bytes, 0, 4, packet.from.ip);
  internal::Put(bytes, 4, 4, packet.to.ip);
  internal::Put(bytes, 8, 2, packet.from.port);
  internal::Put(bytes, 10, 2, packet.to.port);
  internal::Put(bytes, 12, 2, static_cast<std::uint32_t>(packet.data.size()));
  internal::Put(bytes, 14, 1, packet.flags);
  internal::Put(bytes, 18, 4, packet.seq);
  internal::Put(bytes, 22, 4, packet.ack);
  internal::Put(bytes, 26, 4, packet.echo);
  bytes += packet.data;
  internal::Put(bytes, 30, 4, internal::SumOf(bytes));
  return bytes;
}

// Decodes a packet. Returns nothing if its form or its sum is wrong; a reset
// may have the sum 0, which is that of the system.
inline std::optional<FlowPacket> Decode(const std::string& bytes) {
  if (bytes.size() < kHeaderBytes ||
      bytes.size() != kHeaderBytes + internal::Take(bytes, 12, 2)) {
    return std::nullopt;
  }
  FlowPacket packet;
  packet.from = {internal::Take(bytes, 0, 4),
                 static_cast<std::uint16_t>(internal::Take(bytes, 8, 2))};
  packet.to = {internal::Take(bytes, 4, 4),
               static_cast<std::uint16_t>(internal::Take(bytes, 10, 2))};
  packet.flags = static_cast<std::uint8_t>(internal::Take(bytes, 14, 1));
  packet.seq = internal::Take(bytes, 18, 4);
  packet.ack = internal::Take(bytes, 22, 4);
  packet.echo = internal::Take(bytes, 26, 4);
  packet.sum = internal::Take(bytes, 30, 4);
  packet.data = bytes.substr(kHeaderBytes);
  if (packet.sum == 0 ? !packet.has(kRst)
                      : packet.sum != internal::SumOf(bytes)) {
    return std::nullopt;
  }
  return packet;
}

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_PACKET_H_
