#include <catch2/catch.hpp>
#include <string>

#include "tests/membership/network.h"

namespace gcw::membership {
namespace {

struct Cost {
  double bytes_per_second = 0;  // Of the mean daemon, signatures included.
  double worst = 0;             // Of the daemon that sent most.
  absl::Duration joined;
  absl::Duration death_known;
};

// Lets `daemons` join, run and lose one.
Cost Measure(std::size_t daemons, absl::Duration window) {
  Network network(11);
  network.AddAll(daemons, 3);
  Cost cost;
  cost.joined =
      network.RunUntil([&] { return network.Agreed(); }, absl::Minutes(5));
  REQUIRE(network.Agreed());
  // The news of the joins is passed on for a while.
  network.Run(absl::Seconds(60));
  network.ClearCounters();
  network.Run(window);
  const double seconds = absl::ToDoubleSeconds(window);
  for (std::size_t i = 0; i < network.size(); ++i) {
    const double rate = static_cast<double>(network.node(i).bytes) / seconds;
    cost.bytes_per_second += rate / static_cast<double>(daemons);
    cost.worst = std::max(cost.worst, rate);
  }
  network.node(daemons / 2).running = false;
  cost.death_known =
      network.RunUntil([&] { return network.Agreed(); }, absl::Minutes(2));
  REQUIRE(network.Agreed());
  return cost;
}

TEST_CASE("the cost of a daemon does not grow with the fleet") {
  const Cost small = Measure(4, absl::Seconds(60));
  const Cost large = Measure(64, absl::Seconds(30));
  INFO(small.bytes_per_second << " and " << large.bytes_per_second);
  CHECK(large.bytes_per_second < 1.3 * small.bytes_per_second);
  CHECK(large.worst < 1024);
}

// Hidden: prints a row of docs/MEASUREMENTS.md.
void Print(std::size_t daemons) {
  const Cost cost = Measure(daemons, absl::Seconds(30));
  WARN(daemons << " daemons: " << cost.bytes_per_second << " bytes/s, worst "
               << cost.worst << ", joined after " << cost.joined
               << ", death known after " << cost.death_known);
}

TEST_CASE("cost of 4 to 290 daemons", "[.measure]") {
  Print(4);
  Print(16);
  Print(64);
  Print(290);
}

TEST_CASE("cost of 870 daemons", "[.measure]") {
  Print(870);
}

}  // namespace
}  // namespace gcw::membership
