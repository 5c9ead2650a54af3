#ifndef GCW_BALANCER_STATUS_COLLECTOR_H_
#define GCW_BALANCER_STATUS_COLLECTOR_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gcw::balancer {

// Collects the status reports of several tasks. Thread-safe.
class StatusCollector {
 public:
  // `parts` is the number of Put calls that Wait() waits for.
  explicit StatusCollector(std::size_t parts) : missing_(parts) {}

  // Adds the status of one task under the name `part`.
  void Put(std::string_view part, nlohmann::json status);

  // Blocks until all parts have arrived or `timeout` has passed. Returns the
  // parts that arrived; the field "missing" is the number of absent ones.
  nlohmann::json Wait(absl::Duration timeout);

 private:
  absl::Mutex mutex_;
  std::size_t missing_ ABSL_GUARDED_BY(mutex_);
  nlohmann::json status_ ABSL_GUARDED_BY(mutex_) = nlohmann::json::object();
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_STATUS_COLLECTOR_H_
