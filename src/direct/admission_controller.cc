#include "src/direct/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

#include "gcw/base/hash.h"

namespace gcw::direct {
namespace {

// The share of new flows that are admitted is adjusted at the end of each
// measurement window. A window ends after kMinWindow if recent figures of the
// fleet are known, so that small daemons react as fast as others, or if the
// service's servers have sent at least kMinAnswers answers since its start.
constexpr absl::Duration kMinWindow = absl::Milliseconds(100);
constexpr std::size_t kMinAnswers = 5;
// Without figures, a measurement window in which the servers have sent fewer
// than kMinAnswers answers ends after this time, and the servers then count as
// not overloaded. With figures, answers are collected for at most this time.
constexpr absl::Duration kMaxWindow = absl::Milliseconds(500);
// Thresholds for the median latency of the answers, as fractions of the target
// latency: above the first the service may be overloaded, below the second its
// latency is normal. A median of half the target leaves the other half for the
// variation between answers.
constexpr double kOverloadLatencyRatio = 0.5;
constexpr double kNormalLatencyRatio = 0.4;
// Requests that run or queue at a service, per slot. A slot is what a backend
// server needs to process one request at a time. At the first number most
// requests queue. An estimate from the daemon's own flows has an error of a
// third where availability zones differ in size.
constexpr double kOverloadRequestsPerSlot = 2;
constexpr double kSevereRequestsPerSlot = 4;
// Above this many requests per slot, recent figures of the whole fleet show an
// overload whatever the latency: servers reject requests at about 5, and some
// servers have more than the mean.
constexpr double kRejectingRequestsPerSlot = 3;
// Below this many requests per slot, hardly any request queues, and slots may
// soon be idle.
constexpr double kNormalRequestsPerSlot = 1.5;
// Below this many requests per slot, some slots are idle.
constexpr double kIdleRequestsPerSlot = 1;
// Factors by which the share of new flows that are admitted falls during an
// overload and rises afterwards; kIdleIncrease is added if slots are idle. The
// share falls quickly, because admitted flows stay open, and rises slowly
// unless slots are idle.
constexpr double kDecreaseFactor = 0.8;
constexpr double kSevereDecreaseFactor = 0.6;
constexpr double kIncreaseFactor = 1.06;
constexpr double kIdleIncrease = 0.05;
// Figures of the fleet are 0.3 to 0.8 s old, in which the share may change
// eight times. The share is therefore bounded by multiples of what it was when
// the figures were measured, so that a change is not repeated before its effect
// is known. In a severe overload, demand may be any multiple of the capacity;
// the share falls to kSevereUnseenDecrease of its value at once, since servers
// reject the excess until the next figures. Below kIdleRequestsPerSlot the
// requests that run are proportional to the share: it rises to what should
// yield kTargetRequestsPerSlot, at most kMaxUnseenIncrease times. Doubling the
// share is safe only while most slots are idle; repeated requests otherwise
// make it swing.
constexpr double kTargetRequestsPerSlot = 1.1;
constexpr double kMaxUnseenIncrease = 1.25;
constexpr double kMostlyIdleRequestsPerSlot = 0.4;
constexpr double kMostlyIdleUnseenIncrease = 2;
constexpr double kSevereUnseenDecrease = 0.4;
// This share of the new flows is admitted even during an overload, since their
// answers show when the overload ends.
constexpr double kMinAdmittedShare = 0.05;
// Time constant with which the counts of recent new flows (the demand) decay. A
// small daemon receives ten new flows in this time; fewer would say little of
// the parts of the priorities.
constexpr absl::Duration kDemandTime = absl::Seconds(1);
// Time in which the positions of callers move once through the whole range: no
// caller is refused for longer, and callers give up after 4 to 12 s.
constexpr absl::Duration kRotationTime = absl::Seconds(10);

}  // namespace

AdmissionController::AdmissionController(std::uint64_t seed,
                                         std::uint64_t caller_key)
    : caller_key_(caller_key), random_(seed) {}

void AdmissionController::OnAnswer(absl::Duration latency,
                                   absl::Duration target) {
  assert(target > absl::ZeroDuration());
  latency_ratios_.push_back(absl::FDivDuration(latency, target));
}

double AdmissionController::MedianLatencyRatio() {
  if (latency_ratios_.size() < kMinAnswers) {
    return 0;
  }
  const auto middle = latency_ratios_.begin() +
                      static_cast<std::ptrdiff_t>(latency_ratios_.size() / 2);
  std::nth_element(latency_ratios_.begin(), middle, latency_ratios_.end());
  return *middle;
}

double AdmissionController::ShareAt(absl::Time time) const {
  const auto change =
      std::find_if(changes_.begin(), changes_.end(),
                   [&](const ShareChange& c) { return c.at > time; });
  return change == changes_.end() ? admitted_share_ : change->before;
}

void AdmissionController::AdjustToFigures(double requests_per_slot,
                                          bool late,
                                          absl::Time measured) {
  const double then = ShareAt(measured);
  if (late || requests_per_slot > kRejectingRequestsPerSlot) {
    const bool severe = requests_per_slot > kSevereRequestsPerSlot;
    const double factor = severe ? kSevereUnseenDecrease : kDecreaseFactor;
    const double lowest = std::max(factor * then, kMinAdmittedShare);
    admitted_share_ = std::min(admitted_share_, lowest);
    return;
  }
  double highest = then;
  double raised = admitted_share_ * kIncreaseFactor;
  if (requests_per_slot < kIdleRequestsPerSlot) {
    raised = admitted_share_ + kIdleIncrease;
    highest *= requests_per_slot < kMostlyIdleRequestsPerSlot
                   ? kMostlyIdleUnseenIncrease
                   : std::min(kMaxUnseenIncrease,
                              kTargetRequestsPerSlot / requests_per_slot);
  } else if (requests_per_slot < kNormalRequestsPerSlot) {
    highest *= kIncreaseFactor;
  }
  admitted_share_ = std::max(admitted_share_, std::min({raised, highest, 1.0}));
}

void AdmissionController::AdjustToOwnEstimate(double requests_per_slot,
                                              double median_ratio,
                                              bool late) {
  if (late) {
    const bool severe = requests_per_slot > kSevereRequestsPerSlot;
    admitted_share_ *= severe ? kSevereDecreaseFactor : kDecreaseFactor;
    admitted_share_ = std::max(admitted_share_, kMinAdmittedShare);
  } else if (requests_per_slot < kIdleRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ + kIdleIncrease, 1.0);
  } else if (median_ratio < kNormalLatencyRatio ||
             requests_per_slot < kNormalRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ * kIncreaseFactor, 1.0);
  }
}

