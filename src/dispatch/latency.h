#ifndef GCW_DISPATCH_LATENCY_H_
#define GCW_DISPATCH_LATENCY_H_

#include <memory>

#include "absl/time/time.h"
#include "gcw/dispatch/status.h"

namespace gcw::dispatch {

// A histogram of latencies from 0.1 ms to 100 s. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(absl::Duration latency);
  // Each quantile is rounded up to the upper edge of its bin.
  LatencySummary summary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_LATENCY_H_
