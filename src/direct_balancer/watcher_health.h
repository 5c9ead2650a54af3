#ifndef GCW_DIRECT_BALANCER_WATCHER_HEALTH_H_
#define GCW_DIRECT_BALANCER_WATCHER_HEALTH_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"

namespace gcw::direct_balancer {

// Tracks which daemons can watch the platform for their availability zone. A
// daemon whose calls to the platform keep failing reports itself unavailable
// to the daemons of its zone, and another daemon watches in its place until
// the reports have stopped for a while. Pure: makes no calls and reads no
// clock. Not thread-safe.
class WatcherHealth {
 public:
  // The platform answered a call of this daemon, or the call failed.
  void OnCallAnswered(direct::Feed feed);
  void OnCallFailed(direct::Feed feed, absl::Time now);

  // This daemon does not watch the platform: failures of its calls do not
  // count.
  void OnNotWatching();

  // Whether this daemon should now report itself unavailable to its zone. True
  // at most once per report interval while calls fail.
  bool ShouldReportUnavailable(absl::Time now);

  // The daemon `name` reported itself unavailable. Returns whether it counted
  // as able to watch until now.
  bool OnUnavailableReport(const std::string& name, absl::Time now);
  // Whether `name` counts as able to watch: it has not recently reported
  // itself unavailable.
  bool CanWatch(std::string_view name, absl::Time now) const;

  // Removes expired reports. Returns whether there were any, so that CanWatch
  // has changed.
  bool OnTick(absl::Time now);

 private:
  // The first of the consecutive failed calls of each feed; InfiniteFuture
  // after an answered call.
  std::array<absl::Time, direct::kFeedCount> failing_since_{
      absl::InfiniteFuture(), absl::InfiniteFuture(), absl::InfiniteFuture()};
  absl::Time last_report_sent_ = absl::InfinitePast();
  // Time of the latest report of each daemon that reported itself unavailable.
  std::map<std::string, absl::Time, std::less<>> reports_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_WATCHER_HEALTH_H_
