#ifndef GCW_DIRECT_ADMISSION_CONTROLLER_H_
#define GCW_DIRECT_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "src/direct/caller_counts.h"

namespace gcw::direct {

// A new flow for admission control.
struct NewFlow {
  std::uint32_t priority = 0;  // Of its route; 0 is the most important.
  std::uint32_t caller = 0;    // IP address of the caller.
};

// Whether a new flow may be placed.
struct Admission {
  bool admitted = true;
  // Whether the caller opened many more flows than the others.
  bool over_caller_limit = false;
};

// Admission control for the new flows of one service (load shedding). Answers
// these load patterns: demand beyond the capacity of the whole fleet, in which
// every request may queue until it misses its route's target latency or is
// rejected; repeated requests that accumulate after an outage; a caller with
// very many flows. The controller then admits only a share of the new flows,
// and refuses those of the least important routes first, until the servers
// keep up again.
//
// The service counts as overloaded if answers are slow compared with the target
// latency and requests queue. Slow servers alone make answers slow without a
// queue. During a short peak, or when requests to lost servers stay unanswered,
// requests queue or seem to queue although answers are fast. With recent
// figures of the whole fleet, which leave out requests that wait for longer
// than their target latency, a long queue is an overload whatever the latency.
//
// Which flows of a priority are refused depends on the address of the caller
// and the time of day. As all daemons know the same figures, they refuse the
// same callers without exchanging messages, and a repeated request of a refused
// caller is refused wherever it arrives. Has no I/O. Not thread-safe.
class AdmissionController {
 public:
  // `caller_key` selects which callers are refused first. It must be the same
  // on all daemons, and differ between services.
  explicit AdmissionController(std::uint64_t seed,
                               std::uint64_t caller_key = 0);

  // Records the latency of an answer. `target` is the target latency of its
  // route. Precondition: `target` is positive.
  void OnAnswer(absl::Duration latency, absl::Duration target);

  // Counts `flow` as demand, and returns whether it may be placed. `wall_time`
  // is the time of day.
  Admission Admit(const NewFlow& flow, absl::Time now, absl::Time wall_time);
  // The same for a flow of an unknown caller: flows are refused at random.
  bool Admit(std::uint32_t priority);

  // Adjusts the share of new flows that are admitted. Call this about every 50
  // ms. `requests_per_slot` is the number of requests that run or queue at the
  // service, divided by the number of requests that its servers can run at the
  // same time (slots). `figures_age` is the age of this number if it comes from
  // figures of the whole fleet, nullopt if it is estimated from the flows of
  // this daemon.
  void OnTick(double requests_per_slot,
              absl::Time now,
              std::optional<absl::Duration> figures_age = std::nullopt);

  // The share of new flows that are admitted, from 0 to 1.
  double admitted_share() const { return admitted_share_; }

 private:
  // The order in which new flows are admitted: by priority, and within a
  // priority flows of callers within their limit first.
  struct Rank {
    std::uint32_t priority = 0;
    bool over_caller_limit = false;
    bool operator<(const Rank& other) const {
      return std::tie(priority, over_caller_limit) <
             std::tie(other.priority, other.over_caller_limit);
    }
  };
  struct ShareChange {
    absl::Time at;
    double before;
  };

  // The median ratio of answer latency to target latency since
  // `answers_since_`; 0 if there were fewer than kMinAnswers answers.
  double MedianLatencyRatio();
  // The share that was in force at `time`.
  double ShareAt(absl::Time time) const;
  // Adjusts the share to the load. `measured` is when `requests_per_slot` was
  // measured if it comes from figures of the whole fleet.
  void AdjustToFigures(double requests_per_slot,
                       bool late,
                       absl::Time measured);
  void AdjustToOwnEstimate(double requests_per_slot,
                           double median_ratio,
                           bool late);
  // The share of flows of `rank` that are admitted. If only a share of the new
  // flows is admitted, flows that come first in the order of ranks are admitted
  // first. Precondition: a flow of `rank` is counted in `demand_`.
  double AdmitProbability(const Rank& rank) const;
  // Counts a flow of `rank` as demand and returns whether it is admitted.
  // `position` is uniformly distributed in [0, 1).
  bool AdmitAt(double position, const Rank& rank);
  // The position of a caller in the order in which callers are refused.
  double PositionOf(std::uint32_t caller, absl::Time wall_time) const;

  const std::uint64_t caller_key_;
  std::mt19937_64 random_;
  CallerCounts caller_counts_;
  double admitted_share_ = 1;
  // Changes of the share since the figures in use were measured, oldest first.
  std::deque<ShareChange> changes_;
  absl::Time window_start_ = absl::InfinitePast();
  absl::Time answers_since_ = absl::InfinitePast();
  // Latencies of the answers since `answers_since_`, each divided by the target
  // latency of its route.
  std::vector<double> latency_ratios_;
  // Numbers of recent new flows by rank, with exponential decay.
  std::map<Rank, double> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSION_CONTROLLER_H_
