// Measures how long a daemon takes to build a configuration snapshot: the first
// snapshot, and the next one after a single change. The configuration has
// either the size of the present deployment (4 services, 36 backend servers) or
// 1,900 services and 6,500 backend servers.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "gcw/config/codec.h"
#include "gcw/config/snapshot_builder.h"

namespace gcw::config {
namespace {

constexpr std::uint32_t kFirstServiceIp = 0x0a000001;
constexpr std::uint32_t kFirstServerIp = 0x0b000001;
constexpr int kServersPerService = 14;

ObjectRecord MakeRecord(const Resource& resource, Version version) {
  return {KeyOf(IdOf(resource)), version, version,
          EncodeStored("organisation/op", resource)};
}

std::vector<ObjectRecord> MakeRecords(int services, int servers) {
  Version version = 0;
  std::vector<ObjectRecord> records = {
      MakeRecord(Organisation{"organisation", ""}, ++version),
      MakeRecord(AvailabilityZone{"zone"}, ++version)};
  for (int i = 0; i < servers; ++i) {
    BackendServer server;
    server.name = fmt::format("server-{}", i);
    server.address = {kFirstServerIp + static_cast<std::uint32_t>(i), 9000};
    server.zone = "zone";
    records.push_back(MakeRecord(server, ++version));
  }
  for (int i = 0; i < services; ++i) {
    Service service;
    service.name = fmt::format("service-{}", i);
    service.organisation = "organisation";
    service.addresses = {{kFirstServiceIp + static_cast<std::uint32_t>(i), 80}};
    for (int j = 0; j < kServersPerService; ++j) {
      const int server = (i * kServersPerService + j) % servers;
      service.servers.push_back({fmt::format("server-{}", server), 100});
    }
    records.push_back(MakeRecord(service, ++version));
  }
  return records;
}

void BuildFirst(benchmark::State& state) {
  const auto records = MakeRecords(static_cast<int>(state.range(0)),
                                   static_cast<int>(state.range(1)));
  for (auto unused : state) {
    benchmark::DoNotOptimize(BuildSnapshot(records, 0));
  }
}
BENCHMARK(BuildFirst)
    ->Args({4, 36})
    ->Args({1900, 6500})
    ->Unit(benchmark::kMicrosecond);

void BuildAfterOneChange(benchmark::State& state) {
  auto records = MakeRecords(static_cast<int>(state.range(0)),
                             static_cast<int>(state.range(1)));
  SnapshotBuilder builder;
  builder.Build(records, 0);
  Version version = records.size();
  for (auto unused : state) {
    records.back().version = ++version;
    benchmark::DoNotOptimize(builder.Build(records, 0));
  }
}
BENCHMARK(BuildAfterOneChange)
    ->Args({4, 36})
    ->Args({1900, 6500})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace gcw::config

BENCHMARK_MAIN();
