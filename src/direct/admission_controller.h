#ifndef GCW_DIRECT_ADMISSION_CONTROLLER_H_
#define GCW_DIRECT_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "absl/time/time.h"

namespace gcw::direct {

// Admission control for the new flows of one service (load shedding). In a
// burst, every request may queue until it misses its route's target latency.
// The controller then admits only a share of the new flows, and refuses those
// of the least important routes first, until answers meet their targets again.
//
// The service counts as overloaded only if answers are slow compared with the
// target latency and requests queue. Slow servers alone make answers slow
// without a queue. During a short peak, or when requests to lost servers stay
// unanswered, requests queue or seem to queue although answers are fast.
// Daemons don't coordinate, since all of them observe the same servers. Has no
// I/O. Not thread-safe.
class AdmissionController {
 public:
  explicit AdmissionController(std::uint64_t seed);

  // Records the latency of an answer. `target` is the target latency of its
  // route. Precondition: `target` is positive.
  void OnAnswer(absl::Duration latency, absl::Duration target);

  // Counts a new flow of a route with this priority (0 is the most important)
  // as demand, and returns whether the flow may be placed.
  bool Admit(std::uint32_t priority);

  // Adjusts the share of new flows that are admitted. Call this about every 50
  // ms. `requests_per_slot` is the number of requests that run or queue at the
  // service, divided by the number of requests that its servers can run at the
  // same time (slots).
  void OnTick(double requests_per_slot, absl::Time now);

  // The share of new flows that are admitted, from 0 to 1.
  double admitted_share() const { return admitted_share_; }

 private:
  // The median ratio of answer latency to target latency since `window_start_`;
  // 0 if there were fewer than kMinAnswers answers.
  double MedianLatencyRatio();
  // The probability with which a flow of this priority is admitted. If only a
  // share of the new flows is admitted, flows of the most important priorities
  // are admitted first.
  double AdmitProbability(std::uint32_t priority) const;

  std::mt19937_64 random_;
  double admitted_share_ = 1;
  absl::Time window_start_ = absl::InfinitePast();
  // Latencies of the answers since `window_start_`, each divided by the target
  // latency of its route.
  std::vector<double> latency_ratios_;
  // Numbers of recent new flows by priority, with exponential decay.
  std::map<std::uint32_t, double> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSION_CONTROLLER_H_
