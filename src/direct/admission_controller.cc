#include "src/direct/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

#include "gcw/base/hash.h"

namespace gcw::direct {
namespace {

// The share of new flows that are admitted is adjusted at the end of each
// measurement window. A window ends after kMinWindow if the service's servers
// have sent at least kMinAnswers answers since its start.
constexpr absl::Duration kMinWindow = absl::Milliseconds(100);
constexpr std::size_t kMinAnswers = 5;
// A measurement window in which the servers have sent fewer than kMinAnswers
// answers ends after this time. The servers then count as not overloaded.
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
// Until figures measured after a reduction are known, the share falls to at
// most this part of what it was when the figures were measured. Figures are up
// to 0.8 s old; eight reductions in that time would leave slots idle.
constexpr double kMaxUnseenDecrease = 0.4;
// This share of the new flows is admitted even during an overload, since their
// answers show when the overload ends.
constexpr double kMinAdmittedShare = 0.05;
// Factor by which the counts of recent new flows (the demand) decay at the end
// of each measurement window.
constexpr double kDemandDecayFactor = 0.7;
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

void AdmissionController::Decrease(double factor,
                                   absl::Time measured,
                                   absl::Time now) {
  while (!decreases_.empty() && decreases_.front().at <= measured) {
    decreases_.pop_front();
  }
  const double seen =
      decreases_.empty() ? admitted_share_ : decreases_.front().share_before;
  const double lowest = std::max(kMaxUnseenDecrease * seen, kMinAdmittedShare);
  const double reduced = std::max(admitted_share_ * factor, lowest);
  if (reduced < admitted_share_) {
    decreases_.push_back({now, admitted_share_});
    admitted_share_ = reduced;
  }
}

void AdmissionController::OnTick(double requests_per_slot,
                                 absl::Time now,
                                 std::optional<absl::Duration> figures_age) {
  const absl::Duration window_age = now - window_start_;
  const bool enough_answers = latency_ratios_.size() >= kMinAnswers;
  if (window_age < kMinWindow || (!enough_answers && window_age < kMaxWindow)) {
    return;
  }
  window_start_ = now;
  const double median_ratio = MedianLatencyRatio();
  const bool queues = requests_per_slot > kOverloadRequestsPerSlot;
  const bool late = median_ratio > kOverloadLatencyRatio && queues;
  const bool rejecting =
      figures_age && requests_per_slot > kRejectingRequestsPerSlot;
  if (late || rejecting) {
    const bool severe = requests_per_slot > kSevereRequestsPerSlot;
    Decrease(severe ? kSevereDecreaseFactor : kDecreaseFactor,
             now - figures_age.value_or(absl::ZeroDuration()), now);
  } else if (requests_per_slot < kIdleRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ + kIdleIncrease, 1.0);
  } else if ((median_ratio < kNormalLatencyRatio && !(figures_age && queues)) ||
             requests_per_slot < kNormalRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ * kIncreaseFactor, 1.0);
  }
  latency_ratios_.clear();
  for (auto& [rank, flows] : demand_) {
    flows *= kDemandDecayFactor;
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
