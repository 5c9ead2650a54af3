#ifndef GCW_DIRECT_BALANCER_METRICS_H_
#define GCW_DIRECT_BALANCER_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gcw/base/event_log.h"
#include "gcw/direct/direct_router.h"
#include "src/direct_balancer/call_metrics.h"
#include "src/direct_balancer/load_exchange.h"

namespace gcw::direct_balancer {

// How often the bound on accepted connections took effect.
struct AcceptStats {
  std::uint64_t closed = 0;   // Idle ones, in favour of new ones.
  std::uint64_t refused = 0;  // New ones, since none was idle.
  std::uint64_t pauses = 0;   // Out of descriptors or memory for a new one.
};

// The daemon's metrics, written by its tasks and rendered by the metrics
// endpoint. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds one latency sample to the histograms of its service.
  void AddWait(const direct::LatencySample& wait);

  // Counts one packet from a caller by the reason for its routing decision.
  void CountPacket(direct::Reason reason) {
    packets_[static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
  }

  // Counts one failed attempt to start a part of the process.
  void CountStartDelay() {
    start_delays_.fetch_add(1, std::memory_order_relaxed);
  }

  // Replaces the router's gauges.
  void SetRouterStats(direct::RouterStats stats) {
    absl::MutexLock lock(&mutex_);
    router_ = std::move(stats);
  }

  // Replaces the counters of connections to a TCP port, named `port`.
  void SetAcceptStats(std::string_view port, const AcceptStats& stats);

  // Replaces the counters of the load exchange.
  void SetLoadExchangeStats(const LoadExchangeStats& stats) {
    absl::MutexLock lock(&mutex_);
    load_exchange_ = stats;
  }

  // Counters of calls to the platform.
  CallMetrics& calls() { return calls_; }

  // All metrics in the Prometheus text exposition format.
  std::string Render(const EventLogStats& log) const;

 private:
  class LatencyHistograms;

  // Append the load of zones, of services, of servers in slow start, and of the
  // load exchange to `out`.
  void RenderZoneLoads(std::string& out) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RenderServiceLoads(std::string& out) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RenderSlowStarts(std::string& out) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RenderLoadExchange(std::string& out) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  std::array<std::atomic<std::uint64_t>, direct::kReasonCount> packets_{};
  std::atomic<std::uint64_t> start_delays_ = 0;
  CallMetrics calls_;
  mutable absl::Mutex mutex_;
  direct::RouterStats router_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, AcceptStats, std::less<>> accepts_
      ABSL_GUARDED_BY(mutex_);  // By port.
  LoadExchangeStats load_exchange_ ABSL_GUARDED_BY(mutex_);
  const std::unique_ptr<LatencyHistograms> latency_histograms_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_METRICS_H_
