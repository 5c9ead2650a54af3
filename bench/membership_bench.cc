#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "gcw/membership/membership.h"

namespace gcw::membership {
namespace {

MemberUpdate MakeUpdate(int i) {
  return MemberUpdate{
      "entry-" + std::to_string(i), "zone-" + std::to_string(i % 3),
      Endpoint{0x0a000001U + static_cast<std::uint32_t>(i), 7005},
      MemberState::kAlive, 1'800'000'000'000ULL << kRefutationBits};
}

Message MakeMessage(int updates) {
  Message message;
  message.nonce = 1'234'567;
  message.sender = MakeUpdate(1);
  message.revision = 4711;
  for (int i = 0; i < updates; ++i) {
    message.gossip.push_back(MakeUpdate(i + 2));
  }
  return message;
}

void BM_Encode(benchmark::State& state) {
  const Message message = MakeMessage(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Encode(message));
  }
  state.counters["bytes"] = static_cast<double>(Encode(message).size());
}
BENCHMARK(BM_Encode)->Arg(0)->Arg(8);

void BM_Decode(benchmark::State& state) {
  const auto bytes = Encode(MakeMessage(static_cast<int>(state.range(0))));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}
BENCHMARK(BM_Decode)->Arg(0)->Arg(8);

// Runs one tick. Every eighth tick sends a probe, whose ack is handled as well.
void BM_Tick(benchmark::State& state) {
  const int members = static_cast<int>(state.range(0));
  Options options;
  options.name = "entry-0";
  options.zone = "zone-0";
  options.advertise = Endpoint{0x0a000001, 7005};
  absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  auto membership = std::move(Membership::Make(options, now, 1).value());
  for (int i = 1; i < members; ++i) {
    Message hello;
    hello.type = MessageType::kAck;
    hello.sender = MakeUpdate(i);
    (void)membership->OnMessage(hello.sender.address, hello, now);
  }
  for (auto _ : state) {
    now += absl::Milliseconds(50);
    for (const OutgoingMessage& out : membership->OnTick(now).messages) {
      Message ack;
      ack.type = MessageType::kAck;
      ack.nonce = out.message.nonce;
      ack.sender = MakeUpdate(static_cast<int>(out.to.ip - 0x0a000001));
      benchmark::DoNotOptimize(membership->OnMessage(out.to, ack, now));
    }
  }
}
BENCHMARK(BM_Tick)->Arg(4)->Arg(64)->Arg(870);

}  // namespace
}  // namespace gcw::membership

BENCHMARK_MAIN();
