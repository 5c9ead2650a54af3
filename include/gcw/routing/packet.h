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

// What routing needs to know of one packet of a flow. Both directions name the
// flow alike: a reply has the same `source` and `service_address` as the
// packets that it answers.
struct FlowPacket {
  Endpoint source;  // The caller.
  Endpoint service_address;
  TcpFlags flags;
  std::uint32_t length = 0;   // Bytes of the inner IP packet.
  std::uint32_t payload = 0;  // Bytes of TCP payload; 0 needs no answer.
};

// The names that two daemons use for one service or one incarnation of a
// backend server; 0 is none.
using ServiceId = std::uint64_t;
using ServerId = std::uint64_t;

// The identity of the service called `name`. Thread-safe.
ServiceId ServiceIdOf(std::string_view name);

// The identity of one incarnation of a backend server: a server made anew or
// moved to another address is another one. Thread-safe.
ServerId ServerIdOf(const config::BackendServer& server);

// What travels with a packet that one daemon relays to another.
struct RelayHeader {
  // Relays so far; 1 on the first.
  std::uint8_t hops = 0;
  // The configuration revision of the daemon that sent this packet on.
  config::Version revision = 0;
  // The service that the sender holds the destination address to be.
  ServiceId service = 0;
  // The backend server that the sender chose for this flow, or 0 if the
  // receiver decides. The receiver keeps it before the packet goes on, so
  // that two daemons know the flow before its server does.
  ServerId placement = 0;
  // One bit for each daemon that the packet has passed.
  std::uint16_t visited = 0;

  bool operator==(const RelayHeader&) const = default;
};

enum class Action : std::uint8_t {
  kForward,  // To `server`.
  kRelay,    // To the daemon `member`, with `header`.
  kReset,    // Answer the caller with RST: the flow is given up.
  kDrop,
};

// What to do with one packet. A value without ownership: the views point into
// the policy and stay valid until its next ApplySnapshot or ApplyMembers.
struct Decision {
  Action action = Action::kDrop;
  // Why, for kReset and kDrop; kOk otherwise.
  ResultCode code = ResultCode::kOk;
  // kForward: this daemon chose the server just now (one log line).
  bool new_flow = false;
  // kForward: the destination is not the one that the table names.
  bool deviates_from_table = false;
  Endpoint server;
  std::string_view server_name;
  std::string_view service_name;
  std::string_view member;
  RelayHeader header;
};

// What to do with a packet that a backend server sent to a caller.
struct ReplyDecision {
  // Whether the server may speak for that service address to that caller.
  bool accept = false;
  // Why not; kOk if accepted.
  ResultCode code = ResultCode::kOk;
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_PACKET_H_
