// Measures the time that FeedReader takes to turn the relayed objects into a
// message for the packet task after one server of many has changed.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <vector>

#include "platform/object_format.h"
#include "src/direct_balancer/feed_reader.h"

namespace gcw::direct_balancer {
namespace {

relay::Object MakeServer(std::uint32_t index, relay::Version version) {
  return {.key = fmt::format("{}i-{:08x}", adapter::kServersPrefix, index),
          .version = version,
          .created = 1,
          .json = fmt::format(
              R"({{"service":"s","address":"10.0.{}.{}:80","zone":"zone-{}",)"
              R"("capacity":2,"state":"ready","warmup_left_ms":0,"born":1}})",
              index / 250, index % 250, index % 3),
          .deleted = false};
}

void BM_OneServerChanged(benchmark::State& state) {
  std::vector<relay::Object> objects;
  const auto count = static_cast<std::uint32_t>(state.range(0));
  for (std::uint32_t i = 0; i < count; ++i) {
    objects.push_back(MakeServer(i, 1));
  }
  const auto reader = FeedReader::Make(direct::Feed::kServers, {});
  relay::Version revision = 1;
  reader->OnObjects(objects, revision, absl::UnixEpoch());
  for (auto _ : state) {
    ++revision;
    objects[revision % count] =
        MakeServer(static_cast<std::uint32_t>(revision % count), revision);
    benchmark::DoNotOptimize(
        reader->OnObjects(objects, revision, absl::UnixEpoch()));
  }
}
BENCHMARK(BM_OneServerChanged)
    ->Arg(18)
    ->Arg(150)
    ->Arg(3000)
    ->Arg(6500)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace gcw::direct_balancer

BENCHMARK_MAIN();
