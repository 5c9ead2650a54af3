#include "src/direct/caller_counts.h"

#include <numeric>

namespace gcw::direct {
namespace {

constexpr absl::Duration kPeriod = absl::Milliseconds(250);
// A caller that opens this many times the mean number of flows exceeds its
// part. Random variation between equal callers stays below it.
constexpr double kMaxTimesMean = 4;

}  // namespace

void CallerCounts::Advance(absl::Time now) {
  if (now - period_start_ < kPeriod) {
    return;
  }
  if (now - period_start_ >= static_cast<int>(kPeriods) * kPeriod) {
    callers_.clear();
    total_ = 0;
    period_start_ = now;
    return;
  }
  while (now - period_start_ >= kPeriod) {
    period_start_ += kPeriod;
    period_ = (period_ + 1) % kPeriods;
    absl::erase_if(callers_, [&](auto& item) {
      Flows& flows = item.second;
      total_ -= flows[period_];
      flows[period_] = 0;
      return std::accumulate(flows.begin(), flows.end(), 0U) == 0;
    });
  }
}

bool CallerCounts::Count(std::uint32_t caller, absl::Time now) {
  Advance(now);
  auto it = callers_.find(caller);
  if (it == callers_.end()) {
    if (callers_.size() >= kMaxCallers) {
      return true;
    }
    it = callers_.emplace(caller, Flows{}).first;
  }
  Flows& flows = it->second;
  const std::uint32_t own = std::accumulate(flows.begin(), flows.end(), 1U);
  const double mean =
      static_cast<double>(total_ + 1) / static_cast<double>(callers_.size());
  if (own > kMaxTimesMean * mean) {
    return false;
  }
  ++flows[period_];
  ++total_;
  return true;
}

}  // namespace gcw::direct
