#include "src/direct_balancer/unreadable_log.h"

#include <cstddef>

namespace gcw::direct_balancer {
namespace {

constexpr absl::Duration kLogInterval = absl::Seconds(30);
// Bounds the memory, and with it the lines of an interval.
constexpr std::size_t kMaxKeys = 500;

}  // namespace

void UnreadableLog::OnUnreadable(std::span<const UnreadableObject> objects,
                                 absl::Time now) {
  for (const UnreadableObject& object : objects) {
    if (IsDue(object.key, now)) {
      log_.Write(
          ObjectUnreadable{object.key, object.revision, object.error.message});
    }
  }
}

bool UnreadableLog::IsDue(const std::string& key, absl::Time now) {
  const auto it = logged_.find(key);
  if (it != logged_.end() && now - it->second < kLogInterval) {
    return false;
  }
  std::erase_if(logged_, [&](const auto& entry) {
    return now - entry.second >= kLogInterval;
  });
  if (logged_.size() >= kMaxKeys) {
    return false;
  }
  logged_[key] = now;
  return true;
}

}  // namespace gcw::direct_balancer
