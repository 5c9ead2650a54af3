#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>

#include "gcw/base/hash.h"
#include "gcw/dispatch/codec.h"
#include "gcw/dispatch/dispatcher.h"

namespace gcw::dispatch {
namespace {

constexpr int kServers = 14;
constexpr Endpoint kService{0x0a010101, 80};

config::SnapshotPtr MakeSnapshot() {
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->revision = 1;
  snapshot->zones["a"] = {"a", config::ZoneState::kIn, 1};
  config::Service service;
  service.name = "main";
  service.organisation = "organisation";
  service.addresses = {kService};
  for (int i = 0; i < kServers; ++i) {
    config::BackendServer server;
    server.name = fmt::format("s{}", i);
    server.address = {0x0a020000U + i, 7000};
    server.zone = "a";
    server.slots = 3;
    snapshot->servers[server.name] = server;
    service.servers.push_back({server.name, 100});
  }
  snapshot->services["main"] = service;
  return snapshot;
}

Request MakeRequest(std::uint64_t number) {
  Request request;
  request.id = fmt::format("request-{}", number);
  request.organisation = "organisation";
  request.service = "main";
  request.deadline = absl::Seconds(1);
  request.worth = 1;
  request.body = Bytes(120, 1);
  return request;
}

AnswerPart AnswerTo(const Request& request, const std::string& server) {
  AnswerPart part;
  part.id = request.id;
  part.service = request.service;
  part.body = Bytes(600, 2);
  part.server = server;
  part.incarnation = 1;
  part.sum = StableHash(part.body);
  part.attempt_id = request.attempt_id;
  return part;
}

// Measures the dispatch of one request on a single daemon, from its arrival to
// the answer to the caller: claim, queueing, choice of the server, answer.
void BM_Request(benchmark::State& state, const char* policy) {
  DispatchOptions options;
  options.policy = policy;
  options.self = "d1";
  options.zone = "a";
  const auto dispatcher = std::move(Dispatcher::Make(options).value());
  const config::SnapshotPtr snapshot = MakeSnapshot();
  std::map<Endpoint, std::string> names;
  for (const auto& [name, server] : snapshot->servers) {
    names[server.address] = name;
  }
  absl::Time now = absl::FromUnixSeconds(1);
  const Member self{"d1", "a", MemberState::kLive, 1};
  dispatcher->ApplySnapshot(snapshot, now);
  dispatcher->ApplyMembers(std::span(&self, 1), now);
  // Advance the time beyond repeat_lifetime. Before, the witness on this daemon
  // could not be certain of first arrivals.
  for (int i = 0; i < 100; ++i) {
    now += absl::Milliseconds(100);
    dispatcher->OnTick(now);
  }
  dispatcher->TakeActions();
  std::uint64_t number = 0;
  std::uint64_t answered = 0;
  for (auto _ : state) {
    now += absl::Microseconds(200);
    dispatcher->OnRequest({1, 1}, kService, MakeRequest(++number), now);
    for (Action& action : dispatcher->TakeActions()) {
      const auto* sent = std::get_if<SendToServer>(&action);
      if (sent == nullptr) {
        continue;
      }
      if (const auto* request = std::get_if<Request>(&sent->message)) {
        dispatcher->OnServerMessage(
            sent->server, AnswerTo(*request, names[sent->server]), now);
      }
    }
    for (const Action& action : dispatcher->TakeActions()) {
      answered += std::holds_alternative<SendToCaller>(action) ? 1 : 0;
    }
    if (number % 25 == 0) {
      dispatcher->OnTick(now);
    }
  }
  state.counters["answered"] = benchmark::Counter(
      static_cast<double>(answered) / static_cast<double>(number));
}
BENCHMARK_CAPTURE(BM_Request, home, "home");
BENCHMARK_CAPTURE(BM_Request, least_loaded, "least_loaded");

void BM_EncodeRequest(benchmark::State& state) {
  const Message request = MakeRequest(1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(Encode(request));
  }
}
BENCHMARK(BM_EncodeRequest);

void BM_DecodeRequest(benchmark::State& state) {
  const Bytes bytes = Encode(MakeRequest(1));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}
BENCHMARK(BM_DecodeRequest);

void BM_DecodeAnswer(benchmark::State& state) {
  const Bytes bytes = Encode(AnswerTo(MakeRequest(1), "s1"));
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(bytes));
  }
}
BENCHMARK(BM_DecodeAnswer);

}  // namespace
}  // namespace gcw::dispatch

BENCHMARK_MAIN();
