#include "src/balancer/status_collector.h"

#include <string>
#include <utility>

namespace gcw::balancer {

void StatusCollector::Put(std::string_view part, nlohmann::json status) {
  absl::MutexLock lock(&mutex_);
  status_[std::string(part)] = std::move(status);
  if (missing_ > 0) {
    --missing_;
  }
}

nlohmann::json StatusCollector::Wait(absl::Duration timeout) {
  absl::MutexLock lock(&mutex_);
  const auto complete = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
    return missing_ == 0;
  };
  mutex_.AwaitWithTimeout(absl::Condition(&complete), timeout);
  nlohmann::json result = status_;
  result["missing"] = missing_;
  return result;
}

}  // namespace gcw::balancer
