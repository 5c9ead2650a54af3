#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "gcw/auth/replay_window.h"
#include "gcw/auth/signer.h"
#include "gcw/auth/token_hash.h"

namespace gcw::auth {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

std::shared_ptr<Signer> MakeSigner() {
  return Signer::Make("entry-0", {1, std::string(32, 'k')}, {}, kNow).value();
}

void BM_Sign(benchmark::State& state) {
  const auto signer = MakeSigner();
  const std::vector<std::uint8_t> payload(state.range(0), 7);
  for (auto _ : state) {
    benchmark::DoNotOptimize(signer->Sign(Channel::kControl, payload, kNow));
  }
}
BENCHMARK(BM_Sign)->Arg(64)->Arg(1024);

void BM_VerifyAndAccept(benchmark::State& state) {
  const auto signer = MakeSigner();
  const std::vector<std::uint8_t> payload(state.range(0), 7);
  const auto message = signer->Sign(Channel::kControl, payload, kNow);
  ReplayWindow window;
  for (auto _ : state) {
    const auto verified = signer->Verify(Channel::kControl, message);
    benchmark::DoNotOptimize(window.Accept(verified.value(), kNow));
  }
}
BENCHMARK(BM_VerifyAndAccept)->Arg(64)->Arg(1024);

void BM_VerifyToken(benchmark::State& state) {
  const std::string stored = HashToken("a token of some length").value();
  for (auto _ : state) {
    benchmark::DoNotOptimize(VerifyToken("a token of some length", stored));
  }
}
BENCHMARK(BM_VerifyToken);

}  // namespace
}  // namespace gcw::auth

BENCHMARK_MAIN();
