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

// Hidden: prints a row of docs/MEASUREMENTS.md. 100 changes a seed, 5 seeds.
void Print(std::size_t daemons, double loss) {
  std::vector<absl::Duration> took;
  double idle_bytes = 0;
  double change_bytes = 0;  // Of a daemon for each change, digests included.
  double calls = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Cluster cluster(seed);
    cluster.loss = loss;
    for (int i = 0; i < 40; ++i) {
      cluster.platform.Put("config/server/s" + std::to_string(i),
                           std::string(300, '7'));
    }
    cluster.AddAll(daemons, 3);
    cluster.Run(absl::Seconds(10));
    cluster.CountBytesFromNow();
    const absl::Time start = cluster.now();
    cluster.Run(absl::Seconds(30));
    calls += static_cast<double>(cluster.CallsSince(start)) / 30 / 5;
    for (std::size_t i = 0; i < daemons; ++i) {
      idle_bytes += static_cast<double>(cluster.node(i).bytes) / 30 / 5 /
                    static_cast<double>(daemons);
    }
    cluster.CountBytesFromNow();
    for (int i = 0; i < 100; ++i) {
      cluster.platform.Put("config/server/s3",
                           std::string(800, static_cast<char>('0' + i % 10)));
      took.push_back(cluster.RunUntil([&] { return cluster.InForce(); },
                                      absl::Minutes(1)));
      cluster.Run(absl::Milliseconds(237));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      change_bytes += static_cast<double>(cluster.node(i).bytes) / 100 / 5 /
                      static_cast<double>(daemons);
    }
  }
  WARN(daemons << " daemons, loss " << loss << ": in force p50 "
               << Percentile(took, 0.5) << ", p99 " << Percentile(took, 0.99)
               << ", for each change " << change_bytes
               << " bytes a daemon, idle " << idle_bytes
               << " bytes/s a daemon, " << calls << " platform calls/s");
}

TEST_CASE("time until a change is in force", "[.measure]") {
  for (std::size_t daemons : {4, 16, 64}) {
    Print(daemons, 0);
    Print(daemons, 0.1);
  }
}

}  // namespace
}  // namespace gcw::relay
