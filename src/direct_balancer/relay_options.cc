#include "src/direct_balancer/relay_options.h"

namespace gcw::direct_balancer {
namespace {

// One daemon per zone watches the platform for all daemons of the zone. The
// others get changes from it within tens of milliseconds, and one of them takes
// over when it fails.
constexpr std::size_t kWatchersPerZone = 1;
// Peers of its zone to which a daemon pushes changes. With three, a change
// reaches a zone of ten daemons in two hops.
constexpr std::size_t kZoneFanout = 3;
// How long a new daemon waits for the platform's answer alone. A list call
// normally takes a few milliseconds; after this time the daemon asks its peers
// for the state as well.
constexpr absl::Duration kPlatformFirstPeriod = absl::Milliseconds(300);
// How long the platform may hold a watch call that has no change to return:
// normally, and for the first watch after a failed call. In milliseconds, for
// the static_asserts below.
constexpr std::int64_t kWatchWaitMs = 2500;
constexpr std::int64_t kRetryWaitMs = 200;
constexpr std::int64_t kMaxBackoffMs = 1000;
// The service levels that the users state apply again this long after the
// platform has become reachable again.
constexpr std::int64_t kStabilityWindowMs = 4000;
// A call that was lost just before the platform became reachable again must be
// given up, and the call after it be answered, within the stability window.
static_assert(kWatchWaitMs + kPlatformCallGraceMs < kStabilityWindowMs);
static_assert(kRetryWaitMs + kPlatformCallGraceMs + kMaxBackoffMs <
              kStabilityWindowMs);
constexpr absl::Duration kWatchWait = absl::Milliseconds(kWatchWaitMs);
constexpr absl::Duration kRetryWait = absl::Milliseconds(kRetryWaitMs);
// Shortest and longest pause after a failed call: short enough that the end of
// an outage is noticed well within the two seconds in which servers whose
// entries lapsed during the outage register again.
constexpr absl::Duration kMinBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxBackoff = absl::Milliseconds(kMaxBackoffMs);
// Minimum pause between an answer with changes and the next watch call. Servers
// change one by one while a service is released or scaled. Each call then
// returns the changes of a longer time, which is still short against the
// seconds in which a drain must be in force.
constexpr absl::Duration kWatchGap = absl::Milliseconds(100);
constexpr absl::Duration kServersWatchGap = absl::Milliseconds(400);

}  // namespace

relay::Options MakeRelayOptions(const Settings& settings, direct::Feed feed) {
  relay::Options options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.watchers_per_zone = kWatchersPerZone;
  options.watch_wait = kWatchWait;
  options.watch_wait_after_failure = kRetryWait;
  options.call_grace = kPlatformCallGrace;
  options.min_watch_gap =
      feed == direct::Feed::kServers ? kServersWatchGap : kWatchGap;
  options.backoff_min = kMinBackoff;
  options.backoff_max = kMaxBackoff;
  options.zone_fanout = kZoneFanout;
  options.initial_platform_delay = absl::ZeroDuration();
  options.initial_peer_delay = kPlatformFirstPeriod;
  return options;
}

}  // namespace gcw::direct_balancer
