#include "src/direct/admission.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace gcw::direct {
namespace {

// Answers are judged together for this long, or until there are enough.
constexpr absl::Duration kWindow = absl::Milliseconds(100);
constexpr std::size_t kEnoughAnswers = 5;
// Without enough answers for this long, nothing says that servers are
// overloaded.
constexpr absl::Duration kLongestWindow = absl::Milliseconds(500);
// Median waits, in parts of the target. Half of a target is left for what
// answers differ by.
constexpr double kOverloadWait = 0.5;
constexpr double kNormalWait = 0.4;
// With this many requests for each slot, most wait behind another. The figure
// of a single daemon is off by a third where zones have unequal numbers.
constexpr double kOverloadPerSlot = 2;
constexpr double kSeverePerSlot = 4;
// Below it hardly any waits, and slots may soon have nothing to do.
constexpr double kNormalPerSlot = 1.5;
constexpr double kIdlePerSlot = 1;
// The share falls fast, as every flow let in stays, and rises slowly unless
// slots are idle.
constexpr double kFall = 0.8;
constexpr double kSevereFall = 0.6;
constexpr double kRise = 1.06;
constexpr double kIdleRise = 0.05;
// Some are always let in, since their answers tell when the load is over.
constexpr double kLeastShare = 0.05;
// What remains of the demand that was counted, after each window.
constexpr double kDemandKept = 0.7;

}  // namespace

Admission::Admission(std::uint64_t seed) : random_(seed) {}

void Admission::OnAnswer(absl::Duration waited, absl::Duration target) {
  assert(target > absl::ZeroDuration());
  waits_.push_back(absl::FDivDuration(waited, target));
}

double Admission::MedianWait() {
  if (waits_.size() < kEnoughAnswers) {
    return 0;
  }
  const auto middle =
      waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() / 2);
  std::nth_element(waits_.begin(), middle, waits_.end());
  return *middle;
}

void Admission::OnTick(double requests_per_slot, absl::Time now) {
  const absl::Duration window = now - window_start_;
  const bool enough = waits_.size() >= kEnoughAnswers;
  if (window < kWindow || (!enough && window < kLongestWindow)) {
    return;
  }
  const double median = MedianWait();
  if (median > kOverloadWait && requests_per_slot > kOverloadPerSlot) {
    const bool severe = requests_per_slot > kSeverePerSlot;
    share_ *= severe ? kSevereFall : kFall;
    share_ = std::max(share_, kLeastShare);
  } else if (requests_per_slot < kIdlePerSlot) {
    share_ = std::min(share_ + kIdleRise, 1.0);
  } else if (median < kNormalWait || requests_per_slot < kNormalPerSlot) {
    share_ = std::min(share_ * kRise, 1.0);
  }
  waits_.clear();
  window_start_ = now;
  for (auto& [priority, flows] : demand_) {
    flows *= kDemandKept;
  }
}

double Admission::ChanceOf(std::uint32_t priority) const {
  double total = 0;
  double before = 0;
  double own = 0;
  for (const auto& [other, flows] : demand_) {
    total += flows;
    before += other < priority ? flows : 0;
    own += other == priority ? flows : 0;
  }
  return std::clamp((share_ * total - before) / own, 0.0, 1.0);
}

bool Admission::Admit(std::uint32_t priority) {
  demand_[priority] += 1;
  if (share_ >= 1) {
    return true;
  }
  std::uniform_real_distribution<double> lot(0, 1);
  return lot(random_) < ChanceOf(priority);
}

}  // namespace gcw::direct
