#ifndef GCW_DISPATCH_REQUEST_QUEUE_H_
#define GCW_DISPATCH_REQUEST_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace gcw::dispatch {

// The queued requests of one service on one home daemon. The queue is bounded.
// The request with the highest worth goes first; among equals the oldest, or
// under overload the newest, since serving the oldest first would then delay
// every request until close to its deadline. Not thread-safe.
class RequestQueue {
 public:
  // `handle` identifies the request to the user of the queue. `worth` is the
  // value that the caller gave to an answer; see Request.
  struct Entry {
    std::uint64_t handle = 0;
    double worth = 0;
    absl::Time enqueued;
    absl::Time deadline;
  };

  // Adds an entry. If the queue then exceeds `limit` entries, evicts the oldest
  // entry with the lowest worth, which may be the new one, and returns it.
  std::optional<Entry> Add(const Entry& entry, std::size_t limit);

  // Returns the next entry to start among those whose handle `can_start`
  // accepts. `service_time` is the mean service time, which defines overload.
  std::optional<Entry> Peek(
      absl::Time now,
      absl::Duration service_time,
      const std::function<bool(std::uint64_t)>& can_start) const;

  // Returns whether the queue held `handle`.
  bool Remove(std::uint64_t handle);

  // Removes and returns the entries with less than `needed` before their
  // deadline.
  std::vector<Entry> TakeNearDeadline(absl::Time now, absl::Duration needed);
  // Removes and returns all entries.
  std::vector<Entry> TakeAll();

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

 private:
  std::vector<Entry> entries_;  // In order of arrival.
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_REQUEST_QUEUE_H_
