#include "src/soak/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "src/lab/random.h"

namespace gcw::soak {
namespace {

constexpr auto kFaultNames = std::to_array<std::string_view>(
    {"kill_daemon",      "pause_daemon",     "stop_daemon",
     "reload_daemon",    "kill_all",         "store_refuses",
     "store_silent",     "store_slow",       "store_forgets",
     "cut_from_store",   "reset_from_store", "cut_zone",
     "cut_zone_one_way", "lossy_servers",    "slow_servers",
     "crash_server",     "dark_server",      "drain_server",
     "zone_out",         "change_routes"});
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(FaultKind::kCount));

// Mean time between the starts of faults or series; exponentially distributed.
constexpr absl::Duration kMeanGap = absl::Milliseconds(1500);
// A fault lasts kMinDuration plus an exponentially distributed time with mean
// kMeanExtraDuration, at most kMaxDuration.
constexpr absl::Duration kMinDuration = absl::Milliseconds(600);
constexpr absl::Duration kMeanExtraDuration = absl::Seconds(2);
constexpr absl::Duration kMaxDuration = absl::Seconds(6);
// Targets are drawn below this and taken modulo the number of candidates.
constexpr std::uint64_t kTargetRange = 1 << 16;
// A series repeats a fault on consecutive targets, kSeriesGap apart.
constexpr double kSeriesProbability = 0.15;
constexpr int kSeriesLength = 3;
constexpr absl::Duration kSeriesGap = absl::Milliseconds(700);

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

std::string ToString(const Fault& fault) {
  return fmt::format("{:.1f} s {} {} for {:.1f} s",
                     absl::ToDoubleSeconds(fault.start), FaultName(fault.kind),
                     fault.target, absl::ToDoubleSeconds(fault.duration));
}

std::vector<Fault> GeneratePlan(std::uint64_t seed, absl::Duration length) {
  lab::Random random(seed);
  std::vector<Fault> plan;
  const absl::Duration end = length - kFaultFreeEnd;
  absl::Duration start = kFaultFreeStart;
  while (start < end) {
    Fault fault;
    fault.start = start;
    fault.kind = static_cast<FaultKind>(
        random.Below(static_cast<std::uint64_t>(FaultKind::kCount)));
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
  std::stable_sort(
      plan.begin(), plan.end(),
      [](const Fault& a, const Fault& b) { return a.start < b.start; });
  return plan;
}

}  // namespace gcw::soak
