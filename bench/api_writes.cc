// Measures writes through gcw-api on the fake platform, whose calls take 2 ms,
// by 1, 4 and 16 operators that each write their own backend server, and by 4
// that write the same one. Reports writes per second, and the median and the
// 99th percentile of the time of a write.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/api/api_server.h"
#include "gcw/auth/token_hash.h"
#include "src/fake_platform/fake_platform.h"

namespace gcw::api {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr char kToken[] = "pool.secret";
constexpr int kWritesPerOperator = 100;
constexpr double kUnlimited = 1e9;

template <typename T>
T ValueOrExit(Result<T> result) {
  if (!result.ok()) {
    fmt::print(stderr, "{}\n", ToString(result.error()));
    std::exit(1);
  }
  return std::move(result).value();
}

// A fake platform, an API and 16 backend servers.
class ApiBenchFixture {
 public:
  ApiBenchFixture() {
    SetLogLevel(LogLevel::kWarning);
    platform_ = ValueOrExit(fake_platform::FakePlatform::Make(
        {.listen = {kLoopback, 0}, .limits = {kUnlimited, kUnlimited}}));
    ApiSettings settings;
    settings.listen = {kLoopback, 0};
    settings.platform = platform_->endpoint();
    settings.pool_token_hash = ValueOrExit(auth::HashToken(kToken));
    api_ = ValueOrExit(ApiServer::Make(settings));
    Put("config/zone/zone", R"({"spec":{"name":"zone"}})");
    for (int i = 0; i < 16; ++i) {
      Put(fmt::format("config/server/s{}", i),
          fmt::format(R"({{"spec":{{"name":"s{0}","zone":"zone",)"
                      R"("address":"10.0.0.{0}:1"}},)"
                      R"("claims":{{"10.0.0.{0}:1":1}}}})",
                      i));
    }
    platform_->SetDelay({absl::Milliseconds(2), absl::ZeroDuration()});
  }

  // Makes kWritesPerOperator writes of a backend server and returns the
  // milliseconds that each write took.
  std::vector<double> Write(int server) const {
    httplib::Client client(IpToString(kLoopback), api_->endpoint().port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_bearer_token_auth(kToken);
    std::vector<double> times;
    for (int i = 0; i < kWritesPerOperator; ++i) {
      const absl::Time start = absl::Now();
      const auto answer = client.Patch(fmt::format("/v1/servers/s{}", server),
                                       fmt::format(R"({{"slots":{}}})", i + 1),
                                       "application/json");
      if (!answer || answer->status != 200) {
        fmt::print(stderr, "a write failed\n");
        std::exit(1);
      }
      times.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
    }
    return times;
  }

 private:
  void Put(const std::string& key, const std::string& value) {
    ValueOrExit(platform_->Put(key, value, 0));
  }

  std::unique_ptr<fake_platform::FakePlatform> platform_;
  std::unique_ptr<ApiServer> api_;
};

double Percentile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const double last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last)];
}

void Writes(benchmark::State& state, bool same_server) {
  const int operators = static_cast<int>(state.range(0));
  const ApiBenchFixture fixture;
  std::vector<double> all;
  for (auto unused : state) {
    std::vector<std::vector<double>> times(operators);
    std::vector<std::thread> threads;
    for (int i = 0; i < operators; ++i) {
      threads.emplace_back([&fixture, &times, i, same_server] {
        times[i] = fixture.Write(same_server ? 0 : i);
      });
    }
    for (int i = 0; i < operators; ++i) {
      threads[i].join();
      all.insert(all.end(), times[i].begin(), times[i].end());
    }
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(all.size()));
  state.counters["p50_ms"] = Percentile(all, 0.5);
  state.counters["p99_ms"] = Percentile(all, 0.99);
}
BENCHMARK_CAPTURE(Writes, own_servers, false)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Iterations(3)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(Writes, one_server, true)
    ->Arg(4)
    ->Iterations(3)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace gcw::api

BENCHMARK_MAIN();
