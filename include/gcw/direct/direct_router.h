#ifndef GCW_DIRECT_DIRECT_ROUTER_H_
#define GCW_DIRECT_DIRECT_ROUTER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/direct/events.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"
#include "gcw/load/figures.h"

namespace gcw::direct {

// Settings of a DirectRouter.
struct RouterOptions {
  std::string zone;  // The daemon's own availability zone.
  // How long a server's entry that vanished from the store without a drain may
  // take to reappear before the server counts as gone. According to the
  // platform, this takes two seconds for entries that expire while the platform
  // is unavailable.
  absl::Duration lapse_grace = absl::Milliseconds(2500);
  // How long what was read before the store was restored from an older copy
  // stays in force where the restored store disagrees. Its writers are expected
  // to write again within this time what the store has lost.
  absl::Duration restore_grace = absl::Seconds(10);
  // How often a server reports to the store. The store removes the entry of a
  // server that has been silent for three times as long.
  absl::Duration report_interval = absl::Milliseconds(1200);
  // Flows older than this are removed from the flow table, and servers that
  // have been gone for longer from the server table.
  absl::Duration max_flow_age = absl::Seconds(60);
  // Capacity of the flow table. Flows beyond it are routed but not tracked.
  std::uint32_t max_flows = 100'000;
  std::uint64_t seed = 1;  // Of the random number generators.
  // The time of day. All daemons refuse the new flows of the same callers at
  // the same time of day. Must not be empty; called for each new flow.
  std::function<absl::Time()> wall_clock = absl::Now;
};

// What to do with a packet. kReset ends the packet's flow by sending a reset to
// the caller.
enum class Action : std::uint8_t { kForward, kReset, kDrop };

// What to do with one packet, why, and to which server it goes if it is
// forwarded.
struct Decision {
  Action action = Action::kDrop;
  Reason reason = Reason::kEstablished;
  // The fields below are set only for kForward.
  Endpoint server;
  std::uint64_t server_number = 0;  // BackendServer::number.
  FlowCookie cookie = 0;            // To be written into the forwarded packet.
};

// A flow that the daemon should end by sending its caller a reset now, without
// waiting for the caller's next packet.
struct FlowReset {
  FlowKey flow;
  // The last acknowledgement number that the caller sent.
  std::uint32_t acknowledged = 0;
};

// The time that a server took to open a flow or to answer a request, measured
// from the caller's packets.
struct LatencySample {
  enum class Kind : std::uint8_t {
    kOpening,  // From the SYN to the caller's next packet.
    kAnswer,   // From a request's first data to the acknowledged answer.
  };
  Kind kind = Kind::kAnswer;
  std::string service;
  std::string server;
  absl::Duration latency;
};

// The kinds of state that a daemon reads from the store, each with its own
// revisions.
enum class Feed : std::uint8_t { kConfiguration, kServers, kZones };
inline constexpr std::size_t kFeedCount = 3;
// The name of `feed` in logs and metrics, for example "servers". Thread-safe.
std::string_view FeedName(Feed feed);

// A daemon's position among the daemons of its fleet. All daemons derive their
// positions from the same list of names, so no two daemons have the same rank.
struct FleetPosition {
  std::uint32_t daemons = 1;  // Known daemons, including this daemon.
  // Index of this daemon when the daemons are ordered by name.
  std::uint32_t rank = 0;
  // Known daemons of this daemon's availability zone, including this daemon.
  std::uint32_t zone_daemons = 1;

