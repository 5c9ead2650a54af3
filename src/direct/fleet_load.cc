#include "src/direct/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw::direct {
namespace {

// A rise of this daemon's own requests counts if it is larger than this many
// standard deviations of the difference between two Poisson counts.
constexpr double kSignificantDeviations = 2;
// Figures are scaled up by the daemons that they lack, at most this much.
// Beyond it, as while few daemons of a fleet have been upgraded, an estimate
// from this daemon's own flows is closer.
constexpr double kMaxScale = 2;

// The outstanding requests of `service` in `figures`: at the servers of `zone`,
// or of all zones if `zone` is nullopt.
double OutstandingIn(const load::Figures& figures,
                     load::NameHash service,
                     std::optional<load::NameHash> zone) {
  double outstanding = 0;
  for (const load::ZoneLoad& cell : figures.zones) {
    if (cell.service == service && (!zone || cell.zone == *zone)) {
      outstanding += cell.outstanding;
    }
  }
  return outstanding;
}

}  // namespace

FleetLoad::FleetLoad(std::string_view zone) : zone_(load::HashName(zone)) {}

void FleetLoad::SetFleet(load::FleetFigures figures, absl::Time now) {
  fleet_ = std::move(figures);
  fleet_set_at_ = now;
}

void FleetLoad::SetOwn(load::Figures figures, absl::Time now) {
  own_ = std::move(figures);
  own_history_.push_back({now, own_});
  while (now - own_history_.front().taken > kMaxAge) {
    own_history_.pop_front();
  }
}

const load::Coverage* FleetLoad::RecentCoverage(load::NameHash zone,
                                                absl::Time now) const {
  const auto it = std::find_if(
      fleet_.coverage.begin(), fleet_.coverage.end(),
      [&](const load::Coverage& part) { return part.zone == zone; });
  const bool recent =
      it != fleet_.coverage.end() && it->age + (now - fleet_set_at_) <= kMaxAge;
  const bool covers_half =
      recent &&
      (zone != zone_ || kMaxScale * it->daemons >= position_.zone_daemons);
  return covers_half ? &*it : nullptr;
}

double FleetLoad::OwnRise(load::NameHash service,
                          const load::Coverage& coverage,
                          absl::Time now) const {
  const absl::Time measured = fleet_set_at_ - coverage.age;
  const auto then = std::find_if(
      own_history_.begin(), own_history_.end(),
      [&](const Sample& sample) { return sample.taken >= measured; });
  if (then == own_history_.end() || now - measured > kMaxAge) {
    return 0;
  }
  const double before = OutstandingIn(then->figures, service, zone_);
  const double current = OutstandingIn(own_, service, zone_);
  const double chance = kSignificantDeviations * std::sqrt(before + current);
  return current - before > chance ? current - before : 0;
}

std::optional<double> FleetLoad::Outstanding(std::string_view service,
                                             std::string_view zone,
                                             absl::Time now) const {
  const load::NameHash service_hash = load::HashName(service);
  const load::NameHash zone_hash = load::HashName(zone);
  const bool own_zone = zone_hash == zone_;
  const load::Coverage* coverage = RecentCoverage(zone_hash, now);
  if (coverage == nullptr) {
    if (!own_zone) {
      return std::nullopt;
    }
    return OutstandingIn(own_, service_hash, zone_) * position_.zone_daemons;
  }
  const double outstanding = OutstandingIn(fleet_.sum, service_hash, zone_hash);
  if (!own_zone) {
    return outstanding;
  }
  const double missing = static_cast<double>(position_.zone_daemons) /
                         std::max<std::uint32_t>(coverage->daemons, 1);
  return outstanding * std::clamp(missing, 1.0, kMaxScale);
}

std::optional<double> FleetLoad::OutstandingWithRise(std::string_view service,
                                                     std::string_view zone,
                                                     absl::Time now) const {
  std::optional<double> outstanding = Outstanding(service, zone, now);
  const load::Coverage* coverage = RecentCoverage(zone_, now);
  if (outstanding && coverage != nullptr && load::HashName(zone) == zone_) {
    *outstanding += OwnRise(load::HashName(service), *coverage, now) *
                    position_.zone_daemons;
  }
  return outstanding;
}

double FleetLoad::Outstanding(std::string_view service, absl::Time now) const {
  const load::NameHash hash = load::HashName(service);
  if (!fresh(now)) {
    return OutstandingIn(own_, hash, std::nullopt) * position_.daemons;
  }
  std::uint32_t covered = 0;
  for (const load::Coverage& part : fleet_.coverage) {
    covered += part.daemons;
  }
  const double missing = static_cast<double>(position_.daemons) /
                         std::max<std::uint32_t>(covered, 1);
  return OutstandingIn(fleet_.sum, hash, std::nullopt) *
         std::clamp(missing, 1.0, kMaxScale);
}

bool FleetLoad::fresh(absl::Time now) const {
  std::uint32_t covered = 0;
  for (const load::Coverage& part : fleet_.coverage) {
    const bool recent = part.age + (now - fleet_set_at_) <= kMaxAge;
    covered += recent ? part.daemons : 0;
  }
  return covered > 0 && kMaxScale * covered >= position_.daemons;
}

absl::Duration FleetLoad::age(absl::Time now) const {
  absl::Duration oldest = -absl::InfiniteDuration();
  for (const load::Coverage& part : fleet_.coverage) {
    const absl::Duration age = part.age + (now - fleet_set_at_);
    oldest = age <= kMaxAge ? std::max(oldest, age) : oldest;
  }
  return oldest < absl::ZeroDuration() ? absl::InfiniteDuration() : oldest;
}

}  // namespace gcw::direct
