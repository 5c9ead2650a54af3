#include "src/direct/placer.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace gcw::direct {
namespace {

// The criteria by which candidate servers for a new flow are compared, the most
// important one first. Smaller values are better: for example, warm servers
// come before cold ones (those in slow start), and the preferred zone before
// others.
struct Rank {
  bool avoided = false;
  bool lapsed = false;
  bool cold = false;
  bool other_zone = false;
  // This daemon's open flows on the server, divided by the number of requests
  // that the server can process at the same time (slots).
  double load = 0;

  auto tie() const { return std::tie(avoided, lapsed, cold, other_zone, load); }
};

}  // namespace

std::string_view Placer::PickService(const Route& route) {
  assert(!route.services.empty());
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  if (total == 0) {
    return route.services.front().service;
  }
  std::uint64_t draw = random_() % total;
  for (const ServiceShare& share : route.services) {
    if (draw < share.weight) {
      return share.service;
    }
    draw -= share.weight;
  }
  return route.services.back().service;
}

bool Placer::MayPickService(const Route& route, std::string_view service) {
  const auto share =
      std::find_if(route.services.begin(), route.services.end(),
                   [&](const ServiceShare& s) { return s.service == service; });
  if (share == route.services.end()) {
    return false;
  }
  const bool no_weights =
      std::all_of(route.services.begin(), route.services.end(),
                  [](const ServiceShare& s) { return s.weight == 0; });
  return no_weights ? share == route.services.begin() : share->weight > 0;
}

bool Placer::CanAccept(const ServerEntry& entry,
                       const Service& service,
                       const std::set<std::string, std::less<>>& zones_out,
                       absl::Time now,
                       ExcludedServers& excluded) {
  const bool listed = entry.presence == Presence::kListed ||
                      entry.presence == Presence::kLapsed;
  if (!listed || entry.server.draining || entry.cookie_collides) {
    ++excluded.leaving;
    return false;
  }
  if (zones_out.contains(entry.server.zone)) {
    ++excluded.zone_out;
    return false;
  }
  if (!entry.reach.usable()) {
    ++excluded.lost;
    return false;
  }
  const bool at_flow_limit =
      service.max_flows != 0 && entry.open_flows >= service.max_flows;
  const bool at_cold_limit =
      now < entry.cold_until &&
      !cold_limiter_.CanAccept(entry.cookie, service.cold_flows_per_second,
                               now);
  if (at_flow_limit || at_cold_limit) {
    ++excluded.limited;
    return false;
  }
  return true;
}

Placement Placer::Choose(const ServerTable& servers,
                         const Service& service,
                         const std::set<std::string, std::less<>>& zones_out,
                         std::string_view zone,
                         const ServerEntry* avoid,
                         absl::Time now) {
  Placement placement;
  candidates_.clear();
  for (ServerEntry* entry : servers.OfService(service.name)) {
    if (!CanAccept(*entry, service, zones_out, now, placement.excluded)) {
      continue;
    }
    candidates_.push_back({entry, entry->server.zone != zone});
  }
  placement.candidates = static_cast<std::uint32_t>(candidates_.size());
  placement.server = PickBest(avoid, now);
  if (placement.server != nullptr && now < placement.server->cold_until) {
    cold_limiter_.RecordFlow(placement.server->cookie, now);
  }
  return placement;
}

ServerEntry* Placer::PickBest(const ServerEntry* avoid, absl::Time now) {
  ServerEntry* chosen = nullptr;
  Rank best;
  std::uint64_t ties = 0;
  for (const Candidate& candidate : candidates_) {
    ServerEntry* entry = candidate.entry;
    const Rank rank{
        .avoided = entry == avoid,
        .lapsed = entry->presence == Presence::kLapsed,
        .cold = now < entry->cold_until,
        .other_zone = candidate.other_zone,
        .load = static_cast<double>(entry->open_flows) / entry->server.slots};
    const bool better = chosen == nullptr || rank.tie() < best.tie();
    ties = better ? 1 : ties + (rank.tie() == best.tie() ? 1 : 0);
    // Reservoir sampling: each of the tied servers is chosen with the same
    // probability.
    const bool drawn =
        better || (rank.tie() == best.tie() && random_() % ties == 0);
    if (drawn) {
      best = rank;
      chosen = entry;
    }
  }
  return chosen;
}

}  // namespace gcw::direct
