#include "src/dispatch/request_queue.h"

#include <algorithm>
#include <utility>

namespace gcw::dispatch {
namespace {

// The queue counts as overloaded once its oldest entry has waited for more than
// this many mean service times.
constexpr double kOverloadServiceTimes = 1.5;

}  // namespace

std::optional<RequestQueue::Entry> RequestQueue::Add(const Entry& entry,
                                                     std::size_t limit) {
  entries_.push_back(entry);
  if (entries_.size() <= limit) {
    return std::nullopt;
  }
  // Of the entries with the lowest worth, evict the oldest: it has the least
  // time left. min_element returns the first of equals, and entries_ is in
  // order of arrival.
  const auto lowest = std::min_element(
      entries_.begin(), entries_.end(),
      [](const Entry& a, const Entry& b) { return a.worth < b.worth; });
  const Entry evicted = *lowest;
  entries_.erase(lowest);
  return evicted;
}

std::optional<RequestQueue::Entry> RequestQueue::Peek(
    absl::Time now,
    absl::Duration service_time,
    const std::function<bool(std::uint64_t)>& can_start) const {
  const Entry* best = nullptr;
  const bool newest_first =
      !entries_.empty() &&
      now - entries_.front().enqueued > kOverloadServiceTimes * service_time;
  for (const Entry& entry : entries_) {
    const bool better = best == nullptr || entry.worth > best->worth ||
                        (newest_first && entry.worth == best->worth);
    if (better && can_start(entry.handle)) {
      best = &entry;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<Entry>(*best);
}

bool RequestQueue::Remove(std::uint64_t handle) {
  return std::erase_if(entries_, [&](const Entry& entry) {
           return entry.handle == handle;
         }) > 0;
}

std::vector<RequestQueue::Entry> RequestQueue::TakeNearDeadline(
    absl::Time now,
    absl::Duration needed) {
  std::vector<Entry> near_deadline;
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool is_near = entry.deadline - now < needed;
    if (is_near) {
      near_deadline.push_back(entry);
    }
    return is_near;
  });
  return near_deadline;
}

std::vector<RequestQueue::Entry> RequestQueue::TakeAll() {
  return std::exchange(entries_, {});
}

}  // namespace gcw::dispatch
