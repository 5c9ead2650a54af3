#include "src/direct/own_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw::direct {
namespace {

// A server counts with at most this many requests for each slot: it would
// reject more, so a larger number shows that the server hangs.
constexpr std::uint32_t kMaxRequestsPerSlot = 5;
// Time constant of the rates of new flows.
constexpr absl::Duration kRateTime = absl::Seconds(1);
// Rates below this are dropped.
constexpr double kMinRate = 0.1;

}  // namespace

OwnLoad::OwnLoad(std::string_view zone) : zone_(load::HashName(zone)) {}

void OwnLoad::OnPlaced(const ServerEntry& server) {
  rates_[{server.service_hash, server.zone_hash}].placed += 1;
}

void OwnLoad::OnRefused(std::string_view service) {
  rates_[{load::HashName(service), zone_}].refused += 1;
}

void OwnLoad::DecayRates(absl::Time now) {
  if (last_decay_ != absl::InfinitePast()) {
    const double kept =
        std::exp(-absl::FDivDuration(now - last_decay_, kRateTime));
    absl::erase_if(rates_, [&](auto& item) {
      Rates& rates = item.second;
      rates.placed *= kept;
      rates.refused *= kept;
      return rates.placed + rates.refused < kMinRate;
    });
  }
  last_decay_ = now;
}

load::Figures OwnLoad::Measure(const ServerTable& servers, absl::Time now) {
  DecayRates(now);
  absl::flat_hash_map<Key, load::ZoneLoad> cells;
  const auto cell = [&](const Key& key) -> load::ZoneLoad& {
    load::ZoneLoad& load = cells[key];
    load.service = key.service;
    load.zone = key.zone;
    return load;
  };
  for (const auto& entry : servers.entries()) {
    if (entry->open_flows == 0 && entry->outstanding == 0) {
      continue;
    }
    load::ZoneLoad& load = cell({entry->service_hash, entry->zone_hash});
    load.outstanding +=
        std::min(entry->outstanding, kMaxRequestsPerSlot * entry->server.slots);
    load.open_flows += entry->open_flows;
  }
  for (const auto& [key, rates] : rates_) {
    load::ZoneLoad& load = cell(key);
    load.placed_per_second =
        static_cast<std::uint32_t>(std::lround(rates.placed));
    load.refused_per_second =
        static_cast<std::uint32_t>(std::lround(rates.refused));
  }
  load::Figures figures;
  figures.zones.reserve(cells.size());
  for (const auto& [key, load] : cells) {
    figures.zones.push_back(load);
  }
  return figures;
}

}  // namespace gcw::direct
