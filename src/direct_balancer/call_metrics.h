#ifndef GCW_DIRECT_BALANCER_CALL_METRICS_H_
#define GCW_DIRECT_BALANCER_CALL_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace gcw::direct_balancer {

// Counts calls to the platform by kind (for example "list servers/") and result
// (a result code name from docs/ERRORS.md). Thread-safe.
class CallMetrics {
 public:
  using Counts = std::map<std::pair<std::string, std::string>, std::uint64_t>;

  // Adds one call of this kind with this result.
  void Count(std::string kind, std::string result) {
    absl::MutexLock lock(&mutex_);
    ++counts_[{std::move(kind), std::move(result)}];
  }

  // A copy of all counters.
  Counts counts() const {
    absl::MutexLock lock(&mutex_);
    return counts_;
  }

 private:
  mutable absl::Mutex mutex_;
  Counts counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_CALL_METRICS_H_
