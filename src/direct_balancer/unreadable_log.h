#ifndef GCW_DIRECT_BALANCER_UNREADABLE_LOG_H_
#define GCW_DIRECT_BALANCER_UNREADABLE_LOG_H_

#include <map>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "src/direct_balancer/event_writer.h"
#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {

// Logs objects that could not be decoded. A writer may replace such an object
// again and again, so a key is logged at most once per interval. Not
// thread-safe.
class UnreadableLog {
 public:
  // `log` must outlive this object.
  explicit UnreadableLog(EventWriter& log) : log_(log) {}

  // Logs those of `objects` whose keys are due.
  void OnUnreadable(std::span<const UnreadableObject> objects, absl::Time now);

 private:
  bool IsDue(const std::string& key, absl::Time now);

  EventWriter& log_;
  // When each key was logged, for the keys of the last interval.
  std::map<std::string, absl::Time, std::less<>> logged_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_UNREADABLE_LOG_H_
