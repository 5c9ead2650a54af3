#ifndef GCW_DIRECT_DIRECT_ROUTER_H_
#define GCW_DIRECT_DIRECT_ROUTER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/direct/events.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"

namespace gcw::direct {

struct RouterOptions {
  std::string zone;  // The daemon's own availability zone.
  // An entry that vanished without a drain may come back for this long: the
  // platform states two seconds for those that lapse while it is away.
  absl::Duration lapse_grace = absl::Milliseconds(2500);
  // A flow older than this may be forgotten.
  absl::Duration max_flow_age = absl::Seconds(60);
  // Flows kept at most; beyond it flows are routed without being watched.
  std::uint32_t max_flows = 100'000;
  std::uint64_t seed = 1;  // Of random choices.
};

enum class Action : std::uint8_t { kForward, kReset, kDrop };

// What to do with one packet. The views stay valid until the next call.
struct Decision {
  Action action = Action::kDrop;
  Reason reason = Reason::kEstablished;
  // kForward:
  Endpoint server;
  std::uint64_t server_number = 0;
  FlowCookie cookie = 0;  // To be written into the packet.
};

// A flow to be given up towards its caller without waiting for its packets.
struct FlowReset {
  FlowKey flow;
  std::uint32_t acknowledged = 0;  // The last that the caller has said.
};

// How long a caller waited for something of a server, as its packets show.
struct LatencySample {
  enum class Kind : std::uint8_t {
    kOpening,  // From the first packet to the caller's next one.
    kAnswer,   // From a request's first data to an acknowledged answer.
  };
  Kind kind = Kind::kAnswer;
  std::string service;
  std::string server;
  absl::Duration latency;
};

// The kinds of state that a daemon reads from the store.
enum class Feed : std::uint8_t { kConfiguration, kServers, kZones };
inline constexpr std::size_t kFeedCount = 3;

// A daemon's place in its fleet: the same list, seen from each of its members.
struct FleetPosition {
  std::uint32_t daemons = 1;  // That are known, this one included.
  std::uint32_t rank = 0;     // Of this one, in the order of their names.

  bool operator==(const FleetPosition&) const = default;
};

// A backend server as one entry of the store describes it.
struct ServerReport {
  Version revision = 0;
  std::string name;
  // Whether `server` is set: an entry that cannot be read names no server.
  bool readable = false;
  BackendServer server;
};

// Reports are shared by the lists that hold them.
using ServerReportPtr = std::shared_ptr<const ServerReport>;

// A connection attempt that shows whether a backend server still listens.
struct ProbeRequest {
  std::uint32_t id = 0;  // To be given back with the outcome.
  Endpoint address;
  absl::Duration timeout;
};

enum class ProbeOutcome : std::uint8_t { kAccepted, kRefused, kTimedOut };

struct ServerStats {
  std::string name;
  std::string service;
  std::string zone;
  std::string_view state;  // A word of PresenceName() or ReachName().
  std::uint32_t open_flows = 0;
  std::uint64_t placed = 0;
};

struct RouterStats {
  Version configuration = 0;  // The operators' own number.
  std::uint64_t flows = 0;
  std::uint64_t routes = 0;
  std::uint64_t untracked = 0;  // New flows beyond max_flows.
  std::uint32_t daemons = 1;
  std::array<absl::Duration, kFeedCount>
      feed_ages{};  // Since each was confirmed.
  std::vector<ServerStats> servers;
};

// Routes the flows of callers to backend servers that answer them directly.
// The backend server of a flow stands in the flow's own packets (FlowCookie),
// so daemons share no flow state: any daemon routes any packet, also right
// after its start. What is kept per flow only improves decisions and may be
// lost at any time.
//
// Pure: no socket, thread or clock inside. Not thread-safe. `now` comes from a
// clock that never goes back. No call fails.
class DirectRouter {
 public:
  // Fails with kSettingsInvalid for an empty zone or a bound out of range.
  static Result<std::unique_ptr<DirectRouter>> Make(
      const RouterOptions& options);
  ~DirectRouter();
  DirectRouter(const DirectRouter&) = delete;
  DirectRouter& operator=(const DirectRouter&) = delete;

  // A newer state of one kind. One that is older than what is held, by the
  // revision of the store, is ignored and reported as an event.
  void ApplyConfiguration(const Configuration& configuration, Version revision);
  // All entries as of `revision`; a server that is not among them is gone.
  void ApplyServerList(std::span<const ServerReportPtr> reports,
                       Version revision,
                       absl::Time now);
  // The availability zones whose servers get no new flows.
  void ApplyZonesOut(std::span<const std::string> zones, Version revision);

  // The daemons that share the limits of cold servers. After the first call
  // the fleet counts as known a second later. Precondition: `place` is valid.
  void SetFleetPosition(const FleetPosition& place, absl::Time now);

  // What is held of one kind of state was the store's at `confirmed`, as its
  // answer or a daemon that relays it says.
  void OnFeedConfirmed(Feed feed, absl::Time confirmed);

  // A call of this daemon to the store was answered, or failed.
  void OnStoreAnswer(Feed feed, absl::Time now);
  void OnStoreFailure(Feed feed, ResultCode code, absl::Time now);

  // A packet from a caller.
  Decision OnPacket(const Packet& packet, absl::Time now);

  // Moves out flows whose callers are to be told at once that their server is
  // lost: the next request then opens a new flow instead of failing.
  std::vector<FlowReset> TakeResets();

  // Timers; to be called about every 50 ms.
  void OnTick(absl::Time now);

  // Moves out the probes that wait to be made. Each is answered by OnProbe.
  std::vector<ProbeRequest> TakeProbes();
  void OnProbe(std::uint32_t id, ProbeOutcome outcome, absl::Time now);

  // Moves out the waits that ended since the last call.
  std::vector<LatencySample> TakeLatencySamples();

  // Moves out what was decided or learned since the last call, in order.
  std::vector<Event> TakeEvents();

  // Whether all three kinds of state were read once.
  bool synced() const;
  // Whether new flows can be served: synced, and for at least half of what was
  // asked for lately a server is within reach. Otherwise other daemons, which
  // may reach more, should get the packets.
  bool can_serve() const;

  RouterStats Stats(absl::Time now) const;

 private:
  class Impl;
  explicit DirectRouter(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_DIRECT_ROUTER_H_