void AdmissionController::OnTick(double requests_per_slot,
                                 absl::Time now,
                                 std::optional<absl::Duration> figures_age) {
  const absl::Duration window_age = now - window_start_;
  const bool enough_answers = latency_ratios_.size() >= kMinAnswers;
  if (window_age < kMinWindow ||
      (!figures_age && !enough_answers && window_age < kMaxWindow)) {
    return;
  }
  const double median_ratio = MedianLatencyRatio();
  const bool late = median_ratio > kOverloadLatencyRatio &&
                    requests_per_slot > kOverloadRequestsPerSlot;
  const double share = admitted_share_;
  if (figures_age) {
    AdjustToFigures(requests_per_slot, late, now - *figures_age);
  } else {
    AdjustToOwnEstimate(requests_per_slot, median_ratio, late);
  }
  const absl::Time measured = now - figures_age.value_or(absl::ZeroDuration());
  while (!changes_.empty() && changes_.front().at <= measured) {
    changes_.pop_front();
  }
  if (admitted_share_ != share) {
    changes_.push_back({now, share});
  }
  window_start_ = now;
  if (enough_answers || now - answers_since_ >= kMaxWindow) {
    latency_ratios_.clear();
    answers_since_ = now;
  }
  const double kept = std::exp(-absl::FDivDuration(window_age, kDemandTime));
  for (auto& [rank, flows] : demand_) {
    flows *= kept;
  }
}

double AdmissionController::AdmitProbability(const Rank& rank) const {
  double total = 0;
  double before = 0;
  for (const auto& [other, flows] : demand_) {
    total += flows;
    before += other < rank ? flows : 0;
  }
  return std::clamp((admitted_share_ * total - before) / demand_.at(rank), 0.0,
                    1.0);
}

bool AdmissionController::AdmitAt(double position, const Rank& rank) {
  demand_[rank] += 1;
  return admitted_share_ >= 1 || position >= 1 - AdmitProbability(rank);
}

double AdmissionController::PositionOf(std::uint32_t caller,
                                       absl::Time wall_time) const {
  const double start = static_cast<double>(MixHash(caller_key_, caller) >> 11) *
                       0x1p-53;  // In [0, 1): the upper 53 bits.
  const double moved = absl::FDivDuration(
      (wall_time - absl::UnixEpoch()) % kRotationTime, kRotationTime);
  const double position = start + moved;
  return position < 1 ? position : position - 1;
}

Admission AdmissionController::Admit(const NewFlow& flow,
                                     absl::Time now,
                                     absl::Time wall_time) {
  const bool over_limit = !caller_counts_.Count(flow.caller, now);
  const bool admitted =
      AdmitAt(PositionOf(flow.caller, wall_time), {flow.priority, over_limit});
  return {admitted, over_limit};
}

bool AdmissionController::Admit(std::uint32_t priority) {
  std::uniform_real_distribution<double> uniform(0, 1);
  return AdmitAt(uniform(random_), {priority, false});
}

}  // namespace gcw::direct
