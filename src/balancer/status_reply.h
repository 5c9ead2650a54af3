#ifndef GCW_BALANCER_STATUS_REPLY_H_
#define GCW_BALANCER_STATUS_REPLY_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gcw::balancer {

// Gathers the status of several tasks. Thread-safe.
class StatusReply {
 public:
  // `parts` is how many Put calls are expected.
  explicit StatusReply(std::size_t parts) : missing_(parts) {}

  // Adds the status of one part under its name.
  void Put(std::string_view part, nlohmann::json status);

  // The parts that answered within `timeout`; the field "missing" counts those
  // that did not.
  nlohmann::json Wait(absl::Duration timeout);

 private:
  absl::Mutex mutex_;
  std::size_t missing_ ABSL_GUARDED_BY(mutex_);
  nlohmann::json status_ ABSL_GUARDED_BY(mutex_) = nlohmann::json::object();
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_STATUS_REPLY_H_
