#include "src/direct/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

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
// requests queue. A daemon estimates the number from its own flows only, with
// an error of a third where availability zones differ in size.
constexpr double kOverloadRequestsPerSlot = 2;
constexpr double kSevereRequestsPerSlot = 4;
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
// This share of the new flows is admitted even during an overload, since their
// answers show when the overload ends.
constexpr double kMinAdmittedShare = 0.05;
// Factor by which the counts of recent new flows (the demand) decay at the end
// of each measurement window.
constexpr double kDemandDecayFactor = 0.7;

}  // namespace

AdmissionController::AdmissionController(std::uint64_t seed) : random_(seed) {}

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

void AdmissionController::OnTick(double requests_per_slot, absl::Time now) {
  const absl::Duration window_age = now - window_start_;
  const bool enough_answers = latency_ratios_.size() >= kMinAnswers;
  if (window_age < kMinWindow || (!enough_answers && window_age < kMaxWindow)) {
    return;
  }
  const double median_ratio = MedianLatencyRatio();
  if (median_ratio > kOverloadLatencyRatio &&
      requests_per_slot > kOverloadRequestsPerSlot) {
    const bool severe = requests_per_slot > kSevereRequestsPerSlot;
    admitted_share_ *= severe ? kSevereDecreaseFactor : kDecreaseFactor;
    admitted_share_ = std::max(admitted_share_, kMinAdmittedShare);
  } else if (requests_per_slot < kIdleRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ + kIdleIncrease, 1.0);
  } else if (median_ratio < kNormalLatencyRatio ||
             requests_per_slot < kNormalRequestsPerSlot) {
    admitted_share_ = std::min(admitted_share_ * kIncreaseFactor, 1.0);
  }
  latency_ratios_.clear();
  window_start_ = now;
  for (auto& [priority, flows] : demand_) {
    flows *= kDemandDecayFactor;
  }
}

double AdmissionController::AdmitProbability(std::uint32_t priority) const {
  double total = 0;
  double more_important = 0;
  double own = 0;
  for (const auto& [other_priority, flows] : demand_) {
    total += flows;
    more_important += other_priority < priority ? flows : 0;
    own += other_priority == priority ? flows : 0;
  }
  return std::clamp((admitted_share_ * total - more_important) / own, 0.0, 1.0);
}

bool AdmissionController::Admit(std::uint32_t priority) {
  demand_[priority] += 1;
  if (admitted_share_ >= 1) {
    return true;
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  return uniform(random_) < AdmitProbability(priority);
}

}  // namespace gcw::direct
