#ifndef GCW_DIRECT_ADMISSION_CONTROLLER_H_
#define GCW_DIRECT_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "absl/time/time.h"

namespace gcw::direct {

// Decides which new flows of one service are turned away at once while its
// servers are asked for more than they bear. Answers the load of a burst in
// which every request waits behind others until it is late: fewer are let in,
// those of the least important routes first, until the answers that are given
// come in time.
//
// Two signs together tell that more is asked than is borne: answers take longer
// than their routes aim at, and requests wait behind others. Slow servers alone
// show only the first, a busy second or requests to lost servers only the
// other. No word of other daemons is needed, since all see the same servers.
// Pure; not thread-safe.
class AdmissionController {
 public:
  explicit AdmissionController(std::uint64_t seed);

  // An answer took `waited`; its route aims at `target`. Precondition: `target`
  // is positive.
  void OnAnswer(absl::Duration latency, absl::Duration target);

  // Whether a new flow of a route with this priority (0 is the most important)
  // may be placed. Counts it as demand.
  bool Admit(std::uint32_t priority);

  // Adapts to the answers; to be called every 50 ms or so. `requests_per_slot`
  // is how many wait or run for each slot of the service.
  void OnTick(double requests_per_slot, absl::Time now);

  // The part of new flows that may be placed.
  double admitted_share() const { return admitted_share_; }

 private:
  // The median of the window; 0 if there were too few answers.
  double MedianLatencyRatio();
  double AdmitProbability(std::uint32_t priority) const;

  std::mt19937_64 random_;
  double admitted_share_ = 1;
  absl::Time window_start_ = absl::InfinitePast();
  // Waits of the window, in parts of their targets.
  std::vector<double> latency_ratios_;
  // New flows lately by priority; older ones count less and less.
  std::map<std::uint32_t, double> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSION_H_
