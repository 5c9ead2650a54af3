#ifndef SRC_LAB_INNER_PACKET_H_
#define SRC_LAB_INNER_PACKET_H_

#include <cstdint>
#include <optional>
#include <span>

#include "gcw/base/endpoint.h"
#include "src/lab/udp_port.h"

namespace gcw::lab {

// The emulated callers and servers have an encoder and a decoder of their own
// and share none with the daemons, so that a fault in either shows as a
// mismatch.

enum TcpFlags : std::uint8_t {
  kTcpFin = 0x01,
  kTcpSyn = 0x02,
  kTcpRst = 0x04,
  kTcpPsh = 0x08,
  kTcpAck = 0x10,
};

// An IPv4 packet that carries TCP (a packet of a flow) or UDP (a request or
// its answer). `payload` is not owned: after decoding it points into the
// decoded bytes.
struct InnerPacket {
  bool is_tcp = true;
  Endpoint source;
  Endpoint destination;
  std::uint8_t flags = 0;  // TCP only.
  std::uint32_t seq = 0;   // TCP only.
  std::uint32_t ack = 0;   // TCP only.
  std::span<const std::uint8_t> payload;
};

// Encodes the packet with correct lengths and checksums. Thread-safe.
Bytes EncodePacket(const InnerPacket& packet);

// Returns nothing if `bytes` is not a complete TCP or UDP packet. Does not
// verify checksums. Thread-safe.
std::optional<InnerPacket> DecodePacket(std::span<const std::uint8_t> bytes);

// The payload of each packet that a backend server sends in a flow. From this
// payload the caller detects a change of server or connection.
struct FlowReply {
  std::uint32_t server = 0;       // Index of the server.
  std::uint32_t seq = 0;          // `seq` of the packet that is answered.
  std::uint64_t connection = 0;   // Identifies the connection.
  std::uint64_t incarnation = 0;  // Incarnation of the server.
};

// Returns the bytes of `reply` for the payload of a packet. Thread-safe.
Bytes EncodeFlowReply(const FlowReply& reply);
// Returns nothing if `payload` is no FlowReply, for example in a reset that a
// daemon sent. Thread-safe.
std::optional<FlowReply> DecodeFlowReply(std::span<const std::uint8_t> payload);

}  // namespace gcw::lab

#endif  // SRC_LAB_INNER_PACKET_H_
