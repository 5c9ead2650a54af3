#ifndef GCW_ROUTING_PACKET_H_
#define GCW_ROUTING_PACKET_H_

#include <cstdint>
#include <string_view>

#include "gcw/base/endpoint.h"
#include "gcw/base/result_code.h"
#include "gcw/config/resources.h"

namespace gcw::routing {

struct TcpFlags {
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;

  bool operator==(const TcpFlags&) const = default;
};

// The parts of one packet that routing decides by. Both directions name the
// flow alike: a reply carries the same `source` and `service_address` as the
// packets that it answers.
struct FlowPacket {
  Endpoint source;  // Address of the caller.
  Endpoint service_address;
  TcpFlags flags;
  // Length of the inner IP packet in bytes.
  std::uint32_t length = 0;
  // TCP payload in bytes. A packet without payload needs no answer.
  std::uint32_t payload = 0;
};

// Identifiers that are the same on every daemon: of a service, and of one
// incarnation of a backend server. 0 means none.
using ServiceId = std::uint64_t;
using ServerId = std::uint64_t;

// Returns the identifier of the service `name`. Thread-safe.
ServiceId ServiceIdOf(std::string_view name);

// Returns the identifier of the current incarnation of `server`. A server that
// is created again or moved to another address is a new incarnation.
// Thread-safe.
ServerId ServerIdOf(const config::BackendServer& server);

// Routing metadata sent along with a packet that one daemon relays to another.
struct RelayHeader {
  // Number of relays so far; 1 after the first.
  std::uint8_t hops = 0;
  // Configuration revision of the daemon that relays the packet.
  config::Version revision = 0;
  // The service that owns the destination address in the configuration of the
  // sender.
  ServiceId service = 0;
  // The backend server that the sender chose for this flow, or 0 if the
  // receiver decides. The receiver records the choice before it passes the
  // packet on, so that two daemons have the record before the server sees the
  // flow.
  ServerId placement = 0;
  // One bit for each daemon, set for the daemons that the packet has passed.
  std::uint16_t visited = 0;

  bool operator==(const RelayHeader&) const = default;
};

// What to do with a packet.
enum class Action : std::uint8_t {
  kForward,  // Send to the backend server `Decision::server`.
  kRelay,    // Send to the daemon `Decision::member` with `header`.
  kReset,    // Send an RST to the caller: the flow cannot go on.
  kDrop,     // Discard without an answer.
};

// The decision for one packet. Does not own its strings: the views point into
// the policy and stay valid until the next ApplySnapshot or ApplyMembers.
struct Decision {
  Action action = Action::kDrop;
  // The reason for kReset and kDrop; kOk otherwise.
  ResultCode code = ResultCode::kOk;
  // This daemon placed a new flow with this packet. Set for kForward, and for
  // kRelay if the packet goes to the server by way of another holder.
  bool new_flow = false;
  // The server of the new flow is not the base server, the one that the oldest
  // table still in use names, so the flow is recorded. Set together with
  // `new_flow`.
  bool deviates_from_table = false;
  Endpoint server;
  std::string_view server_name;
  std::string_view service_name;
  std::string_view member;
  RelayHeader header;
};

// The decision for a packet that a backend server sent to a caller.
struct ReplyDecision {
  // Whether the server may send from this service address to this caller. If
  // not, the packet is dropped.
  bool accept = false;
  // The reason for a refusal; kOk if accepted.
  ResultCode code = ResultCode::kOk;
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_PACKET_H_
