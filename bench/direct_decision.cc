// Measures how long DirectRouter takes to decide on packets, to place new flows
// and to run its periodic tick. The argument of each benchmark is the number of
// backend servers.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"

namespace gcw::direct {
namespace {

constexpr Endpoint kRoute{0xc6120001, 443};
constexpr std::uint32_t kCallers = 0x64400000;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

Packet MakePacket(std::uint32_t flow, bool syn) {
  Packet packet;
  packet.flow = {
      {kCallers + flow / 50'000, static_cast<std::uint16_t>(1 + flow % 50'000)},
      kRoute};
  packet.syn = syn;
  packet.sequence = 1000;
  return packet;
}

// A router with one service of `count` servers in three zones.
std::unique_ptr<DirectRouter> MakeRouter(std::uint32_t count) {
  RouterOptions options;
  options.zone = std::string("zone-0");
  auto router = DirectRouter::Make(options).value();
  Configuration configuration;
  configuration.routes = {{kRoute, "route", {{"service", 1}}}};
  configuration.services = {{"service", 0, 10}};
  router->ApplyConfiguration(configuration, 1, At(0));
  router->ApplyZonesOut({}, 1, absl::UnixEpoch());
  std::vector<ServerReportPtr> reports;
  for (std::uint32_t i = 0; i < count; ++i) {
    BackendServer server;
    server.name = fmt::format("server-{}", i);
    server.number = i + 1;
    server.incarnation = 1;
    server.service = "service";
    server.address = {0x0a000000 + i, 8080};
    server.zone = fmt::format("zone-{}", i % 3);
    server.slots = 2;
    reports.push_back(std::make_shared<ServerReport>(
        ServerReport{1, server.name, true, server}));
  }
  router->ApplyServerList(reports, 1, At(0));
  return router;
}

// Discards the output of the router, which a daemon would log, count or act on.
void Discard(DirectRouter& router) {
  router.TakeEvents();
  router.TakeLatencySamples();
  router.TakeProbes();
  router.TakeResets();
}

// Decides on a packet of a flow that is in the flow table.
void BM_Established(benchmark::State& state) {
  auto router = MakeRouter(static_cast<std::uint32_t>(state.range(0)));
  const Decision opened = router->OnPacket(MakePacket(1, true), At(0.1));
  Packet packet = MakePacket(1, false);
  packet.cookie = opened.cookie;
  for (auto _ : state) {
    packet.acknowledged += 1200;
    benchmark::DoNotOptimize(router->OnPacket(packet, At(0.2)));
    Discard(*router);
  }
}
BENCHMARK(BM_Established)->Arg(18)->Arg(150)->Arg(6500);

// Decides on a packet of a flow that is not in the flow table, for example
// because another daemon routed the flow before. The cookie identifies the
// server.
void BM_ByCookie(benchmark::State& state) {
  auto router = MakeRouter(static_cast<std::uint32_t>(state.range(0)));
  Packet packet = MakePacket(1, true);
  packet.cookie = router->OnPacket(packet, At(0.1)).cookie;
  packet.syn = false;
  std::uint32_t flow = 2;
  for (auto _ : state) {
    const FlowCookie cookie = packet.cookie;
    packet = MakePacket(flow, false);
    packet.cookie = cookie;
    packet.rst = true;  // Erases the flow, to keep the flow table small.
    ++flow;
    benchmark::DoNotOptimize(router->OnPacket(packet, At(0.2)));
    Discard(*router);
  }
}
BENCHMARK(BM_ByCookie)->Arg(18)->Arg(150)->Arg(6500);

// Decides on a SYN. Choosing a server takes time linear in the number of
// servers in the zone up to 64, and the same time for any larger number.
void BM_Place(benchmark::State& state) {
  auto router = MakeRouter(static_cast<std::uint32_t>(state.range(0)));
  std::uint32_t flow = 1;
  for (auto _ : state) {
    Packet packet = MakePacket(flow, true);
    ++flow;
    packet.cookie = router->OnPacket(packet, At(0.1)).cookie;
    packet.syn = false;
    packet.rst = true;  // Erases the flow, to keep the flow table small.
    router->OnPacket(packet, At(0.1));
    Discard(*router);
  }
}
BENCHMARK(BM_Place)->Arg(18)->Arg(150)->Arg(6500);

// Runs the tick that a daemon runs every 50 ms, with 10,000 flows in the flow
// table.
void BM_Tick(benchmark::State& state) {
  auto router = MakeRouter(static_cast<std::uint32_t>(state.range(0)));
  for (std::uint32_t flow = 1; flow <= 10'000; ++flow) {
    Packet packet = MakePacket(flow, true);
    packet.cookie = router->OnPacket(packet, At(0.1)).cookie;
    packet.syn = false;
    router->OnPacket(packet, At(0.11));
  }
  Discard(*router);
  for (auto _ : state) {
    router->OnTick(At(0.15));
    Discard(*router);
  }
}
BENCHMARK(BM_Tick)->Arg(18)->Arg(150)->Arg(6500);

}  // namespace
}  // namespace gcw::direct

BENCHMARK_MAIN();
