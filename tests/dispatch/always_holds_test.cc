#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/dispatch/sim.h"

// Tests of the invariants of request dispatch, on simulated daemons, backend
// servers and callers. Each test provokes the faults that could break one
// invariant, for several seeds.
namespace gcw::dispatch {
namespace {

// Time under load before the faults, longer than repeat_lifetime: only then can
// the witnesses be certain of first arrivals.
constexpr absl::Duration kWarmUpRun = absl::Seconds(6);

SimOptions OptionsWithSeed(int seed, bool use_scot_east = false) {
  SimOptions options;
  options.seed = seed;
  if (use_scot_east) {
    options.zones = {"a", "b", "c"};
    options.slots = 2;
  }
  return options;
}

// Lossy, duplicating network and repeating callers. Alternates between the two
// simulated deployments by seed.
SimOptions OptionsWithFaults(int seed) {
  SimOptions options = OptionsWithSeed(seed, seed % 2 == 0);
  options.loss = 0.01;
  options.duplication = 0.02;
  options.repeat_after = absl::Milliseconds(300);
  options.duplicate_request_share = 0.1;
  return options;
}

// Checks that no non-idempotent request ran twice, no request that ran was
// refused as not run, no caller got a wrong answer, and no request reached a
// server of another service.
void CheckInvariants(const Sim& sim) {
  const SimTotals& totals = sim.totals();
  std::string notes;
  for (const std::string& note : totals.notes) {
    notes += note + "; ";
  }
  INFO(notes);
  CHECK(totals.run_twice == 0);
  CHECK(totals.false_not_run == 0);
  CHECK(totals.wrong_answer == 0);
  CHECK(totals.misdelivered == 0);
}

// Kills a daemon after `at` and starts a new one in its place 3 s later.
void KillAndReplace(Sim& sim, int daemon, absl::Duration at) {
  sim.At(at, [&sim, daemon] { sim.KillDaemon(daemon); });
  sim.At(at + absl::Seconds(3), [&sim, daemon] { sim.StartDaemon(daemon); });
}

TEST_CASE("a request for another service or organisation is refused",
          "[holds]") {
  Sim sim(OptionsWithSeed(1));
  sim.Run(kWarmUpRun, 0.1);
  Dispatcher& dispatcher = *sim.dispatcher(0);
  const Request stray{"stray", "valtellina", "main", absl::Seconds(1)};
  const Request foreign{"foreign", "tayside", "main", absl::Seconds(1)};
  const Endpoint caller{1, 1};
  const Endpoint other_service{0x0a010101, 81};
  dispatcher.TakeActions();
  dispatcher.OnRequest(caller, other_service, stray, sim.now());
  dispatcher.OnRequest(caller, {0x0a010101, 80}, foreign, sim.now());
  int refusals = 0;
  for (const Action& action : dispatcher.TakeActions()) {
    CHECK(!std::holds_alternative<SendToServer>(action));
    CHECK(!std::holds_alternative<SendToPeer>(action));
    refusals += std::holds_alternative<SendToCaller>(action) ? 1 : 0;
  }
  CHECK(refusals == 2);
  CHECK(sim.totals().misdelivered == 0);
}

// Guards against sending a restarted server as many requests as before, also
// when its home dies during the warm-up.
TEST_CASE("a cold backend server gets no more attempts than it can sustain",
          "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(OptionsWithSeed(seed, seed % 2 == 0));
    sim.Run(kWarmUpRun, 0.8);
    sim.At(absl::Seconds(1), [&] { sim.RestartServer("main-1"); });
    sim.At(absl::Seconds(3), [&] {
      sim.RestartServer("main-2");
      sim.RestartServer("main-4");
      sim.RestartServer("small-1");
    });
    sim.At(absl::Seconds(8), [&] {
      for (const std::string& name :
           sim.server_names(seed % 2 == 0 ? "b" : "tirano")) {
        sim.RestartServer(name);
      }
    });
    // A daemon dies while its servers are cold: the next home must continue
    // their warm-up.
    KillAndReplace(sim, seed % 4, absl::Milliseconds(8500));
    sim.Run(absl::Seconds(20), 0.8);
    INFO("seed " << seed);
    CHECK(sim.totals().cold_overload <= 1.0);
    CheckInvariants(sim);
  }
}

TEST_CASE("a zone that is out and a draining server get no new work",
          "[holds]") {
  for (int seed = 1; seed <= 3; ++seed) {
    Sim sim(OptionsWithSeed(seed));
    sim.Run(kWarmUpRun, 0.7);
    sim.SetZone("tirano", config::ZoneState::kOut);
    sim.SetServer("main-1", config::ServerState::kDraining);
    sim.Run(absl::Seconds(2), 0.7);
    std::vector<std::string> out = sim.server_names("tirano");
    out.push_back("main-1");
    std::size_t attempts_before = 0;
    for (const std::string& name : out) {
      attempts_before += sim.server(name).received_attempts.size();
    }
    sim.Run(absl::Seconds(5), 0.7);
    std::size_t attempts_after = 0;
    for (const std::string& name : out) {
      attempts_after += sim.server(name).received_attempts.size();
    }
    CHECK(attempts_after == attempts_before);
    CheckInvariants(sim);
  }
}

// Guards against mixing up answers: some servers answer late and send copies of
// answers to the wrong daemon.
TEST_CASE("callers get the complete answer to their own request", "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(OptionsWithFaults(seed));
    for (const std::string& name : sim.server_names()) {
      sim.server(name).faults.misdirected_share = 0.2;
      sim.server(name).faults.answer_delay =
          absl::Milliseconds(name.ends_with("3") ? 900 : 0);
    }
    sim.Run(absl::Seconds(15), 0.7);
    sim.RunWithoutNewRequests(absl::Seconds(3));
    INFO("seed " << seed);
    CheckInvariants(sim);
    CHECK(sim.totals().delivered > sim.totals().sent / 2);
  }
}

