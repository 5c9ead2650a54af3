#include "src/direct/zone_balancer.h"

#include <algorithm>
#include <cmath>

namespace gcw::direct {
namespace {

// Figures of the fleet arrive about this often.
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(250);
// Time constant of the utilisation. The figures are up to 0.8 s old, so a
// faster reaction would let the load swing between zones.
constexpr absl::Duration kSmoothingTime = absl::Milliseconds(500);
// Utilisation of the own zone, in outstanding requests per slot, at which new
// flows begin to leave it and at which all of them leave. Below the first one
// hardly any request queues at servers with several slots.
constexpr double kOverflowBegins = 0.55;
constexpr double kOverflowIsFull = 1.0;
// Another zone gets overflow only below this utilisation, so that it keeps room
// for its own callers.
constexpr double kMaxRemoteUtilisation = 0.85;
// How much less utilised than the own zone another zone must be to get any
// overflow, and to get its full part. Flows between zones cost bytes and break
// when the zones are separated.
constexpr double kMinDifference = 0.1;
constexpr double kFullDifference = 0.3;

double Ramp(double value, double begin, double end) {
  return std::clamp((value - begin) / (end - begin), 0.0, 1.0);
}

bool IsUsable(const ServerEntry& entry,
              const std::set<std::string, std::less<>>& zones_out,
              absl::Time now) {
  return entry.presence == Presence::kListed && !entry.server.draining &&
         !entry.cookie_collides && entry.reach.usable() &&
         now >= entry.cold_until && !zones_out.contains(entry.server.zone);
}

}  // namespace

ZoneBalancer::ZoneBalancer(std::string_view zone, std::uint64_t seed)
    : zone_(zone), random_(seed) {}

void ZoneBalancer::OnTick(const ServerTable& servers,
                          const FleetLoad& load,
                          const std::set<std::string, std::less<>>& zones_out,
                          absl::Time now) {
  if (now - last_update_ >= kUpdateInterval) {
    Update(servers, load, zones_out, now);
  }
}

void ZoneBalancer::Update(const ServerTable& servers,
                          const FleetLoad& load,
                          const std::set<std::string, std::less<>>& zones_out,
                          absl::Time now) {
  CountSlots(servers, zones_out, now);
  for (auto& [service, state] : services_) {
    UpdateUtilisation(service, load, now, state);
    UpdateOverflow(load.fresh(now), state);
  }
  last_update_ = now;
}

void ZoneBalancer::CountSlots(
    const ServerTable& servers,
    const std::set<std::string, std::less<>>& zones_out,
    absl::Time now) {
  std::erase_if(services_, [&](const auto& item) {
    return servers.OfService(item.first).empty();
  });
  for (auto& [service, state] : services_) {
    for (auto& [name, zone] : state.zones) {
      zone.slots = 0;
    }
  }
  for (const auto& entry : servers.entries()) {
    if (IsUsable(*entry, zones_out, now)) {
      services_[entry->server.service].zones[entry->server.zone].slots +=
          entry->server.slots;
    }
  }
}

void ZoneBalancer::UpdateUtilisation(std::string_view service,
                                     const FleetLoad& load,
                                     absl::Time now,
                                     ServiceState& state) const {
  const double kept =
      std::exp(-absl::FDivDuration(now - last_update_, kSmoothingTime));
  for (auto& [name, zone] : state.zones) {
    const std::optional<double> outstanding =
        load.Outstanding(service, name, now);
    if (zone.slots == 0 || !outstanding) {
      zone.utilisation.reset();
      continue;
    }
    const double current = *outstanding / static_cast<double>(zone.slots);
    zone.utilisation = zone.utilisation
                           ? current + (*zone.utilisation - current) * kept
                           : current;
  }
}

double ZoneBalancer::Pull(const Zone& own,
                          const Zone& other,
                          bool fresh) const {
  if (own.slots == 0) {
    return 1;
  }
  if (!fresh) {
    return own.utilisation && *own.utilisation > kOverflowIsFull ? 1 : 0;
  }
  if (!own.utilisation || !other.utilisation) {
    return 0;
  }
  return Ramp(*own.utilisation, kOverflowBegins, kOverflowIsFull) *
         Ramp(*own.utilisation - *other.utilisation, kMinDifference,
              kFullDifference);
}

void ZoneBalancer::UpdateOverflow(bool fresh, ServiceState& state) const {
  const auto own = state.zones.find(zone_);
  const Zone own_zone = own == state.zones.end() ? Zone() : own->second;
  state.overflow_share = 0;
  state.overflow_weights = 0;
  for (auto& [name, zone] : state.zones) {
    zone.overflow_weight = 0;
    if (name == zone_ || zone.slots == 0) {
      continue;
    }
    const double pull = Pull(own_zone, zone, fresh);
    // Without figures the other zones count as equally utilised.
    const double room =
        fresh ? std::max(kMaxRemoteUtilisation -
                             zone.utilisation.value_or(kMaxRemoteUtilisation),
                         0.0)
              : 1.0;
    zone.overflow_weight = pull * room * static_cast<double>(zone.slots);
    state.overflow_weights += zone.overflow_weight;
    if (zone.overflow_weight > 0) {
      state.overflow_share = std::max(state.overflow_share, pull);
    }
  }
}

std::string_view ZoneBalancer::ChooseZone(std::string_view service) {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.overflow_share == 0) {
    return zone_;
  }
  const ServiceState& state = it->second;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random_) >= state.overflow_share) {
    return zone_;
  }
  double draw = uniform(random_) * state.overflow_weights;
  for (const auto& [name, zone] : state.zones) {
    if (zone.overflow_weight > 0 && draw < zone.overflow_weight) {
      return name;
    }
    draw -= zone.overflow_weight;
  }
  return zone_;
}

double ZoneBalancer::overflow_share(std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? 0 : it->second.overflow_share;
}

std::vector<std::string_view> ZoneBalancer::OverflowingServices() const {
  std::vector<std::string_view> names;
  for (const auto& [service, state] : services_) {
    if (state.overflow_share > 0) {
      names.push_back(service);
    }
  }
  return names;
}

std::vector<ZoneLoadStats> ZoneBalancer::Stats() const {
  std::vector<ZoneLoadStats> stats;
  for (const auto& [service, state] : services_) {
    for (const auto& [name, zone] : state.zones) {
      stats.push_back({service, name, zone.slots, zone.utilisation});
    }
  }
  return stats;
}

}  // namespace gcw::direct
