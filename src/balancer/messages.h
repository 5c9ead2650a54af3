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
#include "src/balancer/status_collector.h"

namespace gcw::balancer {

// The names under which the tasks register their services with the kernel
// registry.
inline constexpr std::string_view kPacketService = "packet";
inline constexpr std::string_view kDispatchService = "dispatch";
inline constexpr std::string_view kClusterService = "cluster";
inline constexpr std::string_view kPlatformService = "platform";
inline constexpr std::string_view kStatusWriterService = "status-writer";

// The daemon has applied a different configuration.
struct ConfigChanged {
  config::SnapshotPtr snapshot;
};

// The list of live members or the state of one of them has changed.
struct MembersChanged {
  std::vector<membership::Member> members;  // Includes this daemon.
  // Whether this daemon has begun its graceful shutdown.
  bool self_leaving = false;
};

// An answer of the platform has just shown that this daemon's configuration is
// up to date.
struct ConfigCurrent {};

// The payload of a control message from another daemon. The task that receives
// it passes it to the library that it drives.
struct ControlPayload {
  std::string from;  // Name of the sending daemon.
  std::vector<std::uint8_t> bytes;
};

// Limits on the new flows of backend servers that are ejected or cold, as the
// dispatcher observed from requests. Replaces all earlier limits.
struct ServerShareLimitsChanged {
  std::vector<routing::ServerShareLimit> limits;
};

// Asks the packet task to send a complete IP packet to the fabric.
struct SendToFabric {
  std::vector<std::uint8_t> packet;
};

// Begins the graceful shutdown: the task accepts no new work, hands its state
// over to other daemons and then reports in its status that it is drained.
struct BeginShutdown {};

// Ends the graceful shutdown: the cluster task tells the other daemons that
// this one has left.
struct FinishShutdown {};

// Asks a task to add its status to `collector`.
struct StatusRequest {
  std::shared_ptr<StatusCollector> collector;
};

// A request datagram from a caller to a service address.
struct CallerDatagram {
  Endpoint caller;
  Endpoint service_address;
  std::vector<std::uint8_t> payload;
};

// The backend server at `server` reset established flows of several callers,
// which means that it has restarted.
struct FlowsLost {
  Endpoint server;
};

// Asks the cluster task to send a control message to another daemon.
struct SendControl {
  std::string to;  // Name of the receiving daemon.
  control::MessageType type = control::MessageType::kRelay;
  std::vector<std::uint8_t> bytes;
};

// Outcomes of platform calls, each with the id of its call.
using PlatformListed = cluster::PlatformListed;
using PlatformWatched = cluster::PlatformWatched;
using PlatformFailed = cluster::PlatformFailed;

// The VMs that the platform lists, as addresses at which the membership can
// look for other daemons.
struct PlatformVms {
  std::vector<membership::Seed> seeds;
};

// Messages that the packet task accepts.
using PacketMessage = std::variant<ConfigChanged,
                                   MembersChanged,
                                   ConfigCurrent,
                                   ControlPayload,
                                   ServerShareLimitsChanged,
                                   SendToFabric,
                                   BeginShutdown,
                                   StatusRequest>;

// Messages that the dispatch task accepts.
using DispatchMessage = std::variant<ConfigChanged,
                                     MembersChanged,
                                     ControlPayload,
                                     CallerDatagram,
                                     FlowsLost,
                                     BeginShutdown,
                                     StatusRequest>;

// Messages that the cluster task accepts.
using ClusterMessage = std::variant<SendControl,
                                    PlatformListed,
                                    PlatformWatched,
                                    PlatformFailed,
                                    PlatformVms,
                                    BeginShutdown,
                                    FinishShutdown,
                                    StatusRequest>;

// Messages that the status writer task accepts. Status reports of other daemons
// arrive as ControlPayload.
using StatusWriterMessage = std::variant<MembersChanged, ControlPayload>;

// Messages that the platform task accepts: calls to make to the platform.
using PlatformMessage = std::variant<relay::PlatformCall>;

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_MESSAGES_H_
