#ifndef GCW_DIRECT_BALANCER_WATCH_DUTY_H_
#define GCW_DIRECT_BALANCER_WATCH_DUTY_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"

namespace gcw::direct_balancer {

// Who can watch the platform for a zone. A daemon that the platform does not
// serve says so to its zone, and another one stands in until it has not said
// so for a while. Pure; not thread-safe.
class WatchDuty {
 public:
  // This daemon's own calls.
  void OnCallAnswered(direct::Feed feed);
  void OnCallFailed(direct::Feed feed, absl::Time now);

  // Whether the zone is to be told now that this daemon is not served.
  bool MustSayNotServed(absl::Time now);

  // The member `name` said that it is not served; whether that is news.
  bool OnNotServed(const std::string& name, absl::Time now);
  // Whether `name` may be relied on to watch.
  bool MayWatch(std::string_view name, absl::Time now) const;

  // Forgets what is too old; whether that changed who may watch.
  bool OnTick(absl::Time now);

 private:
  // Since when each feed's calls have failed; InfiniteFuture: they do not.
  std::array<absl::Time, direct::kFeedCount> failing_since_{
      absl::InfiniteFuture(), absl::InfiniteFuture(), absl::InfiniteFuture()};
  absl::Time last_said_ = absl::InfinitePast();
  std::map<std::string, absl::Time, std::less<>> not_served_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_WATCH_DUTY_H_
