#ifndef GCW_WIRE_PACKET_H_
#define GCW_WIRE_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "gcw/base/endpoint.h"

namespace gcw::wire {

enum class Protocol : std::uint8_t { kTcp = 6, kUdp = 17 };

// The TCP flags that routing depends on.
struct TcpFlags {
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;

  bool operator==(const TcpFlags&) const = default;
};

// A parsed view of one complete IPv4 packet. The spans point into the buffer
// given to Parse(), which must outlive the view. Parsing allocates no memory.
struct PacketView {
  Endpoint source;
  Endpoint destination;
  Protocol protocol = Protocol::kTcp;
  TcpFlags tcp;
  std::uint32_t sequence = 0;             // TCP only.
  std::uint32_t acknowledgement = 0;      // TCP only.
  std::span<const std::uint8_t> payload;  // Of the TCP segment or UDP datagram.
  std::span<const std::uint8_t> packet;   // Headers and payload.

  // Parses an IPv4 packet that carries TCP or UDP and is not a fragment.
  // Ignores bytes after the IP total length and does not check checksums.
  // Returns nothing if the packet is truncated or of another kind. Thread-safe.
  static std::optional<PacketView> Parse(std::span<const std::uint8_t> bytes);
};

// The addresses and TCP header fields for BuildTcpPacket.
struct TcpHeader {
  Endpoint source;
  Endpoint destination;
  TcpFlags flags;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
};

// Maximum payload of BuildTcpPacket and BuildUdpPacket, in bytes.
inline constexpr std::size_t kMaxPayload = 1400;

// Builds a complete IPv4/TCP packet with valid checksums. Precondition:
// payload.size() <= kMaxPayload. Thread-safe.
std::vector<std::uint8_t> BuildTcpPacket(const TcpHeader& header,
                                         std::span<const std::uint8_t> payload);

// Builds a complete IPv4/UDP packet with valid checksums. Precondition:
// payload.size() <= kMaxPayload. Thread-safe.
std::vector<std::uint8_t> BuildUdpPacket(const Endpoint& source,
                                         const Endpoint& destination,
                                         std::span<const std::uint8_t> payload);

// Builds the RST that answers `packet`, with the sequence numbers that RFC 9293
// section 3.10.7.1 requires, so that the sender of `packet` accepts the RST.
// Precondition: `packet` is TCP. Thread-safe.
std::vector<std::uint8_t> BuildReset(const PacketView& packet);

}  // namespace gcw::wire

#endif  // GCW_WIRE_PACKET_H_
