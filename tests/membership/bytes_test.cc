#include <catch2/catch.hpp>
#include <string>

#include "tests/membership/network.h"

namespace gcw::membership {
namespace {

// The traffic that daemons send, signatures included, and the times until all
// daemons agree on the members.
struct Cost {
  double bytes_per_second = 0;      // Mean of all daemons.
  double max_bytes_per_second = 0;  // Of the daemon that sends most.
  absl::Duration join_time;
  absl::Duration death_detection_time;
};

// Starts `daemons` daemons, measures their traffic during `window` after they
// have joined, and then kills one of them.
Cost Measure(std::size_t daemons, absl::Duration window) {
  Network network(11);
  network.AddNodes(daemons, 3);
  Cost cost;
  cost.join_time =
      network.RunUntil([&] { return network.Converged(); }, absl::Minutes(5));
  REQUIRE(network.Converged());
  // Updates about the joins are gossiped for a while and would raise the
  // measured traffic.
  network.Run(absl::Seconds(60));
  network.ClearCounters();
  network.Run(window);
  const double seconds = absl::ToDoubleSeconds(window);
  for (std::size_t i = 0; i < network.size(); ++i) {
    const double rate = static_cast<double>(network.node(i).bytes) / seconds;
    cost.bytes_per_second += rate / static_cast<double>(daemons);
    cost.max_bytes_per_second = std::max(cost.max_bytes_per_second, rate);
  }
  network.node(daemons / 2).running = false;
  cost.death_detection_time =
      network.RunUntil([&] { return network.Converged(); }, absl::Minutes(2));
  REQUIRE(network.Converged());
  return cost;
}

TEST_CASE("the traffic of a daemon does not grow with the fleet") {
  const Cost small = Measure(4, absl::Seconds(60));
  const Cost large = Measure(64, absl::Seconds(30));
  INFO(small.bytes_per_second << " and " << large.bytes_per_second);
  CHECK(large.bytes_per_second < 1.3 * small.bytes_per_second);
  CHECK(large.max_bytes_per_second < 1024);
}

// Prints a row of docs/MEASUREMENTS.md.
void PrintMeasurements(std::size_t daemons) {
  const Cost cost = Measure(daemons, absl::Seconds(30));
  WARN(daemons << " daemons: " << cost.bytes_per_second << " bytes/s, maximum "
               << cost.max_bytes_per_second << ", joined after "
               << cost.join_time << ", death detected after "
               << cost.death_detection_time);
}

// The next two test cases are hidden, as they only print measurements.
TEST_CASE("traffic and detection times of 4 to 290 daemons", "[.measure]") {
  PrintMeasurements(4);
  PrintMeasurements(16);
  PrintMeasurements(64);
  PrintMeasurements(290);
}

TEST_CASE("traffic and detection times of 870 daemons", "[.measure]") {
  PrintMeasurements(870);
}

}  // namespace
}  // namespace gcw::membership
