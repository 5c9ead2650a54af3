#ifndef GCW_DIRECT_OVERFLOW_LOG_H_
#define GCW_DIRECT_OVERFLOW_LOG_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/events.h"
#include "src/direct/fleet_load.h"
#include "src/direct/zone_balancer.h"

namespace gcw::direct {

// Reports when new flows of a service begin and cease to go to other
// availability zones, and when the figures of the fleet become too old and
// recent again. Has no I/O. Not thread-safe.
class OverflowLog {
 public:
  // An overflow counts as ended after this time without any. While the load of
  // a zone varies around the limit, the overflow begins and ends several times
  // a second.
  static constexpr absl::Duration kEndAfter = absl::Seconds(5);
  // Figures must have been too old, or recent, for this long. A round that is
  // lost in both trees makes them too old for a moment.
  static constexpr absl::Duration kSettled = absl::Seconds(2);

  // Appends its events to `events`, which must outlive the log.
  explicit OverflowLog(std::vector<Event>* events) : events_(events) {}

  // Appends the events that are due. Call this about every 50 ms.
  void OnTick(const ZoneBalancer& balancer,
              const FleetLoad& load,
              absl::Time now);

 private:
  void CheckOverflow(const ZoneBalancer& balancer,
                     const FleetLoad& load,
                     absl::Time now);
  void CheckFigures(const FleetLoad& load, absl::Time now);

  std::vector<Event>* const events_;
  // Services with overflow, and when each last had any.
  std::map<std::string, absl::Time, std::less<>> last_overflow_;
  // Whether the figures were recent by the last event. Nothing is reported
  // before the first figures: a daemon without the exchange never has any.
  bool recent_ = false;
  bool had_figures_ = false;
  // Since when the figures have differed from `recent_`.
  absl::Time differs_since_ = absl::InfiniteFuture();
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_OVERFLOW_LOG_H_
