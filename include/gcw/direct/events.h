#ifndef GCW_DIRECT_EVENTS_H_
#define GCW_DIRECT_EVENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"

namespace gcw::direct {

// Why a packet was forwarded, reset or dropped. Logs and metrics use the names
// given by ReasonName().
enum class Reason : std::uint8_t {
  kEstablished,      // Forwarded to the server of its flow.
  kPlaced,           // SYN, forwarded to a newly chosen server.
  kPlacedAgain,      // Retransmitted SYN; placed anew, elsewhere if possible.
  kStillAnswering,   // Forwarded: no store entry, but the server may live.
  kUnknownRoute,     // Reset: no route has the destination address.
  kNoServer,         // Reset: no server can take a new flow.
  kOverloaded,       // Reset: the service is overloaded.
  kServerGone,       // Reset: no store entry, and the store was healthy.
  kServerRestarted,  // Reset: the server runs as another incarnation.
  kServerRefuses,    // Reset: the server's address refuses connections.
  kServerSilent,     // Reset: the server answers neither data nor probes.
  kCookieUnknown,    // Reset: no server that the store lists has that cookie.
  kCookiePending,    // Dropped: the server may not have been read yet.
  kNoCookie,         // Dropped: not a SYN, and without a cookie.
  kNotSynced,        // Dropped: state not yet read from the store.
  kLeftToOthers,     // Dropped: this daemon reaches too few servers; after a
                     // retransmission another daemon may serve the flow.
  kWaitedOutPause,   // Dropped: queued while this process was paused.
  kMalformed,        // Dropped: truncated, or with inconsistent lengths.
};
inline constexpr std::size_t kReasonCount = 18;

// The name of `reason`, for example "placed". Thread-safe.
std::string_view ReasonName(Reason reason);

// State of a backend server according to its entry in the store.
enum class Presence : std::uint8_t {
  kListed,
  kUnreadable,  // The entry cannot be parsed: no new flows.
  kLapsed,      // The entry vanished without a drain and may reappear.
  kGone,        // The entry vanished after a drain, or has not reappeared.
  kRestarted,   // A newer incarnation has the same name.
};
// The name of `presence`, for example "listed". Thread-safe.
std::string_view PresenceName(Presence presence);

// Reachability of a backend server according to packets and probes.
enum class Reach : std::uint8_t {
  kGood,
  kSuspect,  // Data or a SYN went unanswered; probes have yet to decide.
  kRefuses,  // Its address refuses connections.
  kSilent,   // Probes time out.
};
// The name of `reach`, for example "good". Thread-safe.
std::string_view ReachName(Reach reach);

// How many servers of a service could not take a new flow. Each is counted
// once, under the first reason that applies.
struct ExcludedServers {
  // Draining, gone, with an unreadable store entry, or with the same identity
  // (cookie or key) as another server by chance.
  std::uint32_t leaving = 0;
  std::uint32_t zone_out = 0;  // In a zone taken out of service.
  std::uint32_t lost = 0;      // Suspected or known to be unreachable.
  // At the flow limit of the service or, while cold, at the rate limit.
  std::uint32_t limited = 0;
};

// A new flow was placed on a server.
struct FlowOpened {
  FlowKey flow;
  Reason reason = Reason::kPlaced;
  std::string server;
  std::string server_zone;
  std::uint32_t repeat = 0;        // Retransmissions of the SYN so far.
  std::uint32_t server_flows = 0;  // Open flows of this daemon on the server.
  // Servers that were compared: of a large service, some that were drawn.
  std::uint32_t candidates = 0;
  // Placed in another availability zone because the own zone is near its
  // capacity.
  bool overflow = false;
  Version configuration = 0;   // Configuration::version.
  absl::Duration servers_age;  // Since the server list was confirmed.
};

// A flow was reset, or a packet was dropped.
struct FlowRefused {
  FlowKey flow;
  Reason reason = Reason::kUnknownRoute;
  std::string server;  // Empty if the packet belongs to no known server.
  FlowCookie cookie = 0;
  absl::Duration evidence_age;  // How long the reason has been known.
  ExcludedServers excluded;     // Set for a SYN that no server could take.
  // Set for kOverloaded: the share of the service's new flows that are
  // admitted.
  double admitted_share = 1;
  // Set for kOverloaded: the priority of the route; 0 is the most important.
  std::uint32_t priority = 0;
  // Set for kOverloaded: whether the caller opened many more flows than the
  // other callers.
  bool over_caller_limit = false;
  // Set for kOverloaded: whether recent figures of the whole fleet were known.
  // If not, the load was estimated from this daemon's flows.
  bool figures_recent = false;
  Version configuration = 0;   // Configuration::version.
  absl::Duration servers_age;  // Since the server list was confirmed.
};

// A caller retransmitted data that its server has not acknowledged.
struct FlowStalled {
  FlowKey flow;
  std::string server;
  absl::Duration waiting;  // Since the data was first seen.
  // Since the server last answered a SYN or data on any flow.
  absl::Duration server_silence;
};

// A new configuration is in force.
struct ConfigurationApplied {
  Version configuration = 0;  // Configuration::version.
  Version revision = 0;       // The store's.
  std::uint32_t routes = 0;
  std::uint32_t services = 0;
};

// A backend server is new, or its entry in the store changed.
struct ServerChanged {
  std::string server;
  std::string service;
  std::string zone;
  Presence presence = Presence::kListed;
  bool draining = false;
  absl::Duration cold_for;          // For how long the server stays cold.
  std::int64_t incarnation = 0;     // BackendServer::incarnation.
  std::uint64_t report_number = 0;  // BackendServer::report_number.
  Version revision = 0;
};

// Packets or probes changed the reachability of a backend server.
struct ServerReachChanged {
  std::string server;
  std::string zone;
  Reach reach = Reach::kGood;
  absl::Duration silence;  // Since the server last answered on any flow.
  std::uint32_t failed_probes = 0;  // In a row.
};

// Operators took an availability zone out of service, or put it back.
struct ZoneChanged {
  std::string zone;
  bool out = false;  // Whether the zone is out of service now.
  Version revision = 0;
};

// A service became overloaded, so that part of its new flows are refused, or
// all of its new flows are admitted again.
struct AdmissionChanged {
  std::string service;
  bool limited = false;  // Whether part of the new flows are refused now.
  // Estimated requests of all daemons that run or queue at the service, per
  // slot of its servers. A slot is what a server needs to process one request
  // at a time.
  double requests_per_slot = 0;
  double admitted_share = 1;  // Of the new flows, from now on.
  // Whether recent figures of the whole fleet were known. If not, the requests
  // were estimated from this daemon's flows.
  bool figures_recent = false;
};

// The load of a service in one availability zone.
struct ZoneUtilisation {
  std::string zone;
  // Outstanding requests of all daemons per slot; negative if not known.
  double utilisation = -1;
};

// New flows of a service began to go to other availability zones because the
// own zone is near its capacity, or none has gone there for a while.
struct OverflowChanged {
  std::string service;
  bool active = false;
  double share = 0;  // Of the new flows that go to other zones.
  std::vector<ZoneUtilisation> zones;
  absl::Duration load_age;  // Of the figures of the fleet.
};

// The figures of the load of the fleet are too old to be used, or recent again.
struct FleetLoadChanged {
  bool recent = false;
  absl::Duration age;  // Of the newest figures.
};

// The store stopped or resumed answering calls for one feed.
struct FeedChanged {
  std::string feed;
  bool connected = false;
  int code = 0;         // The ResultCode of the failure; 0 if connected.
  absl::Duration away;  // How long the store did not answer, if connected.
};

// A state older than the current one was received and ignored.
struct StaleStateIgnored {
  std::string feed;
  Version offered = 0;  // Revision of the ignored state.
  Version held = 0;     // Revision of the current state.
};

// The store has a configuration that operators had replaced by the one in
// force, as the numbers show: it was restored from an older copy, or has
// executed a write late. It was ignored.
struct OlderConfigurationIgnored {
  Version offered = 0;   // Configuration::version in the store.
  Version held = 0;      // Configuration::version in force.
  Version revision = 0;  // The store's.
};

// The store has a report that a server made before the one that this daemon
// holds, by the server's own numbers. It takes effect only if the server does
// not report again.
struct ServerReportDeferred {
  std::string server;
  Presence presence = Presence::kListed;  // Of the server, before and after.
  bool draining = false;                  // According to the deferred report.
  // Of the deferred report, and of the one that is held.
  std::int64_t incarnation = 0;
  std::int64_t held_incarnation = 0;
  std::uint64_t report_number = 0;
  std::uint64_t held_report_number = 0;
  Version revision = 0;  // The store's, of the deferred report.
};

using Event = std::variant<FlowOpened,
                           FlowRefused,
                           FlowStalled,
                           ConfigurationApplied,
                           ServerChanged,
                           ServerReachChanged,
                           ZoneChanged,
                           AdmissionChanged,
                           OverflowChanged,
                           FleetLoadChanged,
                           FeedChanged,
                           StaleStateIgnored,
                           OlderConfigurationIgnored,
                           ServerReportDeferred>;

}  // namespace gcw::direct

#endif  // GCW_DIRECT_EVENTS_H_
