#include "src/direct/fleet_load.h"

namespace gcw::direct {

FleetLoad::FleetLoad(std::string_view zone) : zone_(load::HashName(zone)) {}

void FleetLoad::SetFleet(const load::FleetFigures& figures, absl::Time now) {
  fleet_ = figures;
  fleet_set_at_ = now;
}

void FleetLoad::SetOwn(const load::Figures& figures, absl::Time /*now*/) {
  own_ = figures;
}

void FleetLoad::SetFleetPosition(const FleetPosition& position) {
  position_ = position;
}

std::optional<double> FleetLoad::Outstanding(std::string_view /*service*/,
                                             std::string_view /*zone*/,
                                             absl::Time /*now*/) const {
  return std::nullopt;
}

double FleetLoad::Outstanding(std::string_view service,
                              absl::Time /*now*/) const {
  double own = 0;
  for (const load::ZoneLoad& zone : own_.zones) {
    own += zone.service == load::HashName(service) ? zone.outstanding : 0;
  }
  return own * position_.daemons;
}

bool FleetLoad::fresh(absl::Time now) const {
  return age(now) <= kMaxAge;
}

absl::Duration FleetLoad::age(absl::Time now) const {
  return now - fleet_set_at_;
}

}  // namespace gcw::direct
