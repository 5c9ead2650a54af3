#ifndef GCW_DIRECT_COLD_LIMITER_H_
#define GCW_DIRECT_COLD_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"

namespace gcw::direct {

// Limits the rate of new flows from this daemon to each cold server, that is
// each server that has reported to be warming up. The fleet may send a certain
// number of flows to a cold server in any one-second span, and this class
// enforces the daemon's quota of that number. This matters most when all
// servers of a service are cold, so that all daemons send new flows to them at
// once. Quotas are whole numbers; which daemons get one flow more than others
// differs from server to server. A server is identified by its number
// (BackendServer::number), so that its limit holds whichever incarnation the
// daemons take for the present one. Has no I/O. Not thread-safe.
class ColdLimiter {
 public:
  // Sets this daemon's position in the fleet, which determines its quotas. Cold
  // servers get no flows during the first second after the first call, while
  // the daemons discover each other. Before the first call, the daemon counts
  // as the only one. Precondition: position.rank < position.daemons.
  void SetFleetPosition(const FleetPosition& position, absl::Time now);
  const FleetPosition& fleet() const { return fleet_; }

  // Whether the cold server `server` may get a new flow from this daemon now.
  // `flows_per_second` is the limit for the new flows of all daemons together.
  bool CanAccept(std::uint64_t server, double flows_per_second, absl::Time now);
  // Counts a new flow on the cold server `server` against this daemon's quota.
  void RecordFlow(std::uint64_t server, absl::Time now);

  // Removes the records of servers that got no new flow from this daemon within
  // the last second.
  void Expire(absl::Time now);

 private:
  // How many new flows this daemon may place on the cold server `server` in a
  // second.
  std::size_t FlowQuota(std::uint64_t server, double flows_per_second) const;

  FleetPosition fleet_;
  absl::Time first_set_at_ = absl::InfinitePast();
  // Start times of this daemon's new flows of the last second by cold server,
  // oldest first.
  absl::flat_hash_map<std::uint64_t, std::deque<absl::Time>> recent_flows_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_COLD_LIMITER_H_
