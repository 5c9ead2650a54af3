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
// again and again and may leave thousands, so a key is logged at most once per
// interval, and a limited number of keys. Not thread-safe.
class UnreadableLog {
 public:
  // `log` must outlive this object.
  explicit UnreadableLog(EventWriter& log) : log_(log) {}

  // Logs those of `objects` whose keys are due. The last line has the number of
  // those that are beyond the limit.
  void OnUnreadable(std::span<const UnreadableObject> objects, absl::Time now);

 private:
  enum class Verdict { kDue, kLogged, kLeftOut };

  // Whether the object `key` is to be logged, has been in this interval, or is
  // beyond the limit. Counts a due one as logged.
  Verdict Check(const std::string& key, absl::Time now);

  EventWriter& log_;
  // When each key was logged, for the keys of the last interval.
  std::map<std::string, absl::Time, std::less<>> logged_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_UNREADABLE_LOG_H_