  bool operator==(const FleetPosition&) const = default;
};

// One entry of the store that describes a backend server.
struct ServerReport {
  Version revision = 0;
  std::string name;
  // Whether the entry could be parsed. If false, `server` is not set.
  bool readable = false;
  BackendServer server;
};

// A shared pointer, so that an unchanged report is not copied into each new
// server list.
using ServerReportPtr = std::shared_ptr<const ServerReport>;

// A request to open a connection to a backend server, to find out whether the
// server still listens.
struct ProbeRequest {
  std::uint32_t id = 0;  // Passed to OnProbe() with the outcome.
  Endpoint address;
  // A probe that is not answered within this time has the outcome kTimedOut.
  absl::Duration timeout;
};

enum class ProbeOutcome : std::uint8_t { kAccepted, kRefused, kTimedOut };

// Statistics of one backend server, for metrics.
struct ServerStats {
  std::string name;
  std::int64_t incarnation = 0;  // BackendServer::incarnation.
  std::string service;
  std::string zone;
  std::string_view state;        // A PresenceName() or ReachName().
  std::uint32_t open_flows = 0;  // Open flows that this daemon tracks.
  std::uint64_t placed = 0;      // New flows that this daemon sent to it.
};

// Load of the servers of one service in one availability zone, for metrics.
struct ZoneLoadStats {
  std::string service;
  std::string zone;
  std::uint64_t slots = 0;  // Of the servers that can take new flows.
  // Outstanding requests of all daemons per slot; nullopt if not known.
  std::optional<double> utilisation;
};

// What the router does with the new flows of one service, for metrics.
struct ServiceLoadStats {
  std::string service;
  double overflow_share = 0;  // Part that goes to other availability zones.
  double admitted_share = 1;  // Part that is not refused.
};

// A backend server in slow start, for metrics.
struct SlowStartStats {
  std::string server;
  double share = 1;  // Part of the usual number of new flows.
};

// New flows that were refused for one cause, for metrics.
struct RefusalStats {
  // "caller_limit" for Reason::kOverloaded if the caller opened many more flows
  // than the other callers, otherwise a ReasonName().
  std::string_view cause;
  std::uint32_t priority = 0;  // Of the route.
  std::uint64_t flows = 0;     // Since the start.
};

// Statistics of the router, for metrics.
struct RouterStats {
  Version configuration = 0;  // Configuration::version.
  std::uint64_t flows = 0;    // Tracked in the flow table.
  std::uint64_t routes = 0;
  std::uint64_t untracked = 0;  // Flows not tracked, as the table was full.
  std::uint32_t daemons = 1;    // FleetPosition::daemons.
  // Time since each feed was last confirmed, indexed by Feed.
  std::array<absl::Duration, kFeedCount> feed_ages{};
  std::vector<ServerStats> servers;
  std::vector<ZoneLoadStats> zone_loads;
  std::vector<ServiceLoadStats> service_loads;
  std::vector<SlowStartStats> slow_starts;
  std::vector<RefusalStats> refusals;
  // Age of the newest figures of the fleet; InfiniteDuration if there are none.
  absl::Duration load_age = absl::InfiniteDuration();
};

// Routes the flows of callers (client hosts) to backend servers, which send
// their answers directly to the callers (direct server return). Each packet
// carries the identity of its flow's backend server (FlowCookie), so daemons
// share no flow state: any daemon can route any packet, even right after its
// start. The per-flow state kept here only improves decisions and may be lost
// at any time.
//
// Uses no sockets or threads, and no clock but RouterOptions::wall_clock. Not
// thread-safe. `now` must come from a monotonic clock. Only Make() can fail.
class DirectRouter {
 public:
  // Fails with kSettingsInvalid if the zone is empty, max_flows is 0 or
  // lapse_grace is negative.
  static Result<std::unique_ptr<DirectRouter>> Make(
      const RouterOptions& options);
  ~DirectRouter();
  DirectRouter(const DirectRouter&) = delete;
  DirectRouter& operator=(const DirectRouter&) = delete;

