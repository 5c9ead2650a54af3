#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "gcw/relay/versioned_relay.h"

namespace gcw::relay {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

Object MakeObject(int i, Version version) {
  return Object{"config/server/server-" + std::to_string(i), version, version,
                std::string(300, 'x'), false};
}

std::unique_ptr<VersionedRelay> MakeRelay(int objects) {
  Options options;
  options.name = "entry-0";
  options.zone = "zone-0";
  auto relay = std::move(VersionedRelay::Make(options, kStart, 1).value());
  const std::vector<Peer> peers = {
      {"entry-1", "zone-0"}, {"entry-2", "zone-1"}, {"entry-3", "zone-2"}};
  relay->SetPeers(peers, kStart);
  Update all;
  all.full = true;
  all.to = 1'000'000;
  for (int i = 0; i < objects; ++i) {
    all.objects.push_back(MakeObject(i, static_cast<Version>(i) + 1));
  }
  (void)relay->OnMessage("entry-1", all, absl::ZeroDuration(), kStart);
  return relay;
}

// Applies one change from a peer and passes it on to the other peers.
void BM_RelayChange(benchmark::State& state) {
  const int objects = static_cast<int>(state.range(0));
  auto relay = MakeRelay(objects);
  Version version = 1'000'000;
  for (auto _ : state) {
    Update update;
    update.from = version;
    update.to = ++version;
    update.objects.push_back(
        MakeObject(static_cast<int>(version) % objects, version));
    benchmark::DoNotOptimize(
        relay->OnMessage("entry-1", update, absl::ZeroDuration(), kStart));
  }
}
BENCHMARK(BM_RelayChange)->Arg(50)->Arg(1000)->Arg(10000);

void BM_EncodeUpdate(benchmark::State& state) {
  Update update;
  update.from = 1;
  update.to = 1'000'000;
  for (int i = 0; i < state.range(0); ++i) {
    update.objects.push_back(MakeObject(i, static_cast<Version>(i) + 2));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(Encode(update));
  }
  state.counters["bytes"] = static_cast<double>(Encode(update).size());
}
BENCHMARK(BM_EncodeUpdate)->Arg(1)->Arg(50);

void BM_DecodeUpdate(benchmark::State& state) {
  Update update;
  update.from = 1;
  update.to = 1'000'000;
  for (int i = 0; i < state.range(0); ++i) {
    update.objects.push_back(MakeObject(i, static_cast<Version>(i) + 2));
  }
  const auto bytes = Encode(update);
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}
BENCHMARK(BM_DecodeUpdate)->Arg(1)->Arg(50);

}  // namespace
}  // namespace gcw::relay

BENCHMARK_MAIN();
