// Measures the time of one routing decision and of building tables.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "src/routing/table.h"
#include "tests/routing/fixtures.h"

namespace gcw::routing {
namespace {

using testing::MakePacket;
using testing::TimeAt;

std::unique_ptr<RoutingPolicy> MakeRouter(std::uint32_t max_flows) {
  RouterOptions options;
  options.self = std::string("b0");
  options.zone = std::string("a");
  options.max_flows = max_flows;
  return RoutingPolicy::Make(options).value();
}

// Returns a router with `flows` flows. If `unsettled`, every second server is
// draining.
std::unique_ptr<RoutingPolicy> MakeLoaded(std::uint32_t flows, bool unsettled) {
  auto router = MakeRouter(2 * flows);
  testing::ConfigBuilder config = testing::MakeDeskConfig(14);
  router->ApplySnapshot(config.BuildSnapshot(), TimeAt(0));
  router->ApplyMembers({}, TimeAt(0));
  router->OnTick(TimeAt(0.05));
  for (std::uint32_t flow = 0; flow < flows; ++flow) {
    router->OnPacket(MakePacket(flow, true), TimeAt(0.1));
  }
  if (unsettled) {
    for (int i = 0; i < 14; i += 2) {
      config.draft.servers[fmt::format("s{}", i)].state =
          config::ServerState::kDraining;
    }
    router->ApplySnapshot(config.BuildSnapshot(), TimeAt(0.2));
    router->OnTick(TimeAt(3));
  }
  return router;
}

std::vector<FlowPacket> MakePackets(std::uint32_t first, std::uint32_t count) {
  std::vector<FlowPacket> packets;
  for (std::uint32_t i = 0; i < count; ++i) {
    packets.push_back(MakePacket(first + i, false));
  }
  std::shuffle(packets.begin(), packets.end(), std::mt19937(1));
  return packets;
}

// A packet of a flow that has an entry.
void BM_Hit(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  const auto router = MakeLoaded(flows, false);
  const std::vector<FlowPacket> packets = MakePackets(0, flows);
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(router->OnPacket(packets[next], TimeAt(0.2)));
    next = next + 1 == packets.size() ? 0 : next + 1;
  }
  state.counters["bytes_per_flow"] =
      static_cast<double>(router->Stats().flow_bytes) / flows;
}
BENCHMARK(BM_Hit)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

// A packet of a flow that has no entry. The FIN flag prevents the router from
// storing one.
void RunMisses(benchmark::State& state, bool unsettled) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  const auto router = MakeLoaded(flows, unsettled);
  std::vector<FlowPacket> packets = MakePackets(flows, 100'000);
  for (FlowPacket& packet : packets) {
    packet.flags.fin = true;
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(router->OnPacket(packets[next], TimeAt(9)));
    next = next + 1 == packets.size() ? 0 : next + 1;
  }
  const RouterStats stats = router->Stats();
  state.counters["unsettled_share"] =
      static_cast<double>(stats.unsettled_buckets) /
      static_cast<double>(stats.buckets);
}

void BM_MissSettled(benchmark::State& state) {
  RunMisses(state, false);
}
BENCHMARK(BM_MissSettled)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void BM_MissUnsettled(benchmark::State& state) {
  RunMisses(state, true);
}
BENCHMARK(BM_MissUnsettled)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void BM_BuildTable(benchmark::State& state) {
  std::vector<WeightedServer> weighted_servers;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    weighted_servers.push_back({StableHash(fmt::format("s{}", i)) | 1, 100});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(BuildTable(weighted_servers));
  }
}
BENCHMARK(BM_BuildTable)->Arg(4)->Arg(14)->Arg(200);

// The first configuration of a daemon: 1,900 services with 6,500 servers.
void BM_LargeStart(benchmark::State& state) {
  constexpr int kServices = 1900;
  constexpr int kServers = 6500;
  testing::ConfigBuilder config;
  for (int i = 0; i < kServices; ++i) {
    config.AddService(fmt::format("service{}", i),
                      Endpoint{testing::kServiceIp + 1U + i, 80});
  }
  for (int i = 0; i < kServers; ++i) {
    const std::string name = fmt::format("s{}", i);
    config.AddServer(name, std::string(1, static_cast<char>('a' + i % 3)),
                     0x0a000100U + static_cast<std::uint32_t>(i));
    config.draft.services[fmt::format("service{}", i % kServices)]
        .servers.push_back({name, 100});
  }
  const config::SnapshotPtr snapshot = config.BuildSnapshot();
  for (auto _ : state) {
    const auto router = MakeRouter(1000);
    router->ApplySnapshot(snapshot, TimeAt(0));
    state.counters["table_bytes"] =
        static_cast<double>(router->Stats().table_bytes);
  }
}
BENCHMARK(BM_LargeStart)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace gcw::routing

BENCHMARK_MAIN();
