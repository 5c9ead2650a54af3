#include "src/direct_balancer/relay_options.h"

#include <algorithm>

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
// How long the platform may hold a watch call that has no change to return: at
// most, and for the first watch after a failed call. In milliseconds, for
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
constexpr absl::Duration kMaxWatchWait = absl::Milliseconds(kWatchWaitMs);
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

// The time in which a daemon gets the state from the platform itself: the
// connection, one call without an answer, and the next call.
constexpr absl::Duration kFetchTime = absl::Milliseconds(1200);
// A deadline shorter than this and kFetchTime together cannot be kept.
constexpr absl::Duration kMinStateAge = absl::Milliseconds(500);
// Parts of the longest age of a state without a confirmation. The watch of a
// zone's watcher ends, and the other daemons of the zone are told, well before
// these would call the platform themselves.
constexpr double kWatchWaitPart = 0.6;
constexpr double kConfirmationPart = 0.25;

absl::Duration DeadlineOf(const Settings& settings, direct::Feed feed) {
  switch (feed) {
    case direct::Feed::kConfiguration:
      return settings.configuration_deadline;
    case direct::Feed::kServers:
      return settings.servers_deadline;
    case direct::Feed::kZones:
      break;
  }
  return settings.zones_deadline;
}

}  // namespace

absl::Duration MaxStateAge(const Settings& settings, direct::Feed feed) {
  return std::max(DeadlineOf(settings, feed) - kFetchTime, kMinStateAge);
}

relay::Options MakeRelayOptions(const Settings& settings, direct::Feed feed) {
  relay::Options options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.watchers_per_zone = kWatchersPerZone;
  options.max_state_age = MaxStateAge(settings, feed);
  options.watch_wait =
      std::min(kMaxWatchWait, options.max_state_age * kWatchWaitPart);
  options.confirmation_interval = options.max_state_age * kConfirmationPart;
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
