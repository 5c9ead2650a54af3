#include "src/soak/invariants.h"

#include <fmt/format.h>

namespace gcw::soak {
namespace {

// Least share of answered requests in the fault-free end of the run.
constexpr double kMinFaultFreeAnsweredShare = 0.98;
// Least share of answered requests in the whole run. Most faults leave most
// servers reachable.
constexpr double kMinAnsweredShare = 0.5;

// Least share of answered requests of a busy zone while other zones have room:
// the target of docs/design/load.md.
constexpr double kMinBusyZoneAnsweredShare = 0.985;

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

std::vector<std::string> Failures(const InvariantCounts& counts) {
  std::vector<std::string> failures;
  const auto expect_zero = [&](const char* name, std::uint64_t count) {
    if (count > 0) {
      failures.push_back(fmt::format("{} {}", name, count));
    }
  };
  const auto expect_at_least = [&](const char* name, double share,
                                   double bound) {
    if (share < bound) {
      failures.push_back(fmt::format("{} {:.3f} under {}", name, share, bound));
    }
  };
  expect_zero("broken_flows", counts.broken_flows);
  expect_zero("changed_bytes", counts.changed_bytes);
  expect_zero("wrong_answers", counts.wrong_answers);
  expect_zero("run_twice", counts.run_twice);
  expect_zero("to_leaving_late", counts.to_leaving_late);
  expect_zero("to_out_zone_late", counts.to_out_zone_late);
  expect_zero("old_routes", counts.old_routes);
  expect_zero("cold_overload", counts.cold_overload);
  expect_zero("refused_with_room", counts.refused_with_room);
  expect_zero("crashes", counts.crashes);
  expect_zero("over_memory", counts.over_memory);
  expect_zero("busy_windows", counts.busy_windows);
  expect_at_least("calm_service",
                  Share(counts.fault_free_answered, counts.fault_free_requests),
                  kMinFaultFreeAnsweredShare);
  if (counts.busy_zone_requests > 0) {
    expect_at_least("busy_zone",
                    Share(counts.busy_zone_answered, counts.busy_zone_requests),
                    kMinBusyZoneAnsweredShare);
  }
  expect_at_least("service", Share(counts.answered, counts.requests),
                  kMinAnsweredShare);
  return failures;
}

bool Impairments::IsSettled(const std::string& component,
                            absl::Time now) const {
  const auto active = active_.find(component);
  if (active != active_.end() && active->second > 0) {
    return false;
  }
  const auto last_end = last_end_.find(component);
  return last_end == last_end_.end() || now - last_end->second >= kSettleTime;
}

}  // namespace gcw::soak
