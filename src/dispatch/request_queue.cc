#include "src/dispatch/request_queue.h"

#include <algorithm>
#include <utility>

namespace gcw::dispatch {
namespace {

// The queue is overloaded once its oldest entry waits this many service times.
constexpr double kOverloadWaits = 1.5;

}  // namespace

std::optional<RequestQueue::Entry> RequestQueue::Add(const Entry& entry,
                                                     std::size_t limit) {
  entries_.push_back(entry);
  if (entries_.size() <= limit) {
    return std::nullopt;
  }
  // The oldest of the least worthy has the least time left.
  const auto least = std::min_element(
      entries_.begin(), entries_.end(),
      [](const Entry& a, const Entry& b) { return a.worth < b.worth; });
  const Entry out = *least;
  entries_.erase(least);
  return out;
}

std::optional<RequestQueue::Entry> RequestQueue::Peek(
    absl::Time now,
    absl::Duration service_time,
    const std::function<bool(std::uint64_t)>& fits) const {
  const Entry* best = nullptr;
  const bool newest_first =
      !entries_.empty() &&
      now - entries_.front().enqueued > kOverloadWaits * service_time;
  for (const Entry& entry : entries_) {
    const bool better = best == nullptr || entry.worth > best->worth ||
                        (newest_first && entry.worth == best->worth);
    if (better && fits(entry.handle)) {
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

std::vector<RequestQueue::Entry> RequestQueue::TakeHopeless(
    absl::Time now,
    absl::Duration needed) {
  std::vector<Entry> hopeless;
  std::erase_if(entries_, [&](const Entry& entry) {
    const bool out = entry.deadline - now < needed;
    if (out) {
      hopeless.push_back(entry);
    }
    return out;
  });
  return hopeless;
}

std::vector<RequestQueue::Entry> RequestQueue::TakeAll() {
  return std::exchange(entries_, {});
}

}  // namespace gcw::dispatch
