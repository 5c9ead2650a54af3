#ifndef GCW_DIRECT_ADMISSION_H_
#define GCW_DIRECT_ADMISSION_H_

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "absl/time/time.h"

namespace gcw::direct {

// How a daemon sees the load of one service.
struct ServiceLoad {
  // That wait or run, as if every daemon carried as many as this one.
  double requests_per_slot = 0;
  // Part of the requests under way that wait beyond half of their target.
  double overdue = 0;
};

// Decides which new flows of one service are turned away at once while its
// servers are asked for more than they bear. Answers the load of a burst in
// which every request waits behind others until it is late: fewer are let in,
// those of the least important routes first, until the answers that are given
// come in time.
//
// Two signs together tell that more is asked than is borne: answers take longer
// than their routes aim at, and requests wait behind others. Slow servers alone
// show only the first, a busy second only the other. No word of other daemons
// is needed, since all see the same servers. Pure; not thread-safe.
class Admission {
 public:
  explicit Admission(std::uint64_t seed);

  // An answer took `waited`; its route aims at `target`. Precondition: `target`
  // is positive.
  void OnAnswer(absl::Duration waited, absl::Duration target);

  // Whether a new flow of a route with this priority (0 is the most important)
  // may be placed. Counts it as demand.
  bool Admit(std::uint32_t priority);

  // Adapts to the answers and the load; to be called every 50 ms or so.
  void OnTick(const ServiceLoad& load, absl::Time now);

  // The part of new flows that may be placed.
  double share() const { return share_; }

 private:
  bool Crowded(const ServiceLoad& load);
  bool Calm(const ServiceLoad& load);
  double MedianWait();
  double ChanceOf(std::uint32_t priority) const;

  std::mt19937_64 random_;
  double share_ = 1;
  absl::Time window_start_ = absl::InfinitePast();
  // Waits of the window, in parts of their targets.
  std::vector<double> waits_;
  // New flows lately by priority; older ones count less and less.
  std::map<std::uint32_t, double> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ADMISSION_H_
