#include "src/direct/placer.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <utility>

namespace gcw::direct {
namespace {

// If a zone has more servers of a service than the first number, the second
// number of them is drawn at random, so that the cost of a new flow does not
// grow with the number of servers.
constexpr std::size_t kMaxCompared = 64;
constexpr std::size_t kDrawn = 16;
// Time constant of ServerEntry::recent_flows. Long enough for a daemon to count
// several new flows for each server of a zone.
constexpr absl::Duration kRecentTime = absl::Seconds(4);
// How often these numbers are updated, a small part of the time constant.
constexpr absl::Duration kDecayInterval = absl::Milliseconds(400);
// A server gets no more recent flows for each slot than this many times the
// mean of the servers that it is compared with, plus one flow. The number
// matches the lowest slowness, 0.4. Without the limit, a server that fails
// every request at once would always have the fewest open flows and so attract
// all new flows.
constexpr double kMaxAdvantage = 2.5;
// Servers outside slow start get at most this many times their usual number of
// flows because others are in slow start. They then need not be overloaded if
// most servers of a zone have just started.
constexpr double kMaxExtraLoad = 2;

// The criteria by which candidate servers for a new flow are compared before
// their expected waits, the most important one first. Smaller values are
// better: for example, warm servers come before cold ones, and the preferred
// zone before others.
struct Rank {
  bool avoided = false;
  bool lapsed = false;
  bool cold = false;
  bool other_zone = false;

