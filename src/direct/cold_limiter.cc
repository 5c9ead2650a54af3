#include "src/direct/cold_limiter.h"

#include <algorithm>
#include <cassert>

namespace gcw::direct {
namespace {

// Quotas for new flows to a cold server hold in any span of this length: one
// second, plus a margin for the jitter with which flows arrive at the server.
constexpr absl::Duration kRateWindow = absl::Milliseconds(1050);
// Minimum rate of new flows from all daemons to one cold server. Used for
// services whose configured rate is lower or not set. The users tolerate five
// flows per second beyond the configured rate.
constexpr double kMinFlowsPerSecond = 3;
// After a daemon first learns its position in the fleet, it sends cold servers
// no flows for this time, because its quotas depend on the number of daemons.
// Daemons that start together have discovered each other well within this time.
constexpr absl::Duration kFleetDiscoveryTime = absl::Seconds(1);

}  // namespace

void ColdLimiter::SetFleetPosition(const FleetPosition& position,
                                   absl::Time now) {
  assert(position.daemons > 0 && position.rank < position.daemons);
  fleet_ = position;
  if (first_set_at_ == absl::InfinitePast()) {
    first_set_at_ = now;
  }
}

std::size_t ColdLimiter::FlowQuota(std::uint64_t server,
                                   double flows_per_second) const {
  const auto fleet_quota = static_cast<std::uint64_t>(
      std::max(flows_per_second, kMinFlowsPerSecond));
  const std::uint64_t rotated_rank =
      (fleet_.rank + server % fleet_.daemons) % fleet_.daemons;
  const std::uint64_t remainder = fleet_quota % fleet_.daemons;
  return fleet_quota / fleet_.daemons + (rotated_rank < remainder ? 1 : 0);
}

bool ColdLimiter::CanAccept(std::uint64_t server,
                            double flows_per_second,
                            absl::Time now) {
  if (now - first_set_at_ < kFleetDiscoveryTime) {
    return false;
  }
  std::deque<absl::Time>& flows = recent_flows_[server];
  while (!flows.empty() && now - flows.front() >= kRateWindow) {
    flows.pop_front();
  }
  return flows.size() < FlowQuota(server, flows_per_second);
}

void ColdLimiter::RecordFlow(std::uint64_t server, absl::Time now) {
  recent_flows_[server].push_back(now);
}

void ColdLimiter::Expire(absl::Time now) {
  absl::erase_if(recent_flows_, [&](const auto& item) {
    return item.second.empty() || now - item.second.back() >= kRateWindow;
  });
}

}  // namespace gcw::direct
