#include <catch2/catch.hpp>

#include "tests/lease/lease_simulation.h"

namespace gcw::lease {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

bool HasHolder(const LeaseSimulation& simulation) {
  return !simulation.Holders().empty();
}

// A restored store has lost the lease, but its holder does not know yet.
// Another candidate took the lease over at once, and two members acted as the
// holder.
TEST_CASE("a lease that a restore lost never has two holders") {
  for (const std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    LeaseSimulation simulation(seed);
    simulation.SaveCopy();
    simulation.Add("a");
    simulation.Run(absl::Seconds(2));
    simulation.Add("b");
    simulation.Run(absl::Seconds(10) + absl::Milliseconds(100 * seed));
    REQUIRE(simulation.Holders() == std::vector<std::size_t>{0});
    const Version token = simulation.candidate(0).lease->token();
    simulation.Restore();
    simulation.Run(absl::Seconds(4));
    CHECK_FALSE(HasHolder(simulation));
    CHECK(simulation.RunUntil([&] { return HasHolder(simulation); },
                              absl::Minutes(1)) < absl::Seconds(15));
    CHECK(simulation.max_holders == 1);
    const std::size_t holder = simulation.Holders().front();
    CHECK(simulation.candidate(holder).lease->token() > token);
    REQUIRE(simulation.StartWrite(simulation.candidate(holder)).ok());
    simulation.Run(absl::Seconds(1));
    CHECK(simulation.applied().size() == 1);
  }
}

// A candidate that starts after the restore cannot know of a holder from
// before.
TEST_CASE("a candidate that starts after a restore waits for earlier holders") {
  LeaseSimulation simulation(1);
  simulation.SaveCopy();
  simulation.Add("a");
  simulation.Run(absl::Seconds(5));
  simulation.Pause(simulation.candidate(0));
  simulation.Restore();
  simulation.Add("b");
  simulation.Run(absl::Minutes(1));
  CHECK(simulation.max_holders == 1);
  CHECK(simulation.Holders() == std::vector<std::size_t>{1});
}

// The copy can show a lease as free that another member has acquired since, or
// name a holder that has released it.
TEST_CASE("a lease in a restored copy is not taken back at once") {
  LeaseSimulation simulation(2);
  simulation.Add("a");
  simulation.Run(absl::Seconds(5));
  simulation.SaveCopy();
  simulation.Add("b");
  simulation.candidate(0).lease->Release();
  simulation.Run(absl::Seconds(10));
  REQUIRE(simulation.Holders() == std::vector<std::size_t>{1});
  simulation.Restore();
  simulation.Run(absl::Minutes(1));
  CHECK(simulation.max_holders == 1);
  CHECK(simulation.Holders() == std::vector<std::size_t>{1});
}

TEST_CASE(
    "each fenced write beside restores is reported and takes effect once") {
  for (const std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    LeaseSimulation simulation(seed);
    simulation.faults.unavailable = 0.05;
    simulation.faults.lost_answer = 0.05;
    simulation.faults.lost_request = 0.05;
    simulation.SaveCopy();
    for (const char* name : {"a", "b", "c"}) {
      simulation.Add(name);
    }
    for (int i = 0; i < 200; ++i) {
      if (random() % 20 == 0) {
        simulation.SaveCopy();
      }
      if (random() % 20 == 0) {
        simulation.Restore();
      }
      for (const std::size_t holder : simulation.Holders()) {
        (void)simulation.StartWrite(simulation.candidate(holder));
      }
      simulation.Run(absl::Milliseconds(random() % 3000));
    }
    CHECK(simulation.max_holders == 1);
    for (std::size_t i = 0; i < 3; ++i) {
      for (const auto& [data, result] : simulation.candidate(i).outcomes) {
        INFO(data);
        const bool not_applied =
            !result.ok() && result.error().code == ResultCode::kLeaseLost;
        CHECK(simulation.TimesApplied(data) <= (not_applied ? 0 : 1));
        CHECK((!result.ok() || simulation.TimesApplied(data) == 1));
      }
    }
  }
}

}  // namespace
}  // namespace gcw::lease