  auto tie() const { return std::tie(avoided, lapsed, cold, other_zone); }
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
                       absl::Time now,
                       ExcludedServers& excluded) {
  if (!IsListed(entry)) {
    ++excluded.leaving;
    return false;
  }
  if (!entry.reach.usable()) {
    ++excluded.lost;
    return false;
  }
  const bool at_flow_limit =
      service.max_flows != 0 && entry.open_flows >= service.max_flows;
  const bool at_cold_limit =
      entry.cold(now) &&
      !cold_limiter_.CanAccept(entry.server.number,
                               service.cold_flows_per_second, now);
  if (at_flow_limit || at_cold_limit) {
    ++excluded.limited;
    return false;
  }
  return true;
}

bool Placer::IsListed(const ServerEntry& entry) {
  const bool listed = entry.presence == Presence::kListed ||
                      entry.presence == Presence::kLapsed;
  return listed && !entry.server.draining && !entry.caution.no_new_flows &&
         !entry.collides;
}

Placement Placer::Choose(const ServerTable& servers,
                         const Service& service,
                         const std::set<std::string, std::less<>>& zones_out,
                         std::string_view zone,
                         const ServerEntry* avoid,
                         absl::Time now) {
  Placement placement;
  const std::span<const ZoneServers> zones =
      servers.ZonesOfService(service.name);
  candidates_.clear();
  FindInZone(zones, service, zones_out, zone, avoid, now);
  if (candidates_.empty()) {
    FindInAll(zones, service, zones_out, zone, avoid, now, placement.excluded);
  }
  placement.candidates = static_cast<std::uint32_t>(candidates_.size());
  placement.server = PickBest();
  if (placement.server != nullptr) {
    placement.server->recent_flows += 1;
    if (placement.server->cold(now)) {
      cold_limiter_.RecordFlow(placement.server->server.number, now);
    }
  }
  return placement;
}

void Placer::FindInZone(std::span<const ZoneServers> zones,
                        const Service& service,
                        const std::set<std::string, std::less<>>& zones_out,
                        std::string_view zone,
                        const ServerEntry* avoid,
                        absl::Time now) {
  const auto preferred =
      std::find_if(zones.begin(), zones.end(),
                   [&](const ZoneServers& z) { return z.zone == zone; });
  if (preferred == zones.end() || zones_out.contains(zone)) {
    return;
  }
  const std::vector<ServerEntry*>& entries = preferred->servers;
  const bool draw = entries.size() > kMaxCompared;
  const std::size_t count = draw ? kDrawn : entries.size();
  ExcludedServers excluded;
  for (std::size_t i = 0; i < count; ++i) {
    ServerEntry* entry = entries[draw ? random_() % entries.size() : i];
    if (entry != avoid && entry->presence == Presence::kListed &&
        !entry->cold(now) && CanAccept(*entry, service, now, excluded)) {
      AddCandidate(entry);
    }
  }
}

void Placer::FindInAll(std::span<const ZoneServers> zones,
                       const Service& service,
                       const std::set<std::string, std::less<>>& zones_out,
                       std::string_view zone,
                       const ServerEntry* avoid,
                       absl::Time now,
                       ExcludedServers& excluded) {
  Rank best;
  for (const ZoneServers& servers : zones) {
    const bool out = zones_out.contains(servers.zone);
    for (ServerEntry* entry : servers.servers) {
      if (out) {
        ++(IsListed(*entry) ? excluded.zone_out : excluded.leaving);
        continue;
      }
      if (!CanAccept(*entry, service, now, excluded)) {
        continue;
      }
      const Rank rank{.avoided = entry == avoid,
                      .lapsed = entry->presence == Presence::kLapsed,
                      .cold = entry->cold(now),
                      .other_zone = servers.zone != zone};
      if (!candidates_.empty() && rank.tie() > best.tie()) {
        continue;
      }
      if (candidates_.empty() || rank.tie() < best.tie()) {
        candidates_.clear();
        best = rank;
      }
      AddCandidate(entry);
    }
  }
}

void Placer::AddCandidate(ServerEntry* entry) {
  const double slots = std::max<std::uint32_t>(entry->server.slots, 1);
  const double request = entry->slowness / (slots * entry->share);
  const double draw = Draw();
  candidates_.push_back(
      {.entry = entry,
       .wait = (entry->open_flows + draw) * request,
       .rest = (1 - draw) * request,
       .share = entry->share,
       .recent = entry->recent_flows / slots,
       .recent_beyond_one = (entry->recent_flows - 1) / slots});
}

double Placer::Draw() {
  constexpr unsigned kBits = 16;
  if (draws_left_ == 0) {
    draws_ = random_();
    draws_left_ = 64 / kBits;
  }
  const std::uint64_t draw = draws_ & ((1U << kBits) - 1);
  draws_ >>= kBits;
  --draws_left_;
  return static_cast<double>(draw + 1) / (1U << kBits);
}

ServerEntry* Placer::PickBest() {
  if (candidates_.empty()) {
    return nullptr;
  }
  double others = 0;  // Candidates outside slow start.
  double shares = 0;  // Sum over those in slow start.
  double recent = 0;
  for (const Candidate& candidate : candidates_) {
    (candidate.share < 1 ? shares : others) += candidate.share;
    recent += candidate.recent;
  }
  const auto count = static_cast<double>(candidates_.size());
  const bool mixed = shares > 0 && others > 0;
  if (mixed) {
    const double weight = std::max(shares, count / kMaxExtraLoad - others);
    if (Draw() * (others + weight) <= weight) {
      return PickStarting(shares);
    }
  }
  const double limit = kMaxAdvantage * recent / count;
  const auto rank = [&](const Candidate& candidate) {
    // Servers in slow start have had their share. They get more only if the
    // others have many times more open flows.
    const double extra = mixed && candidate.share < 1 ? candidate.rest : 0;
    return std::pair(candidate.recent_beyond_one > limit,
                     candidate.wait + extra);
  };
  return std::min_element(candidates_.begin(), candidates_.end(),
                          [&](const Candidate& a, const Candidate& b) {
                            return rank(a) < rank(b);
                          })
      ->entry;
}

ServerEntry* Placer::PickStarting(double shares) {
  const Candidate* best = nullptr;
  // The better of two draws: with many servers in slow start, single draws
  // would by chance overload some.
  for (int i = 0; i < 2; ++i) {
    double draw = Draw() * shares;
    for (const Candidate& candidate : candidates_) {
      draw -= candidate.share < 1 ? candidate.share : 0;
      if (candidate.share < 1 && draw <= 0) {
        best =
            best == nullptr || candidate.wait < best->wait ? &candidate : best;
        break;
      }
    }
  }
  return best == nullptr ? candidates_.front().entry : best->entry;
}

void Placer::OnTick(const ServerTable& servers, absl::Time now) {
  if (now - last_decay_ < kDecayInterval) {
    return;
  }
  const double kept =
      std::exp(-absl::FDivDuration(now - last_decay_, kRecentTime));
  for (const auto& entry : servers.entries()) {
    entry->recent_flows *= kept;
  }
  last_decay_ = now;
}

}  // namespace gcw::direct
