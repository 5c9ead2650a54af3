// Measures what one round of the load exchange costs a daemon: decoding and
// applying a message, and the sum over the fleet. The argument is the number of
// services, each in three zones.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <vector>

#include "gcw/load/aggregator.h"

namespace gcw::load {
namespace {

FleetFigures MakeFigures(std::uint32_t services) {
  FleetFigures figures;
  figures.sum.daemons = 10;
  for (std::uint32_t i = 0; i < 3 * services; ++i) {
    figures.sum.zones.push_back({i / 3 + 1, i % 3 + 1, 40, 500, 60, 7});
  }
  for (std::uint32_t i = 0; i < 40; ++i) {
    figures.sum.servers.push_back({1'000'000 + i, 3, 20, 320});
  }
  figures.coverage = {{HashName("zone"), 10, absl::Milliseconds(300)}};
  return figures;
}

void BM_Decode(benchmark::State& state) {
  const auto bytes = Encode(
      {.type = MessageType::kTotal,
       .figures = MakeFigures(static_cast<std::uint32_t>(state.range(0))),
       .has_servers = true});
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}
BENCHMARK(BM_Decode)->Arg(2)->Arg(20);

void BM_Round(benchmark::State& state) {
  auto daemon = Aggregator::Make({.name = "b", .zone = "zone"}).value();
  const std::vector<Peer> peers{{"a", "zone"}, {"c", "zone"}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  daemon->SetPeers(peers, now);
  Message message{
      .type = MessageType::kTotal,
      .figures = MakeFigures(static_cast<std::uint32_t>(state.range(0))),
      .has_servers = true};
  for (auto _ : state) {
    ++message.sequence;
    now += absl::Milliseconds(250);
    daemon->SetOwn(message.figures.sum, now);
    benchmark::DoNotOptimize(daemon->OnMessage("a", message, now));
    benchmark::DoNotOptimize(daemon->Total(now));
  }
}
BENCHMARK(BM_Round)->Arg(2)->Arg(20);

}  // namespace
}  // namespace gcw::load

BENCHMARK_MAIN();
