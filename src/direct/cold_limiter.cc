#include "src/direct/cold_limiter.h"

#include <algorithm>
#include <cassert>

namespace gcw::direct {
namespace {

// Limits hold in any span of a second; flows arrive with some jitter.
constexpr absl::Duration kSpan = absl::Milliseconds(1050);
// What a cold server is given where its service names no rate, or less: the
// users tolerate five flows a second beyond any rate.
constexpr double kLeastFlowsPerSecond = 3;
// Daemons that start together know each other well within this time.
constexpr absl::Duration kFleetSettles = absl::Seconds(1);

}  // namespace

void ColdLimiter::SetFleet(const FleetPlace& place, absl::Time now) {
  assert(place.daemons > 0 && place.rank < place.daemons);
  fleet_ = place;
  if (first_told_ == absl::InfinitePast()) {
    first_told_ = now;
  }
}

std::size_t ColdLimiter::PartOf(FlowCookie server,
                                double flows_per_second) const {
  const auto whole = static_cast<std::uint64_t>(
      std::max(flows_per_second, kLeastFlowsPerSecond));
  const std::uint64_t turn =
      (std::uint64_t{fleet_.rank} + server) % fleet_.daemons;
  const std::uint64_t rest = whole % fleet_.daemons;
  return whole / fleet_.daemons + (turn < rest ? 1 : 0);
}

bool ColdLimiter::MayTake(FlowCookie server,
                          double flows_per_second,
                          absl::Time now) {
  if (now - first_told_ < kFleetSettles) {
    return false;
  }
  std::deque<absl::Time>& flows = flows_[server];
  while (!flows.empty() && now - flows.front() >= kSpan) {
    flows.pop_front();
  }
  return flows.size() < PartOf(server, flows_per_second);
}

void ColdLimiter::Count(FlowCookie server, absl::Time now) {
  flows_[server].push_back(now);
}

void ColdLimiter::Expire(absl::Time now) {
  absl::erase_if(flows_, [&](const auto& item) {
    return item.second.empty() || now - item.second.back() >= kSpan;
  });
}

}  // namespace gcw::direct
