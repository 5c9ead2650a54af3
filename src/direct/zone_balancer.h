#ifndef GCW_DIRECT_ZONE_BALANCER_H_
#define GCW_DIRECT_ZONE_BALANCER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "src/direct/fleet_load.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Chooses the availability zone of each new flow: the daemon's own zone as long
// as its servers have room, and for the part beyond that the zones that have
// more room, so that all zones become about equally utilised. Answers the load
// pattern in which the callers of one zone ask for more than its servers can
// process while other zones have room. Has no I/O. Not thread-safe.
class ZoneBalancer {
 public:
  // `zone` is the daemon's own availability zone.
  ZoneBalancer(std::string_view zone, std::uint64_t seed);

  // Calls Update() if the last one was long enough ago. Call this about every
  // 50 ms.
  void OnTick(const ServerTable& servers,
              const FleetLoad& load,
              const std::set<std::string, std::less<>>& zones_out,
              absl::Time now);

  // Adjusts the share of new flows of each service that goes to each zone. Call
  // this when a zone was taken out of service or put back.
  void Update(const ServerTable& servers,
              const FleetLoad& load,
              const std::set<std::string, std::less<>>& zones_out,
              absl::Time now);

  // The zone that a new flow of `service` should go to. Valid until the next
  // Update().
  std::string_view ChooseZone(std::string_view service);

  // The share of the new flows of `service` that goes to other zones, from 0
  // to 1.
  double overflow_share(std::string_view service) const;

  // The services of which some new flows go to other zones. Valid until the
  // next Update().
  std::vector<std::string_view> OverflowingServices() const;

  // The utilisation of each zone by service, for metrics.
  std::vector<ZoneLoadStats> Stats() const;

 private:
  struct Zone {
    std::uint64_t slots = 0;  // Of usable servers.
    // Outstanding requests per slot; nullopt if not known.
    std::optional<double> utilisation;
    // Smoothed; the overflow is split among the zones in this proportion.
    double overflow_weight = 0;
  };
  // The share of new flows that stayed in the own zone from `since` on.
  struct OwnShare {
    absl::Time since;
    double share = 1;
  };
  struct ServiceState {
    std::map<std::string, Zone, std::less<>> zones;
    double overflow_weights = 0;  // Sum over the zones.
    double own_share = 1;
    std::deque<OwnShare> history;  // Oldest first.
  };

  void CountSlots(const ServerTable& servers,
                  const std::set<std::string, std::less<>>& zones_out,
                  absl::Time now);
  void UpdateService(std::string_view service,
                     const FleetLoad& load,
                     absl::Time now,
                     ServiceState& state) const;
  // Adjusts the weights of the other zones. `own` is the utilisation of the own
  // zone, `mean` that of all zones. Unless the figures are `fresh`, the
  // utilisation of the other zones is not known.
  void UpdateWeights(double own,
                     double mean,
                     bool fresh,
                     absl::Time now,
                     ServiceState& state) const;
  // The share of new flows that should stay in the own zone for it to reach
  // `target` from `utilisation`, which was measured at `measured`.
  static double OwnShareFor(double utilisation,
                            double target,
                            absl::Time measured,
                            const ServiceState& state);

  const std::string zone_;
  std::mt19937_64 random_;
  absl::Time last_update_ = absl::InfinitePast();
  std::map<std::string, ServiceState, std::less<>> services_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ZONE_BALANCER_H_
