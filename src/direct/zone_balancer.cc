#include "src/direct/zone_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gcw::direct {
namespace {

// Figures of the fleet arrive about this often.
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(250);
// The own zone keeps all its flows up to this utilisation, in outstanding
// requests per slot. Hardly any request queues then at servers with several
// slots.
constexpr double kTargetUtilisation = 0.6;
// How much more utilised than the mean of all zones the own zone may be. Flows
// between zones cost bytes and break when the zones are separated.
constexpr double kMargin = 0.1;
// Other zones get overflow in proportion to their room up to this utilisation.
constexpr double kFullUtilisation = 0.85;
// A zone that is less utilised than the own one counts with at least this room.
constexpr double kMinRoom = 0.02;
// Time constant of the weights of the other zones.
constexpr absl::Duration kWeightTime = absl::Seconds(1);
// The part of a rise of the own zone's share that takes effect with each
// update. The figures are up to a second old, so larger steps would let the
// load swing between the zones. A fall takes effect at once.
constexpr double kRiseStep = 0.2;
// The same once the utilisation is below this part of the target: the burst is
// over, and the flows should stay in their zone again soon.
constexpr double kCalmPart = 0.75;
constexpr double kCalmRiseStep = 0.5;
// Some new flows always stay, since they show how the own zone does.
constexpr double kMinOwnShare = 0.02;
// Without figures of the fleet, new flows leave the own zone only above this
// utilisation.
constexpr double kOverloadUtilisation = 1;

bool IsUsable(const ServerEntry& entry,
              const std::set<std::string, std::less<>>& zones_out,
              absl::Time now) {
  return entry.presence == Presence::kListed && !entry.server.draining &&
         !entry.collides && entry.reach.usable() && !entry.cold(now) &&
         !entry.caution.no_new_flows && !zones_out.contains(entry.server.zone);
}

}  // namespace

ZoneBalancer::ZoneBalancer(std::string_view zone, std::uint64_t seed)
    : zone_(zone), random_(seed) {}

void ZoneBalancer::OnTick(const ServerTable& servers,
                          const FleetLoad& load,
                          const std::set<std::string, std::less<>>& zones_out,
                          absl::Time now) {
  // Without figures of the fleet, this daemon's own ones are always current.
  if (now - last_update_ >= kUpdateInterval || !load.fresh(now)) {
    Update(servers, load, zones_out, now);
  }
}

void ZoneBalancer::Update(const ServerTable& servers,
                          const FleetLoad& load,
                          const std::set<std::string, std::less<>>& zones_out,
                          absl::Time now) {
  CountSlots(servers, zones_out, now);
  for (auto& [service, state] : services_) {
    UpdateService(service, load, now, state);
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

void ZoneBalancer::UpdateService(std::string_view service,
                                 const FleetLoad& load,
                                 absl::Time now,
                                 ServiceState& state) const {
  const bool fresh = load.fresh(now) && load.covers_own_zone(now);
  double outstanding = 0;
  double slots = 0;
  for (auto& [name, zone] : state.zones) {
    const std::optional<double> requests =
        load.OutstandingWithRise(service, name, now);
    zone.utilisation.reset();
    if (zone.slots > 0 && requests) {
      outstanding += *requests;
      slots += static_cast<double>(zone.slots);
      zone.utilisation = *requests / static_cast<double>(zone.slots);
    }
  }
  const Zone& own = state.zones[zone_];
  const double mean = slots == 0 ? 0 : outstanding / slots;
  // A zone without usable servers cannot keep any flow.
  const double utilisation = own.slots == 0
                                 ? std::numeric_limits<double>::infinity()
                                 : own.utilisation.value_or(0);
  double own_share = 1;
  if (own.slots == 0 || (!fresh && utilisation > kOverloadUtilisation)) {
    own_share = 0;
  } else if (fresh) {
    own_share =
        OwnShareFor(utilisation, std::max(kTargetUtilisation, mean + kMargin),
                    now - load.age(now), state);
  }
  UpdateWeights(fresh ? utilisation : kOverloadUtilisation, mean, fresh, now,
                state);
  state.own_share = state.overflow_weights > 0 ? own_share : 1;
  state.history.push_back({now, state.own_share});
  while (now - state.history.front().since > FleetLoad::kMaxAge) {
    state.history.pop_front();
  }
}

double ZoneBalancer::OwnShareFor(double utilisation,
                                 double target,
                                 absl::Time measured,
                                 const ServiceState& state) {
  double share_then = state.own_share;
  for (const OwnShare& past : state.history) {
    if (past.since <= measured || past.since == state.history.front().since) {
      share_then = past.share;
    }
  }
  // If all requests were on new flows, the product would lead to the target at
  // once. Requests on flows that are open already make the step smaller. A
  // small share grows by the free part of the target instead.
  const double product = share_then * target / std::max(utilisation, kMinRoom);
  const double sum = share_then + 1 - utilisation / target;
  const bool calm = utilisation < kCalmPart * target;
  const double wanted =
      std::clamp(calm ? std::max(product, sum) : product, kMinOwnShare, 1.0);
  const double rise = calm ? kCalmRiseStep : kRiseStep;
  const double step = wanted > state.own_share ? rise : 1;
  const double share = state.own_share + (wanted - state.own_share) * step;
  return share > 1 - kMinOwnShare ? 1 : share;
}

void ZoneBalancer::UpdateWeights(double own,
                                 double mean,
                                 bool fresh,
                                 absl::Time now,
                                 ServiceState& state) const {
  const double full = std::max(kFullUtilisation, mean + kMargin);
  const double kept =
      std::exp(-absl::FDivDuration(now - last_update_, kWeightTime));
  state.overflow_weights = 0;
  for (auto& [name, zone] : state.zones) {
    // Without figures the other zones count as equally utilised.
    const double utilisation = zone.utilisation.value_or(0);
    const bool known = zone.utilisation.has_value() || !fresh;
    if (name == zone_ || zone.slots == 0 || !known || utilisation >= own) {
      zone.overflow_weight = 0;
      continue;
    }
    const double weight = std::max(full - utilisation, kMinRoom) *
                          static_cast<double>(zone.slots);
    zone.overflow_weight =
        zone.overflow_weight == 0
            ? weight
            : weight + (zone.overflow_weight - weight) * kept;
    state.overflow_weights += zone.overflow_weight;
  }
}

std::string_view ZoneBalancer::ChooseZone(std::string_view service) {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.own_share >= 1) {
    return zone_;
  }
  const ServiceState& state = it->second;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random_) < state.own_share) {
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
  return it == services_.end() ? 0 : 1 - it->second.own_share;
}

std::vector<std::string_view> ZoneBalancer::OverflowingServices() const {
  std::vector<std::string_view> names;
  for (const auto& [service, state] : services_) {
    if (state.own_share < 1) {
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
