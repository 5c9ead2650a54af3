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

// The TCP flags that routing looks at.
struct TcpFlags {
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;

  bool operator==(const TcpFlags&) const = default;
};

// A parsed view of one whole IPv4 packet. Views point into the caller's
// buffer, which must outlive them. Parsing allocates nothing.
struct PacketView {
  Endpoint source;
  Endpoint destination;
  Protocol protocol = Protocol::kTcp;
  TcpFlags tcp;
  std::uint32_t sequence = 0;         // TCP only.
  std::uint32_t acknowledgement = 0;  // TCP only.
  std::span<const std::uint8_t> payload;
  std::span<const std::uint8_t> packet;  // Headers and payload.

  // Parses an IPv4 packet that carries TCP or UDP and is not a fragment.
  // Bytes after the IP total length are ignored. Returns nothing if the packet
  // is cut or is of another kind. Thread-safe.
  static std::optional<PacketView> Parse(std::span<const std::uint8_t> bytes);
};

// The addresses and TCP fields of a packet to build.
struct TcpHeader {
  Endpoint source;
  Endpoint destination;
  TcpFlags flags;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
};

// Largest payload that the builders take, in bytes.
inline constexpr std::size_t kMaxPayload = 1400;

// Builds a whole IPv4/TCP packet with valid checksums. Precondition:
// payload.size() <= kMaxPayload. Thread-safe.
std::vector<std::uint8_t> BuildTcpPacket(const TcpHeader& header,
                                         std::span<const std::uint8_t> payload);

// Builds a whole IPv4/UDP packet with valid checksums. Precondition:
// payload.size() <= kMaxPayload. Thread-safe.
std::vector<std::uint8_t> BuildUdpPacket(const Endpoint& source,
                                         const Endpoint& destination,
                                         std::span<const std::uint8_t> payload);

// Builds the RST that answers `packet`, with the sequence numbers that RFC 9293
// section 3.10.7.1 asks for, so that its sender accepts it. Precondition: the
// packet is TCP. Thread-safe.
std::vector<std::uint8_t> BuildReset(const PacketView& packet);

}  // namespace gcw::wire

#endif  // GCW_WIRE_PACKET_H_
