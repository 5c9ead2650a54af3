#include "src/direct_balancer/unreadable_log.h"

#include <cstddef>
#include <vector>

namespace gcw::direct_balancer {
namespace {

constexpr absl::Duration kLogInterval = absl::Seconds(30);
// Bounds the lines of an interval. Of another writer's objects a few are
// enough.
constexpr std::size_t kMaxKeys = 20;

}  // namespace

void UnreadableLog::OnUnreadable(std::span<const UnreadableObject> objects,
                                 absl::Time now) {
  std::vector<const UnreadableObject*> due;
  std::size_t left_out = 0;
  for (const UnreadableObject& object : objects) {
    switch (Check(object.key, now)) {
      case Verdict::kDue:
        due.push_back(&object);
        break;
      case Verdict::kLogged:
        break;
      case Verdict::kLeftOut:
        ++left_out;
        break;
    }
  }
  for (const UnreadableObject* object : due) {
    log_.Write(ObjectUnreadable{object->key, object->revision,
                                object->error.message,
                                object == due.back() ? left_out : 0});
  }
}

UnreadableLog::Verdict UnreadableLog::Check(const std::string& key,
                                            absl::Time now) {
  const auto it = logged_.find(key);
  if (it != logged_.end() && now - it->second < kLogInterval) {
    return Verdict::kLogged;
  }
  std::erase_if(logged_, [&](const auto& entry) {
    return now - entry.second >= kLogInterval;
  });
  if (logged_.size() >= kMaxKeys) {
    return Verdict::kLeftOut;
  }
  logged_[key] = now;
  return Verdict::kDue;
}

}  // namespace gcw::direct_balancer
