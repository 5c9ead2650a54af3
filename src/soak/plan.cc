#include "src/soak/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "src/lab/random.h"

namespace gcw::soak {
namespace {

constexpr auto kFaultNames = std::to_array<std::string_view>(
    {"kill_daemon",        "pause_daemon",
     "stop_daemon",        "reload_daemon",
     "kill_all",           "store_refuses",
     "store_silent",       "store_slow",
     "store_forgets",      "cut_from_store",
     "reset_from_store",   "cut_zone",
     "cut_zone_one_way",   "lossy_servers",
     "slow_servers",       "crash_server",
     "dark_server",        "drain_server",
     "zone_out",           "change_routes",
     "store_restored",     "silent_store_connections",
     "odd_entry",          "large_entries",
     "idle_connections",   "taken_port",
     "busy_zone",          "slow_server",
     "busy_zone_restarts", "late_report",
     "cold_zone",          "cold_restarts"});
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(FaultKind::kCount));

// Mean time between the starts of faults or series; exponentially distributed.
constexpr absl::Duration kMeanGap = absl::Milliseconds(1500);
// A fault lasts kMinDuration plus an exponentially distributed time with mean
// kMeanExtraDuration, at most kMaxDuration.
constexpr absl::Duration kMinDuration = absl::Milliseconds(600);
constexpr absl::Duration kMeanExtraDuration = absl::Seconds(2);
constexpr absl::Duration kMaxDuration = absl::Seconds(6);
// The kinds that are drawn at random: all but those of AddedFaults, which have
// a rate of their own.
constexpr auto kRandomKinds =
    static_cast<std::uint64_t>(FaultKind::kStoreRestored);
constexpr absl::Duration kMeanAddedGap = absl::Seconds(6);
// Make the random numbers of each added kind independent of the others.
constexpr std::uint64_t kRestoreSeedOffset = 0x9e3779b97f4a7c15;
constexpr std::uint64_t kSilentSeedOffset = 0xbf58476d1ce4e5b9;
constexpr std::uint64_t kOddEntrySeedOffset = 0x94d049bb133111eb;
constexpr std::uint64_t kLargeEntriesSeedOffset = 0xd6e8feb86659fd93;
constexpr std::uint64_t kIdleSeedOffset = 0xa0761d6478bd642f;
constexpr std::uint64_t kTakenPortSeedOffset = 0xe7037ed1a0b428db;
constexpr std::uint64_t kBusyZoneSeedOffset = 0x589965cc75374cc3;
constexpr std::uint64_t kSlowServerSeedOffset = 0x1d8e4e27c47d124f;
constexpr std::uint64_t kBusyRestartsSeedOffset = 0xeb44accab455d165;
constexpr std::uint64_t kLateReportSeedOffset = 0x6a09e667f3bcc909;
constexpr std::uint64_t kColdZoneSeedOffset = 0xbb67ae8584caa73b;
constexpr std::uint64_t kColdRestartsSeedOffset = 0x3c6ef372fe94f82b;
constexpr std::uint64_t kLoadPhaseSeedOffset = 0x2127599bf4325c37;
// Length of a load pattern without restarts in the load phase, and the pause
// before the next one, in which the daemons' figures return to normal.
constexpr absl::Duration kLoadPatternDuration = absl::Seconds(4);
constexpr absl::Duration kLoadPatternPause = absl::Milliseconds(1500);
// Targets are drawn below this and taken modulo the number of candidates.
constexpr std::uint64_t kTargetRange = 1 << 16;
// A series repeats a fault on consecutive targets, kSeriesGap apart.
constexpr double kSeriesProbability = 0.15;
constexpr int kSeriesLength = 3;
constexpr absl::Duration kSeriesGap = absl::Milliseconds(700);

// Adds faults of one kind, one after another, up to `end`.
void AddKind(FaultKind kind,
             std::uint64_t seed,
             absl::Duration end,
             std::vector<Fault>& plan) {
  lab::Random random(seed);
  absl::Duration start = kFaultFreeStart + random.Exponential(kMeanAddedGap);
  std::size_t target = 0;
  while (start < end) {
    Fault fault;
    fault.start = start;
    fault.kind = kind;
    fault.target = target++;
    fault.duration =
        std::min({kMinDuration + random.Exponential(kMeanExtraDuration),
                  kMaxDuration, end - start});
    plan.push_back(fault);
    start += fault.duration + random.Exponential(kMeanAddedGap);
  }
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

std::string ToString(const Fault& fault) {
  return fmt::format("{:.1f} s {} {} for {:.1f} s",
                     absl::ToDoubleSeconds(fault.start), FaultName(fault.kind),
                     fault.target, absl::ToDoubleSeconds(fault.duration));
}

std::vector<Fault> GeneratePlan(std::uint64_t seed,
                                absl::Duration length,
                                const AddedFaults& added) {
  lab::Random random(seed);
  std::vector<Fault> plan;
  const absl::Duration end = length - kFaultFreeEnd;
  absl::Duration start = kFaultFreeStart;
  while (start < end) {
    Fault fault;
    fault.start = start;
    fault.kind = static_cast<FaultKind>(random.Below(kRandomKinds));
    fault.target = random.Below(kTargetRange);
    fault.duration =
        std::min({kMinDuration + random.Exponential(kMeanExtraDuration),
                  kMaxDuration, std::max(end - start, absl::ZeroDuration())});
    const int repeats = random.Chance(kSeriesProbability) ? kSeriesLength : 1;
    for (int i = 0; i < repeats && fault.start < end; ++i) {
      plan.push_back(fault);
      fault.start += kSeriesGap;
      ++fault.target;
    }
    start += random.Exponential(kMeanGap);
  }
  if (added.restores) {
    AddKind(FaultKind::kStoreRestored, seed + kRestoreSeedOffset, end, plan);
  }
  if (added.silent_connections) {
    AddKind(FaultKind::kSilentStoreConnections, seed + kSilentSeedOffset, end,
            plan);
  }
  if (added.odd_entries) {
    AddKind(FaultKind::kOddEntry, seed + kOddEntrySeedOffset, end, plan);
  }
  if (added.exhaustion) {
    AddKind(FaultKind::kLargeEntries, seed + kLargeEntriesSeedOffset, end,
            plan);
    AddKind(FaultKind::kIdleConnections, seed + kIdleSeedOffset, end, plan);
    AddKind(FaultKind::kTakenPort, seed + kTakenPortSeedOffset, end, plan);
  }
  if (added.load_patterns) {
    AddKind(FaultKind::kBusyZone, seed + kBusyZoneSeedOffset, end, plan);
    AddKind(FaultKind::kSlowServer, seed + kSlowServerSeedOffset, end, plan);
    AddKind(FaultKind::kBusyZoneRestarts, seed + kBusyRestartsSeedOffset,
            end - kRestartsInTurn * kRestartTurn, plan);
  }
  if (added.late_reports) {
    AddKind(FaultKind::kLateReport, seed + kLateReportSeedOffset, end, plan);
  }
  if (added.cold_servers) {
    AddKind(FaultKind::kColdZone, seed + kColdZoneSeedOffset,
            end - kColdZoneTime, plan);
    AddKind(FaultKind::kColdRestarts, seed + kColdRestartsSeedOffset, end,
            plan);
  }
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const Fault& a, const Fault& b) { return a.start < b.start; });
  return plan;
}

std::vector<Fault> GenerateLoadPhase(std::uint64_t seed,
                                     absl::Duration length) {
  lab::Random random(seed + kLoadPhaseSeedOffset);
  std::array kinds{FaultKind::kBusyZone, FaultKind::kSlowServer,
                   FaultKind::kBusyZoneRestarts};
  for (std::size_t i = kinds.size() - 1; i > 0; --i) {
    std::swap(kinds[i], kinds[random.Below(i + 1)]);
  }
  std::vector<Fault> plan;
  absl::Duration start = length + kLoadPatternPause;
  for (const FaultKind kind : kinds) {
    const absl::Duration duration = kind == FaultKind::kBusyZoneRestarts
                                        ? kRestartsInTurn * kRestartTurn
                                        : kLoadPatternDuration;
    plan.push_back({start, kind, random.Below(kTargetRange), duration});
    start += duration + kLoadPatternPause;
  }
  return plan;
}

}  // namespace gcw::soak