  // ApplyConfiguration(), ApplyServerList() and ApplyZonesOut() replace one
  // kind of state. A state with an older store revision than the current one is
  // ignored and reported as StaleStateIgnored.
  // The servers of a service that had no route before, of a zone that is back
  // in service, or after the first state of each kind all servers, get flows at
  // the rate of cold ones as long as the list of servers may be older (see
  // TakeWantedServersVersion()).
  void ApplyConfiguration(const Configuration& configuration,
                          Version revision,
                          absl::Time now);
  // `reports` holds all entries of the store as of `revision`. A server that
  // has no entry any more counts as gone if it was draining. Otherwise it
  // counts as lapsed, and its entry may reappear.
  void ApplyServerList(std::span<const ServerReportPtr> reports,
                       Version revision,
                       absl::Time now);
  // `zones` are the availability zones that operators have taken out of
  // service. Their servers get no new flows. After the store was restored from
  // an older copy, a zone that was out stays out for
  // RouterOptions::restore_grace.
  void ApplyZonesOut(std::span<const std::string> zones,
                     Version revision,
                     absl::Time now);

  // Adds servers that other daemons have read and that the store lacks. They
  // get no new flows, but their open flows go on. Servers that are known
  // already are left as they are.
  void AddMissingServers(std::span<const ServerReportPtr> reports,
                         absl::Time now);
  // Keeps zones out of service until `until` that a restored store does not
  // list, although other daemons have read that they are out.
  void KeepZonesOut(std::span<const std::string> zones, absl::Time until);

  // Sets this daemon's position among the daemons that share the rate limits of
  // cold servers, and the numbers of daemons by which estimates from its own
  // flows are scaled. After the first call, cold servers get no flows for a
  // second, while the daemons discover each other. Preconditions: position.rank
  // < position.daemons; position.zone_daemons is positive.
  void SetFleetPosition(const FleetPosition& position, absl::Time now);

  // Replaces what is known of the load of all daemons together. The figures
  // were current at `now` less the ages that they state.
  void SetFleetLoad(const load::FleetFigures& figures, absl::Time now);
  // The load that the flows of this daemon put on the backend servers, as of
  // the last OnTick(), to be told to the other daemons.
  const load::Figures& own_load() const;

  // The current state of `feed` was up to date in the store at `confirmed`,
  // according to the store itself or to a daemon that relays the store's
  // answers.
  void OnFeedConfirmed(Feed feed, absl::Time confirmed);

  // The list of servers that was last applied includes all changes of the store
  // up to `version`.
  void OnServersInclude(Version version, absl::Time now);
  // Returns the version up to which the list of servers should be read from the
  // store without delay, if that is more than the last call returned: servers
  // are about to get new flows by a state of another feed that is newer than
  // the list. Until OnServersInclude() confirms it, or for the cold time of
  // their service, they get flows at the rate of cold servers.
  std::optional<Version> TakeWantedServersVersion();

  // A call of this daemon to the store for `feed` was answered, or failed.
  void OnStoreAnswer(Feed feed, absl::Time now);
  void OnStoreFailure(Feed feed, ResultCode code, absl::Time now);

  // Decides what to do with a packet from a caller.
  Decision OnPacket(const Packet& packet, absl::Time now);

  // Returns the flows that were found since the last call to need a reset,
  // because their server is gone or unreachable. The caller's next request then
  // opens a new flow instead of failing.
  std::vector<FlowReset> TakeResets();

  // Runs periodic work: checks for slow servers, starts probes, adjusts the
  // admission of new flows and removes expired state. Call this about every 50
  // ms.
  void OnTick(absl::Time now);

  // Returns the probes to start since the last call. Report the outcome of each
  // with OnProbe().
  std::vector<ProbeRequest> TakeProbes();
  // The probe `id` of TakeProbes() ended with `outcome`.
  void OnProbe(std::uint32_t id, ProbeOutcome outcome, absl::Time now);

  // Returns the latencies measured since the last call.
  std::vector<LatencySample> TakeLatencySamples();

  // Returns the events since the last call, oldest first.
  std::vector<Event> TakeEvents();

  // Whether every feed has been read at least once.
  bool synced() const;
  // Whether this daemon can serve new flows: it is synced, and services with
  // reachable servers make up at least half of the recent demand (new flows and
  // requests). If false, packets should go to other daemons, which may reach
  // more servers.
  bool can_serve() const;

  RouterStats Stats(absl::Time now) const;

 private:
  class Impl;
  explicit DirectRouter(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_DIRECT_ROUTER_H_
