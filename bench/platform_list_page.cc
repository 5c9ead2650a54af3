// Measures the time that decoding a list answer of the store takes.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>

#include "gcw/platform/api_format.h"

namespace gcw::platform {
namespace {

// A list answer with `count` backend servers.
std::string MakeBody(int count) {
  std::string body = R"({"revision":900000,"objects":[)";
  for (int i = 0; i < count; ++i) {
    body += fmt::format(
        R"({}{{"created":1,"key":"servers/i-{:08x}","value":{{"address":)"
        R"("10.0.{}.{}:80","born":1791663355018,"capacity":2,"sequence":4,)"
        R"("service":"checkout","state":"ready","version":"v1",)"
        R"("warm_ms":0,"zone":"zone-{}"}},"version":{}}})",
        i == 0 ? "" : ",", i, i / 250, i % 250, i % 3, 1000 + i);
  }
  return body + "]}";
}

void BM_DecodeListPage(benchmark::State& state) {
  const std::string body = MakeBody(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    auto page = FlatApiFormat().DecodeListPage("servers/", body);
    if (!page.ok()) {
      state.SkipWithError("not decoded");
    }
    benchmark::DoNotOptimize(page);
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations()) *
                          static_cast<std::int64_t>(body.size()));
}
BENCHMARK(BM_DecodeListPage)->Arg(500)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace gcw::platform

BENCHMARK_MAIN();
