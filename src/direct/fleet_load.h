#ifndef GCW_DIRECT_FLEET_LOAD_H_
#define GCW_DIRECT_FLEET_LOAD_H_

#include <deque>
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
  static constexpr absl::Duration kMaxAge = load::kMaxFiguresAge;

  // `zone` is the daemon's own availability zone.
  explicit FleetLoad(std::string_view zone);

  // Replaces the figures of the fleet, which were current at `now` less the age
  // that they state.
  void SetFleet(load::FleetFigures figures, absl::Time now);
  // Replaces the figures of this daemon. Call this with each tick.
  void SetOwn(load::Figures figures, absl::Time now);
  void SetFleetPosition(const FleetPosition& position) { position_ = position; }

  // The requests of all daemons that run or queue at the servers of `service`
  // in `zone`, when the figures were measured. Without recent figures of the
  // daemons of `zone`: for the own zone an estimate from this daemon's own
  // requests and the number of daemons in the zone, for another zone nullopt.
  std::optional<double> Outstanding(std::string_view service,
                                    std::string_view zone,
                                    absl::Time now) const;
  // The same with a sharp rise of this daemon's own requests in the own zone
  // since then, scaled by the daemons of the zone.
  std::optional<double> OutstandingWithRise(std::string_view service,
                                            std::string_view zone,
                                            absl::Time now) const;
  // Outstanding() summed over all zones; an estimate from this daemon's own
  // requests and the number of daemons of the fleet if no recent figures are
  // known.
  double Outstanding(std::string_view service, absl::Time now) const;

  // Whether figures that are not older than kMaxAge are known of at least half
  // of the fleet's daemons.
  bool fresh(absl::Time now) const;
  // The same for figures of the daemons of the own zone.
  bool covers_own_zone(absl::Time now) const {
    return RecentCoverage(zone_, now) != nullptr;
  }
  // The age of the oldest figures of the fleet that are in use;
  // InfiniteDuration if there are none.
  absl::Duration age(absl::Time now) const;

  const load::Figures& own() const { return own_; }

 private:
  struct Sample {
    absl::Time taken;
    load::Figures figures;
  };

  // The part of the figures that comes from the daemons of `zone`, if it is not
  // older than kMaxAge and, for the own zone, includes at least half of the
  // daemons.
  const load::Coverage* RecentCoverage(load::NameHash zone,
                                       absl::Time now) const;
  // How many more requests this daemon has at the servers of `service` in the
  // own zone than when `coverage` was measured; 0 if chance explains the
  // difference.
  double OwnRise(load::NameHash service,
                 const load::Coverage& coverage,
                 absl::Time now) const;

  const load::NameHash zone_;
  load::FleetFigures fleet_;
  absl::Time fleet_set_at_ = absl::InfinitePast();
  load::Figures own_;
  // This daemon's figures of the last kMaxAge, oldest first.
  std::deque<Sample> own_history_;
  FleetPosition position_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLEET_LOAD_H_
