#include "src/soak/plan.h"

#include <catch2/catch.hpp>
#include <set>

#include "src/soak/invariants.h"

namespace gcw::soak {
namespace {

constexpr AddedFaults kAllAdded{true, true, true, true, true, true, true};

TEST_CASE("equal seeds give equal plans and different seeds different plans") {
  CHECK(GeneratePlan(7, absl::Seconds(60), kAllAdded) ==
        GeneratePlan(7, absl::Seconds(60), kAllAdded));
  CHECK(GeneratePlan(7, absl::Seconds(60), kAllAdded) !=
        GeneratePlan(8, absl::Seconds(60), kAllAdded));
}

TEST_CASE(
    "plans contain all fault kinds and overlaps, and none starts at the ends") {
  std::set<FaultKind> kinds;
  bool overlap = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = GeneratePlan(seed, absl::Seconds(60), kAllAdded);
    for (std::size_t i = 0; i < plan.size(); ++i) {
      kinds.insert(plan[i].kind);
      CHECK(plan[i].start >= kFaultFreeStart);
      CHECK(plan[i].start < absl::Seconds(60) - kFaultFreeEnd);
      overlap = overlap || (i > 0 && plan[i].start < plan[i - 1].start +
                                                         plan[i - 1].duration);
    }
  }
  CHECK(kinds.size() == static_cast<std::size_t>(FaultKind::kCount));
  CHECK(overlap);
}

TEST_CASE("kinds are added to a plan without changing its other faults") {
  const std::pair<AddedFaults, std::set<FaultKind>> cases[] = {
      {{.restores = true}, {FaultKind::kStoreRestored}},
      {{.silent_connections = true}, {FaultKind::kSilentStoreConnections}},
      {{.odd_entries = true}, {FaultKind::kOddEntry}},
      {{.exhaustion = true},
       {FaultKind::kLargeEntries, FaultKind::kIdleConnections,
        FaultKind::kTakenPort}},
      {{.load_patterns = true},
       {FaultKind::kBusyZone, FaultKind::kSlowServer,
        FaultKind::kBusyZoneRestarts}},
      {{.late_reports = true}, {FaultKind::kLateReport}},
      {{.cold_servers = true},
       {FaultKind::kColdZone, FaultKind::kColdRestarts}}};
  const auto plain = GeneratePlan(49, absl::Seconds(60), {});
  for (const auto& [added, kinds] : cases) {
    INFO(FaultName(*kinds.begin()));
    auto plan = GeneratePlan(49, absl::Seconds(60), added);
    std::set<FaultKind> found;
    std::erase_if(plan, [&, &expected = kinds](const Fault& fault) {
      const bool is_added = expected.contains(fault.kind);
      if (is_added) {
        found.insert(fault.kind);
      }
      return is_added;
    });
    CHECK(found == kinds);
    CHECK(plan == plain);
  }
}

TEST_CASE("a load phase has each load pattern alone") {
  std::set<FaultKind> first;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto plan = GenerateLoadPhase(seed, absl::Seconds(40));
    CHECK(plan == GenerateLoadPhase(seed, absl::Seconds(40)));
    std::set<FaultKind> kinds;
    absl::Duration free = absl::Seconds(41);
    for (const Fault& pattern : plan) {
      kinds.insert(pattern.kind);
      CHECK(pattern.start >= free);
      free = pattern.start + pattern.duration + absl::Seconds(1);
    }
    CHECK(free <= absl::Seconds(40) + kLoadPhase);
    CHECK(kinds == std::set{FaultKind::kBusyZone, FaultKind::kSlowServer,
                            FaultKind::kBusyZoneRestarts});
    first.insert(plan.front().kind);
  }
  CHECK(first.size() == 3);
}

TEST_CASE("a component is settled 4 s after its last impairment ended") {
  Impairments impairments;
  const absl::Time start = absl::UnixEpoch();
  CHECK(impairments.IsSettled("b1", start));
  impairments.Begin("b1");
  impairments.Begin("b1");
  impairments.End("b1", start);
  CHECK_FALSE(impairments.IsSettled("b1", start + absl::Seconds(9)));
  impairments.End("b1", start + absl::Seconds(9));
  CHECK_FALSE(impairments.IsSettled("b1", start + absl::Seconds(10)));
  CHECK(impairments.IsSettled("b1", start + absl::Seconds(13)));
}

TEST_CASE("a violated invariant makes a run fail") {
  InvariantCounts good;
  good.requests = good.answered = 100;
  good.fault_free_requests = good.fault_free_answered = 100;
  CHECK(Failures(good).empty());
  InvariantCounts bad = good;
  bad.broken_flows = 1;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.over_memory = 1;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.busy_windows = 1;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.fault_free_answered = 90;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.refused_with_room = 1;
  CHECK(Failures(bad).size() == 1);
  bad = good;
  bad.busy_zone_requests = 1000;
  bad.busy_zone_answered = 984;
  CHECK(Failures(bad).size() == 1);
  bad.busy_zone_answered = 985;
  CHECK(Failures(bad).empty());
  CHECK(Failures({}).size() == 2);
}

}  // namespace
}  // namespace gcw::soak
