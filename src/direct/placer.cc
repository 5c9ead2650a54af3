#include "src/direct/placer.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <vector>

namespace gcw::direct {
namespace {

// Flows of this daemon that wait for an answer, for each slot of the own zone,
// beyond which new flows may leave the zone: the daemon sees only its own part
// of the load, and a slot that is busy this often already makes others queue.
constexpr double kZoneFullBusyPerSlot = 0.6;

// Smaller is better. Warm servers come before cold ones, the own zone before
// others unless it is full.
struct Rank {
  bool avoided = false;
  bool lapsed = false;
  bool cold = false;
  bool far = false;
  double load = 0;
  std::uint64_t lot = 0;

  auto tie() const { return std::tie(avoided, lapsed, cold, far, load, lot); }
};

}  // namespace

Placer::Placer(const PlacerOptions& options)
    : options_(options), random_(options.seed) {}

std::string_view Placer::DrawService(const Route& route) {
  assert(!route.services.empty());
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  if (total == 0) {
    return route.services.front().service;
  }
  std::uint64_t lot = random_() % total;
  for (const ServiceShare& share : route.services) {
    if (lot < share.weight) {
      return share.service;
    }
    lot -= share.weight;
  }
  return route.services.back().service;
}

bool Placer::MayTake(const ServerEntry& entry,
                     const Service& service,
                     const std::set<std::string, std::less<>>& zones_out,
                     absl::Time now,
                     PassedOver& passed_over) {
  if (entry.server.service != service.name) {
    return false;
  }
  const bool listed = entry.presence == Presence::kListed ||
                      entry.presence == Presence::kLapsed;
  if (!listed || entry.server.draining || entry.cookie_taken) {
    ++passed_over.leaving;
    return false;
  }
  if (zones_out.contains(entry.server.zone)) {
    ++passed_over.zone_out;
    return false;
  }
  if (!entry.reach.usable()) {
    ++passed_over.lost;
    return false;
  }
  const bool full =
      service.max_flows != 0 && entry.open_flows >= service.max_flows;
  const bool cold =
      now < entry.cold_until &&
      !cold_.MayTake(entry.cookie, service.cold_flows_per_second, now);
  if (full || cold) {
    ++passed_over.limited;
    return false;
  }
  return true;
}

Placement Placer::Choose(const ServerTable& servers,
                         const Service& service,
                         const std::set<std::string, std::less<>>& zones_out,
                         const ServerEntry* avoid,
                         absl::Time now) {
  Placement placement;
  std::vector<ServerEntry*> candidates;
  std::uint64_t own_slots = 0;
  std::uint64_t own_busy = 0;
  for (const auto& entry : servers.entries()) {
    if (!MayTake(*entry, service, zones_out, now, placement.passed_over)) {
      continue;
    }
    candidates.push_back(entry.get());
    if (entry->server.zone == options_.zone) {
      own_slots += entry->server.slots;
      own_busy += entry->busy;
    }
  }
  placement.candidates = static_cast<std::uint32_t>(candidates.size());
  const bool own_full = static_cast<double>(own_busy) >=
                        kZoneFullBusyPerSlot * static_cast<double>(own_slots);
  Rank best;
  for (ServerEntry* entry : candidates) {
    const Rank rank{
        .avoided = entry == avoid,
        .lapsed = entry->presence == Presence::kLapsed,
        .cold = now < entry->cold_until,
        .far = !own_full && entry->server.zone != options_.zone,
        .load = static_cast<double>(entry->open_flows) / entry->server.slots,
        .lot = random_()};
    if (placement.server == nullptr || rank.tie() < best.tie()) {
      best = rank;
      placement.server = entry;
    }
  }
  if (placement.server != nullptr && now < placement.server->cold_until) {
    cold_.Count(placement.server->cookie, now);
  }
  return placement;
}

}  // namespace gcw::direct
