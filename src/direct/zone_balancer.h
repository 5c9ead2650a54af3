#ifndef GCW_DIRECT_ZONE_BALANCER_H_
#define GCW_DIRECT_ZONE_BALANCER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "src/direct/fleet_load.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Chooses the availability zone of each new flow: the daemon's own zone as long
// as its servers have room, and for the part beyond that the zones that have
// more room. Has no I/O. Not thread-safe.
class ZoneBalancer {
 public:
  // `zone` is the daemon's own availability zone.
  ZoneBalancer(std::string_view zone, std::uint64_t seed);

  // Adjusts the share of new flows of each service that goes to each zone. Call
  // this about every 50 ms.
  void OnTick(const ServerTable& servers,
              const FleetLoad& load,
              const std::set<std::string, std::less<>>& zones_out,
              absl::Time now);

  // The zone that a new flow of `service` should go to. Valid until the next
  // OnTick().
  std::string_view ChooseZone(std::string_view service);

  // The share of the new flows of `service` that goes to other zones, from 0
  // to 1.
  double overflow_share(std::string_view service) const;

 private:
  const std::string zone_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ZONE_BALANCER_H_