// Guards against a refusal with not_run for a request that did run. Servers
// shed attempts under twice the sustainable load while two daemons are
// replaced.
TEST_CASE("a refusal with not_run is true under overload and daemon crashes",
          "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(OptionsWithFaults(seed));
    for (const std::string& name : sim.server_names()) {
      sim.server(name).faults.shed_share = 0.2;
    }
    sim.Run(kWarmUpRun, 1.0);
    KillAndReplace(sim, seed % 4, absl::Seconds(1));
    KillAndReplace(sim, (seed + 1) % 4, absl::Seconds(2));
    sim.Run(absl::Seconds(10), 2.0);
    sim.RunWithoutNewRequests(absl::Seconds(3));
    INFO("seed " << seed);
    CHECK(sim.totals().refused > 100);
    CheckInvariants(sim);
  }
}

// Guards against two owners that run the same request: a daemon resumes after a
// pause, or starts again, without knowing that another daemon took over.
TEST_CASE("a non-idempotent request runs at most once if daemons die and pause",
          "[holds]") {
  for (int seed = 1; seed <= 6; ++seed) {
    SimOptions options = OptionsWithFaults(seed);
    options.idempotent_share = 0.1;
    options.cancel_share = 0.05;
    Sim sim(options);
    sim.Run(kWarmUpRun, 0.8);
    KillAndReplace(sim, seed % 4, absl::Seconds(1));
    sim.At(absl::Seconds(2),
           [&] { sim.PauseDaemon((seed + 1) % 4, absl::Seconds(4)); });
    sim.At(absl::Seconds(9),
           [&] { sim.PauseDaemon((seed + 2) % 4, absl::Milliseconds(400)); });
    KillAndReplace(sim, (seed + 2) % 4, absl::Seconds(12));
    sim.Run(absl::Seconds(20), 0.8);
    sim.RunWithoutNewRequests(absl::Seconds(3));
    INFO("seed " << seed);
    CheckInvariants(sim);
  }
}

