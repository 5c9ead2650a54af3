#ifndef SRC_LAB_INNER_PACKET_H_
#define SRC_LAB_INNER_PACKET_H_

#include <cstdint>
#include <optional>
#include <span>

#include "gcw/base/endpoint.h"
#include "src/lab/udp_port.h"

namespace gcw::lab {

// The stand-ins build and read packets by themselves, apart from the daemons'
// own code, so that a fault in the one shows at the other.

enum TcpFlags : std::uint8_t {
  kTcpFin = 0x01,
  kTcpSyn = 0x02,
  kTcpRst = 0x04,
  kTcpPsh = 0x08,
  kTcpAck = 0x10,
};

// An IPv4 packet that carries TCP (a packet of a flow) or UDP (a request or
// its answer). `payload` points into the bytes that were decoded.
struct InnerPacket {
  bool is_tcp = true;
  Endpoint source;
  Endpoint destination;
  std::uint8_t flags = 0;  // TCP only.
  std::uint32_t seq = 0;   // TCP only.
  std::uint32_t ack = 0;   // TCP only.
  std::span<const std::uint8_t> payload;
};

// Builds the packet with right lengths and checksums. Thread-safe.
Bytes EncodePacket(const InnerPacket& packet);

// Nothing if `bytes` is not a whole TCP or UDP packet. Thread-safe.
std::optional<InnerPacket> DecodePacket(std::span<const std::uint8_t> bytes);

// What a backend server tells the caller in each reply of a flow.
struct FlowReply {
  std::uint32_t server = 0;  // Index of the server.
  std::uint32_t seq = 0;     // Sequence number that is answered.
  std::uint64_t connection = 0;
  std::uint64_t incarnation = 0;  // Of the server.
};

Bytes EncodeFlowReply(const FlowReply& reply);
// Nothing if `payload` is not a reply, for example in a reset by a daemon.
std::optional<FlowReply> DecodeFlowReply(std::span<const std::uint8_t> payload);

}  // namespace gcw::lab

#endif  // SRC_LAB_INNER_PACKET_H_
