#ifndef GCW_DIRECT_FLEET_LOAD_H_
#define GCW_DIRECT_FLEET_LOAD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/load/figures.h"

namespace gcw::direct {

// What this daemon knows of the load of the whole fleet: the figures that the
// daemons exchange and, where these are missing or too old, an estimate from
// this daemon's own flows. Has no I/O. Not thread-safe.
class FleetLoad {
 public:
  // Figures of the fleet older than this are not used.
  static constexpr absl::Duration kMaxAge = absl::Milliseconds(1500);

  // `zone` is the daemon's own availability zone.
  explicit FleetLoad(std::string_view zone);

  // Replaces the figures of the fleet, which were current at `now` less the age
  // that they state.
  void SetFleet(const load::FleetFigures& figures, absl::Time now);
  // Replaces the figures of this daemon. Call this with each tick.
  void SetOwn(const load::Figures& figures, absl::Time now);
  void SetFleetPosition(const FleetPosition& position);

  // The requests of all daemons that run or queue at the servers of `service`
  // in `zone`. Without recent figures of the daemons of `zone`: for the own
  // zone an estimate from this daemon's own requests and the number of daemons
  // in the zone, for another zone nullopt.
  std::optional<double> Outstanding(std::string_view service,
                                    std::string_view zone,
                                    absl::Time now) const;
  // The same summed over all zones; an estimate from this daemon's own requests
  // and the number of daemons of the fleet if no recent figures are known.
  double Outstanding(std::string_view service, absl::Time now) const;

  // Whether figures of the fleet that are not older than kMaxAge are known.
  bool fresh(absl::Time now) const;
  // The age of the oldest figures in use; InfiniteDuration if none are.
  absl::Duration age(absl::Time now) const;

 private:
  load::NameHash zone_ = 0;
  load::FleetFigures fleet_;
  absl::Time fleet_set_at_ = absl::InfinitePast();
  load::Figures own_;
  FleetPosition position_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLEET_LOAD_H_
