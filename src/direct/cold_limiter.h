#ifndef GCW_DIRECT_COLD_LIMITER_H_
#define GCW_DIRECT_COLD_LIMITER_H_

#include <cstddef>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/packet.h"

namespace gcw::direct {

// Keeps this daemon's new flows to each cold server within its part of what the
// server bears from the whole fleet, in any span of a second. Answers the load
// of a service whose servers are all cold, where every daemon has no other
// choice at the same moment: each server's flows are dealt out whole, to
// daemons that differ from server to server. Pure; not thread-safe.
class ColdLimiter {
 public:
  // The parts follow from `place`. The first second after the first call the
  // fleet counts as unknown, and cold servers get nothing; without any call
  // this daemon is alone.
  void SetFleetPosition(const FleetPosition& place, absl::Time now);
  const FleetPosition& fleet() const { return fleet_; }

  // Whether the server may get a flow now, if it bears `flows_per_second` from
  // all daemons.
  bool CanAccept(FlowCookie server, double flows_per_second, absl::Time now);
  void RecordFlow(FlowCookie server, absl::Time now);

  // Forgets servers that got nothing lately.
  void Expire(absl::Time now);

 private:
  std::size_t FlowQuota(FlowCookie server, double flows_per_second) const;

  FleetPosition fleet_;
  absl::Time first_set_at_ = absl::InfinitePast();
  // Flows of the last second, oldest first.
  absl::flat_hash_map<FlowCookie, std::deque<absl::Time>> recent_flows_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_COLD_LIMITER_H_