// Guards against two owners, one on each side of a network partition, that run
// the same request.
TEST_CASE("a non-idempotent request runs at most once if a zone is cut off",
          "[holds]") {
  for (int seed = 1; seed <= 6; ++seed) {
    SimOptions options = OptionsWithFaults(seed);
    options.idempotent_share = 0.1;
    Sim sim(options);
    sim.Run(kWarmUpRun, 0.7);
    const std::string zone = options.zones[seed % 3];
    sim.At(absl::Seconds(1), [&] { sim.CutZone(zone, true); });
    sim.At(absl::Seconds(9), [&] { sim.CutZone(zone, false); });
    sim.At(absl::Seconds(4), [&] { sim.RestartServer("main-5"); });
    KillAndReplace(sim, (seed + 1) % 4, absl::Seconds(5));
    sim.Run(absl::Seconds(15), 0.7);
    sim.RunWithoutNewRequests(absl::Seconds(3));
    INFO("seed " << seed);
    CheckInvariants(sim);
  }
}

TEST_CASE("a planned stop of a daemon interrupts no request", "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    SimOptions options = OptionsWithSeed(seed, seed % 2 == 0);
    options.deadline = absl::Seconds(2);
    Sim sim(options);
    sim.Run(kWarmUpRun, 0.6);
    sim.ResetMeasurements();
    const std::uint64_t unknown = sim.totals().unknown;
    // Each daemon stops only once its predecessor can tell first arrivals from
    // repeats again.
    for (int daemon = 0; daemon < 4; ++daemon) {
      const absl::Duration at = absl::Seconds(1 + 9 * daemon);
      sim.At(at, [&sim, daemon] { sim.StopDaemon(daemon); });
      sim.At(at + absl::Seconds(3),
             [&sim, daemon] { sim.StartDaemon(daemon); });
    }
    sim.Run(absl::Seconds(38), 0.6);
    sim.RunWithoutNewRequests(absl::Seconds(3));
    INFO("seed " << seed);
    for (const auto& [reason, count] : sim.refusal_reasons()) {
      UNSCOPED_INFO(count << " " << reason);
    }
    CHECK(sim.totals().unknown == unknown);
    CHECK(sim.delivered_share("valtellina") >= 0.98);
    CheckInvariants(sim);
  }
}

// Guards against losing answers of requests that the dead daemon only received
// or owned but whose slots it did not manage.
TEST_CASE("the death of a daemon loses only requests on its own slots",
          "[holds]") {
  for (int seed = 1; seed <= 3; ++seed) {
    SimOptions options = OptionsWithSeed(seed, seed % 2 == 0);
    options.idempotent_share = 0;
    Sim sim(options);
    sim.Run(kWarmUpRun, 0.5);
    sim.ResetMeasurements();
    sim.At(absl::Seconds(1), [&] { sim.KillDaemon(seed % 4); });
    sim.Run(absl::Milliseconds(1500), 0.5);
    sim.RunWithoutNewRequests(absl::Seconds(2));
    std::string refusal_reasons;
    for (const auto& [reason, count] : sim.refusal_reasons()) {
      refusal_reasons += fmt::format("{} {}; ", count, reason);
    }
    INFO("seed " << seed << " " << refusal_reasons);
    // The dead daemon managed a quarter of the slots; all other answers arrive.
    CHECK(sim.delivered_share("valtellina") >= 0.85);
    CheckInvariants(sim);
  }
}

TEST_CASE("an older configuration is ignored", "[holds]") {
  const DispatchOptions options{.self = "d1", .zone = "a"};
  const auto dispatcher = std::move(Dispatcher::Make(options).value());
  const absl::Time now = absl::FromUnixSeconds(1);
  auto with = std::make_shared<config::Snapshot>();
  with->revision = 1;
  with->services["main"] = {
      "main", "f", config::ServiceKind::kRequest, {{1, 80}}, {}, {}, 1};
  auto without = std::make_shared<config::Snapshot>();
  without->revision = 2;
  dispatcher->ApplySnapshot(with, now);
  dispatcher->ApplySnapshot(without, now);
  dispatcher->ApplySnapshot(with, now);
  const Request request{"1", "f", "main", absl::Seconds(1)};
  dispatcher->OnRequest({2, 2}, {1, 80}, request, now);
  const std::vector<Action> actions = dispatcher->TakeActions();
  REQUIRE(!actions.empty());
  const auto* answer = std::get_if<SendToCaller>(&actions[0]);
  REQUIRE(answer != nullptr);
  CHECK(std::get<Refusal>(answer->message).code == ResultCode::kUnknownService);
}

}  // namespace
}  // namespace gcw::dispatch
