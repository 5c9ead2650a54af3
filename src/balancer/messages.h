#ifndef GCW_BALANCER_MESSAGES_H_
#define GCW_BALANCER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/cluster/platform_caller.h"
#include "gcw/config/snapshot.h"
#include "gcw/control/control_transport.h"
#include "gcw/membership/member.h"
#include "gcw/membership/membership.h"
#include "gcw/relay/versioned_relay.h"
#include "gcw/routing/routing_policy.h"
#include "src/balancer/status_reply.h"

namespace gcw::balancer {

// The names under which the tasks register with the kernel.
inline constexpr std::string_view kPacketService = "packet";
inline constexpr std::string_view kDispatchService = "dispatch";
inline constexpr std::string_view kClusterService = "cluster";
inline constexpr std::string_view kPlatformService = "platform";
inline constexpr std::string_view kStatusWriterService = "status-writer";

// The configuration is another than before.
struct ConfigChanged {
  config::SnapshotPtr snapshot;
};

// The live members, this daemon included.
struct MembersChanged {
  std::vector<membership::Member> members;
  bool self_leaving = false;
};

// The configuration was as new as that of the daemons that relay it.
struct Fresh {};

// Control bytes of another daemon for one library.
struct PeerBytes {
  std::string from;
  std::vector<std::uint8_t> bytes;
};

// What requests have shown of the backend servers.
struct ServerHintsChanged {
  std::vector<routing::ServerShareLimit> hints;
};

// An inner packet for the fabric.
struct SendToFabric {
  std::vector<std::uint8_t> packet;
};

// Begin to leave: no new work, hand over, then report drained in the status.
struct BeginShutdown {};

// Nothing is held any more: tell the other daemons that this one is gone.
struct FinishShutdown {};

// Put the part's status into `reply`.
struct StatusRequest {
  std::shared_ptr<StatusReply> reply;
};

// A datagram of a caller to a service address.
struct CallerDatagram {
  Endpoint caller;
  Endpoint service_address;
  std::vector<std::uint8_t> payload;
};

// A backend server answered with RST to established flows of several callers:
// it has restarted without notice.
struct FlowsLost {
  Endpoint server;
};

// Control bytes to send to another daemon.
struct SendControl {
  std::string to;
  control::MessageType type = control::MessageType::kRelay;
  std::vector<std::uint8_t> bytes;
};

// The platform's answers, each with the id of its call.
using PlatformListed = cluster::PlatformListed;
using PlatformWatched = cluster::PlatformWatched;
using PlatformFailed = cluster::PlatformFailed;

struct PlatformVms {
  std::vector<membership::Seed> seeds;
};

using PacketMessage = std::variant<ConfigChanged,
                                   MembersChanged,
                                   Fresh,
                                   PeerBytes,
                                   ServerHintsChanged,
                                   SendToFabric,
                                   BeginShutdown,
                                   StatusRequest>;

using DispatchMessage = std::variant<ConfigChanged,
                                     MembersChanged,
                                     PeerBytes,
                                     CallerDatagram,
                                     FlowsLost,
                                     BeginShutdown,
                                     StatusRequest>;

using ClusterMessage = std::variant<SendControl,
                                    PlatformListed,
                                    PlatformWatched,
                                    PlatformFailed,
                                    PlatformVms,
                                    BeginShutdown,
                                    FinishShutdown,
                                    StatusRequest>;

// Reports of other daemons come as PeerBytes.
using StatusWriterMessage = std::variant<MembersChanged, PeerBytes>;

// Calls that the platform task makes.
using PlatformMessage = std::variant<relay::PlatformCall>;

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_MESSAGES_H_
