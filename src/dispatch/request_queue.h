#ifndef GCW_DISPATCH_REQUEST_QUEUE_H_
#define GCW_DISPATCH_REQUEST_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace gcw::dispatch {

// The requests of one service that wait on one home daemon. Bounded; the best
// worth per slot-second goes first, and among equals the oldest, or under
// overload the newest, so that nothing rides to the edge of its deadline.
// Not thread-safe.
class RequestQueue {
 public:
  struct Entry {
    std::uint64_t handle = 0;
    double worth = 0;
    absl::Time enqueued;
    absl::Time deadline;
  };

  // Adds an entry and returns the one that must leave for it, which may be the
  // entry itself, if there would be more than `limit`.
  std::optional<Entry> Add(const Entry& entry, std::size_t limit);

  // The handle that goes next, of those that `fits` accepts.
  std::optional<Entry> Peek(
      absl::Time now,
      absl::Duration service_time,
      const std::function<bool(std::uint64_t)>& can_start) const;

  bool Remove(std::uint64_t handle);

  // Takes out the entries with less than `needed` left before their deadline.
  std::vector<Entry> TakeNearDeadline(absl::Time now, absl::Duration needed);
  std::vector<Entry> TakeAll();

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

 private:
  std::vector<Entry> entries_;  // In order of arrival.
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_REQUEST_QUEUE_H_
