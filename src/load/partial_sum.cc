#include "src/load/partial_sum.h"

#include <algorithm>
#include <limits>

namespace gcw::load {
namespace {

// The most that a daemon's figures may exceed the mean of the others. Daemons
// of a busy zone carry several times the mean, and small numbers vary by
// chance.
constexpr std::uint64_t kMaxFactor = 8;
constexpr std::uint64_t kMaxBase = 16;

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

void AddTo(std::uint32_t& sum, std::uint32_t value) {
  sum = static_cast<std::uint32_t>(
      std::min(std::uint64_t{sum} + value, kMaxUint32));
}

}  // namespace

void Reference::Add(const Figures& figures) {
  daemons_ += figures.daemons;
  for (const ZoneLoad& load : figures.zones) {
    for (Totals* totals : {&services_[load.service], &all_}) {
      totals->outstanding += load.outstanding;
      totals->open_flows += load.open_flows;
      totals->placed_per_second += load.placed_per_second;
      totals->refused_per_second += load.refused_per_second;
    }
  }
  for (const ServerLoad& load : figures.servers) {
    all_.answers += load.answers;
  }
}

std::uint32_t Reference::LimitOf(std::uint64_t total,
                                 std::uint32_t daemons) const {
  const std::uint64_t mean =
      (total + daemons_ / 2) / std::max<std::uint64_t>(daemons_, 1);
  return static_cast<std::uint32_t>(
      std::min((kMaxFactor * mean + kMaxBase) * daemons, kMaxUint32));
}

void Reference::Limit(Figures& figures) const {
  const auto limit = [&](std::uint32_t& number, std::uint64_t total) {
    number = std::min(number, LimitOf(total, figures.daemons));
  };
  for (ZoneLoad& load : figures.zones) {
    const auto it = services_.find(load.service);
    const Totals totals = it == services_.end() ? Totals() : it->second;
    limit(load.outstanding, totals.outstanding);
    limit(load.open_flows, totals.open_flows);
    limit(load.placed_per_second, totals.placed_per_second);
    limit(load.refused_per_second, totals.refused_per_second);
  }
  for (ServerLoad& load : figures.servers) {
    limit(load.outstanding, all_.outstanding);
    limit(load.answers, all_.answers);
    const std::uint64_t most_slowness =
        std::uint64_t{load.answers} * kSlownessUnit * kMaxFactor;
    load.slowness = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(load.slowness, most_slowness));
  }
}

void PartialSum::AddFigures(const Figures& figures) {
  for (const ZoneLoad& load : figures.zones) {
    ZoneLoad& sum = zones_[{load.service, load.zone}];
    sum.service = load.service;
    sum.zone = load.zone;
    AddTo(sum.outstanding, load.outstanding);
    AddTo(sum.open_flows, load.open_flows);
    AddTo(sum.placed_per_second, load.placed_per_second);
    AddTo(sum.refused_per_second, load.refused_per_second);
  }
  for (const ServerLoad& load : figures.servers) {
    ServerLoad& sum = servers_[load.server];
    sum.server = load.server;
    AddTo(sum.outstanding, load.outstanding);
    AddTo(sum.answers, load.answers);
    AddTo(sum.slowness, load.slowness);
  }
}

void PartialSum::AddCoverage(const Coverage& coverage) {
  Coverage& sum = coverage_[coverage.zone];
  sum.zone = coverage.zone;
  AddTo(sum.daemons, coverage.daemons);
  sum.age = std::max(sum.age, coverage.age);
}

void PartialSum::Add(const Figures& figures, const Coverage& coverage) {
  AddFigures(figures);
  AddCoverage(coverage);
}

void PartialSum::Add(const FleetFigures& figures, absl::Duration waited) {
  AddFigures(figures.sum);
  for (Coverage coverage : figures.coverage) {
    coverage.age += waited;
    AddCoverage(coverage);
  }
}

FleetFigures PartialSum::Result() const {
  FleetFigures result;
  result.sum.daemons = 0;
  for (const auto& [zone, coverage] : coverage_) {
    AddTo(result.sum.daemons, coverage.daemons);
    result.coverage.push_back(coverage);
  }
  for (const auto& [key, load] : zones_) {
    result.sum.zones.push_back(load);
  }
  for (const auto& [server, load] : servers_) {
    result.sum.servers.push_back(load);
  }
  return result;
}

}  // namespace gcw::load
