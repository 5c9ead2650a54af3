#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "tests/relay/cluster.h"

namespace gcw::relay {
namespace {

absl::Duration Percentile(std::vector<absl::Duration> values, double share) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

// Prints a row of docs/MEASUREMENTS.md, measured over 5 seeds with 100 changes
// each.
void PrintMeasurements(std::size_t daemons, double loss) {
  std::vector<absl::Duration> convergence_times;
  double idle_bytes_per_second = 0;
  double bytes_per_change = 0;  // Mean per daemon, including its digests.
  double calls_per_second = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Cluster cluster(seed);
    cluster.loss = loss;
    for (int i = 0; i < 40; ++i) {
      cluster.platform.Put("config/server/s" + std::to_string(i),
                           std::string(300, '7'));
    }
    cluster.AddNodes(daemons, 3);
    cluster.Run(absl::Seconds(10));
    cluster.CountBytesFromNow();
    const absl::Time start = cluster.now();
    cluster.Run(absl::Seconds(30));
    calls_per_second += static_cast<double>(cluster.CallsSince(start)) / 30 / 5;
    for (std::size_t i = 0; i < daemons; ++i) {
      idle_bytes_per_second += static_cast<double>(cluster.node(i).bytes) / 30 /
                               5 / static_cast<double>(daemons);
    }
    cluster.CountBytesFromNow();
    for (int i = 0; i < 100; ++i) {
      cluster.platform.Put("config/server/s3",
                           std::string(800, static_cast<char>('0' + i % 10)));
      convergence_times.push_back(cluster.RunUntil(
          [&] { return cluster.Converged(); }, absl::Minutes(1)));
      cluster.Run(absl::Milliseconds(237));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      bytes_per_change += static_cast<double>(cluster.node(i).bytes) / 100 / 5 /
                          static_cast<double>(daemons);
    }
  }
  WARN(daemons << " daemons, loss " << loss << ": a change reaches all in p50 "
               << Percentile(convergence_times, 0.5) << ", p99 "
               << Percentile(convergence_times, 0.99) << ", "
               << bytes_per_change << " bytes per daemon and change, idle "
               << idle_bytes_per_second << " bytes/s per daemon, "
               << calls_per_second << " platform calls/s");
}

// Hidden, as it only prints measurements.
TEST_CASE("time until all daemons have a change", "[.measure]") {
  for (std::size_t daemons : {4, 16, 64}) {
    PrintMeasurements(daemons, 0);
    PrintMeasurements(daemons, 0.1);
  }
}

}  // namespace
}  // namespace gcw::relay
