#ifndef GCW_DIRECT_EVENTS_H_
#define GCW_DIRECT_EVENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "absl/time/time.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"

namespace gcw::direct {

// Why a packet was treated as it was. The names stand in logs and metrics.
enum class Reason : std::uint8_t {
  kEstablished,      // Forwarded to the server of its flow.
  kPlaced,           // First packet of a flow; a server was chosen.
  kPlacedAgain,      // A repeated first packet; another server was chosen.
  kStillAnswering,   // Forwarded: the entry is gone, yet the server answers.
  kUnknownRoute,     // Reset: no route has that address.
  kNoServer,         // Reset: no server can take a new flow.
  kOverloaded,       // Reset: more is asked of the service than it bears.
  kServerGone,       // Reset: the entry is gone and the store was healthy.
  kServerRestarted,  // Reset: the server runs as another incarnation.
  kServerRefuses,    // Reset: the server's address refuses connections.
  kServerSilent,     // Reset: the server answers neither data nor probes.
  kCookieUnknown,    // Reset: no server that the store lists has that cookie.
  kCookiePending,    // Dropped: the server may not have been read yet.
  kNoCookie,         // Dropped: a later packet without a cookie.
  kNotSynced,        // Dropped: the state has not been read yet.
  kLeftToOthers,     // Dropped: this daemon is cut off, others may serve it.
  kWaitedOutPause,   // Dropped: it waited while this process was paused.
  kMalformed,        // Dropped: cut, or lengths that do not fit.
};
inline constexpr std::size_t kReasonCount = 18;

// The name of `reason`, for example "placed". Thread-safe.
std::string_view ReasonName(Reason reason);

// What the store says of a backend server.
enum class Presence : std::uint8_t {
  kListed,
  kUnreadable,  // Its entry cannot be read: no new flows.
  kLapsed,      // Vanished without a drain; may come back.
  kGone,
  kRestarted,  // Another incarnation has its name.
};
std::string_view PresenceName(Presence presence);

// What packets and probes show of a backend server.
enum class Reach : std::uint8_t {
  kGood,
  kSuspect,  // Data went unanswered; a probe is under way.
  kRefuses,
  kSilent,
};
std::string_view ReachName(Reach reach);

// Servers of a service that a new flow could not go to, by the first reason.
struct ExcludedServers {
  std::uint32_t leaving = 0;   // Draining, gone or unreadable.
  std::uint32_t zone_out = 0;  // In a zone that is out.
  std::uint32_t lost = 0;      // Suspected, or out of reach.
  std::uint32_t limited = 0;   // Full, or over its share while cold.
};

// A new flow was given to a server.
struct FlowOpened {
  FlowKey flow;
  Reason reason = Reason::kPlaced;
  std::string server;  // Empty: none.
  std::string server_zone;
  std::uint32_t repeat = 0;        // Of the first packet.
  std::uint32_t server_flows = 0;  // Open flows of this daemon on it, after.
  std::uint32_t candidates = 0;    // Servers that could have been chosen.
  Version configuration = 0;
  absl::Duration servers_age;  // Since the store last answered for servers.
};

// A flow that was given up with a reset, or a packet that was dropped.
struct FlowRefused {
  FlowKey flow;
  Reason reason = Reason::kUnknownRoute;
  std::string server;
  FlowCookie cookie = 0;
  absl::Duration evidence_age;  // Since what decided became known.
  ExcludedServers excluded;     // Of a first packet.
  double admitted_share = 1;    // Of the service's new flows.
  Version configuration = 0;
  absl::Duration servers_age;
};

// A flow whose data was sent again without an answer.
struct FlowStalled {
  FlowKey flow;
  std::string server;
  absl::Duration waiting;         // Since the data was first seen.
  absl::Duration server_silence;  // Since any flow of the server advanced.
};

struct ConfigurationApplied {
  Version configuration = 0;
  Version revision = 0;
  std::uint32_t routes = 0;
  std::uint32_t services = 0;
};

struct ServerChanged {
  std::string server;
  std::string service;
  std::string zone;
  Presence presence = Presence::kListed;
  bool draining = false;
  absl::Duration cold_for;
  Version revision = 0;
};

struct ServerReachChanged {
  std::string server;
  std::string zone;
  Reach reach = Reach::kGood;
  absl::Duration silence;  // Since any flow of the server advanced.
  std::uint32_t failed_probes = 0;
};

struct ZoneChanged {
  std::string zone;
  bool out = false;
  Version revision = 0;
};

// New flows of a service are turned away because it is overloaded, or all are
// placed again.
struct AdmissionChanged {
  std::string service;
  bool limited = false;
  double requests_per_slot = 0;
};

// The store was lost or regained for one kind of state.
struct FeedChanged {
  std::string feed;
  bool connected = false;
  int code = 0;         // Number of the error, 0 if connected.
  absl::Duration away;  // How long it did not answer.
};

// A state older than the one held was offered, and ignored.
struct StaleStateIgnored {
  std::string feed;
  Version offered = 0;
  Version held = 0;
};

using Event = std::variant<FlowOpened,
                           FlowRefused,
                           FlowStalled,
                           ConfigurationApplied,
                           ServerChanged,
                           ServerReachChanged,
                           ZoneChanged,
                           AdmissionChanged,
                           FeedChanged,
                           StaleStateIgnored>;

}  // namespace gcw::direct

#endif  // GCW_DIRECT_EVENTS_H_
