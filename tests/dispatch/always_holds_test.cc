#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/dispatch/sim.h"

// One test for each line of "What must always hold" that requests can break.
namespace gcw::dispatch {
namespace {

constexpr absl::Duration kWarm = absl::Seconds(6);

SimOptions WithSeed(int seed, bool scot_east = false) {
  SimOptions options;
  options.seed = seed;
  if (scot_east) {
    options.zones = {"a", "b", "c"};
    options.slots = 2;
  }
  return options;
}

// Every other deployment for every other seed.
SimOptions Faulty(int seed) {
  SimOptions options = WithSeed(seed, seed % 2 == 0);
  options.loss = 0.01;
  options.duplication = 0.02;
  options.repeat_after = absl::Milliseconds(300);
  options.double_share = 0.1;
  return options;
}

void CheckPromises(const Sim& sim) {
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

void KillAndReplace(Sim& sim, int daemon, absl::Duration at) {
  sim.At(at, [&sim, daemon] { sim.KillDaemon(daemon); });
  sim.At(at + absl::Seconds(3), [&sim, daemon] { sim.StartDaemon(daemon); });
}

TEST_CASE("a packet never reaches another service", "[holds]") {
  Sim sim(WithSeed(1));
  sim.Run(kWarm, 0.1);
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

TEST_CASE("a backend server in cold start gets no more load than it bears",
          "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(WithSeed(seed, seed % 2 == 0));
    sim.Run(kWarm, 0.8);
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
    // A daemon dies while its servers are cold: the next home must know.
    KillAndReplace(sim, seed % 4, absl::Milliseconds(8500));
    sim.Run(absl::Seconds(20), 0.8);
    INFO("seed " << seed);
    CHECK(sim.totals().cold_overload <= 1.0);
    CheckPromises(sim);
  }
}

TEST_CASE("a zone that is out and a leaving server get no new work",
          "[holds]") {
  for (int seed = 1; seed <= 3; ++seed) {
    Sim sim(WithSeed(seed));
    sim.Run(kWarm, 0.7);
    sim.SetZone("tirano", config::ZoneState::kOut);
    sim.SetServer("main-1", config::ServerState::kDraining);
    sim.Run(absl::Seconds(2), 0.7);
    std::vector<std::string> out = sim.server_names("tirano");
    out.push_back("main-1");
    std::size_t seen = 0;
    for (const std::string& name : out) {
      seen += sim.server(name).seen.size();
    }
    sim.Run(absl::Seconds(5), 0.7);
    std::size_t seen_later = 0;
    for (const std::string& name : out) {
      seen_later += sim.server(name).seen.size();
    }
    CHECK(seen_later == seen);
    CheckPromises(sim);
  }
}

TEST_CASE("everyone gets the whole answer to the own request, late or crossed",
          "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(Faulty(seed));
    for (const std::string& name : sim.server_names()) {
      sim.server(name).behavior.cross_share = 0.2;
      sim.server(name).behavior.answer_delay =
          absl::Milliseconds(name.ends_with("3") ? 900 : 0);
    }
    sim.Run(absl::Seconds(15), 0.7);
    sim.Settle(absl::Seconds(3));
    INFO("seed " << seed);
    CheckPromises(sim);
    CHECK(sim.totals().delivered > sim.totals().sent / 2);
  }
}

TEST_CASE("a refusal that says not run is true, overload and faults in pairs",
          "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    Sim sim(Faulty(seed));
    for (const std::string& name : sim.server_names()) {
      sim.server(name).behavior.shed_share = 0.2;
    }
    sim.Run(kWarm, 1.0);
    KillAndReplace(sim, seed % 4, absl::Seconds(1));
    KillAndReplace(sim, (seed + 1) % 4, absl::Seconds(2));
    sim.Run(absl::Seconds(10), 2.0);
    sim.Settle(absl::Seconds(3));
    INFO("seed " << seed);
    CHECK(sim.totals().refused > 100);
    CheckPromises(sim);
  }
}

TEST_CASE("a non-idempotent request runs at most once, daemons die and pause",
          "[holds]") {
  for (int seed = 1; seed <= 6; ++seed) {
    SimOptions options = Faulty(seed);
    options.idempotent_share = 0.1;
    options.cancel_share = 0.05;
    Sim sim(options);
    sim.Run(kWarm, 0.8);
    KillAndReplace(sim, seed % 4, absl::Seconds(1));
    sim.At(absl::Seconds(2),
           [&] { sim.PauseDaemon((seed + 1) % 4, absl::Seconds(4)); });
    sim.At(absl::Seconds(9),
           [&] { sim.PauseDaemon((seed + 2) % 4, absl::Milliseconds(400)); });
    KillAndReplace(sim, (seed + 2) % 4, absl::Seconds(12));
    sim.Run(absl::Seconds(20), 0.8);
    sim.Settle(absl::Seconds(3));
    INFO("seed " << seed);
    CheckPromises(sim);
  }
}

TEST_CASE("a non-idempotent request runs at most once, a zone is cut",
          "[holds]") {
  for (int seed = 1; seed <= 6; ++seed) {
    SimOptions options = Faulty(seed);
    options.idempotent_share = 0.1;
    Sim sim(options);
    sim.Run(kWarm, 0.7);
    const std::string zone = options.zones[seed % 3];
    sim.At(absl::Seconds(1), [&] { sim.CutZone(zone, true); });
    sim.At(absl::Seconds(9), [&] { sim.CutZone(zone, false); });
    sim.At(absl::Seconds(4), [&] { sim.RestartServer("main-5"); });
    KillAndReplace(sim, (seed + 1) % 4, absl::Seconds(5));
    sim.Run(absl::Seconds(15), 0.7);
    sim.Settle(absl::Seconds(3));
    INFO("seed " << seed);
    CheckPromises(sim);
  }
}

TEST_CASE("a planned stop cuts no request", "[holds]") {
  for (int seed = 1; seed <= 5; ++seed) {
    SimOptions options = WithSeed(seed, seed % 2 == 0);
    options.deadline = absl::Seconds(2);
    Sim sim(options);
    sim.Run(kWarm, 0.6);
    sim.ResetService();
    const std::uint64_t unknown = sim.totals().unknown;
    // The next one stops once the one before is certain again.
    for (int daemon = 0; daemon < 4; ++daemon) {
      const absl::Duration at = absl::Seconds(1 + 9 * daemon);
      sim.At(at, [&sim, daemon] { sim.StopDaemon(daemon); });
      sim.At(at + absl::Seconds(3),
             [&sim, daemon] { sim.StartDaemon(daemon); });
    }
    sim.Run(absl::Seconds(38), 0.6);
    sim.Settle(absl::Seconds(3));
    INFO("seed " << seed);
    for (const auto& [reason, count] : sim.reasons()) {
      UNSCOPED_INFO(count << " " << reason);
    }
    CHECK(sim.totals().unknown == unknown);
    CHECK(sim.service("valtellina") >= 0.98);
    CheckPromises(sim);
  }
}

TEST_CASE("a dead daemon takes few answers with it", "[holds]") {
  for (int seed = 1; seed <= 3; ++seed) {
    SimOptions options = WithSeed(seed, seed % 2 == 0);
    options.idempotent_share = 0;
    Sim sim(options);
    sim.Run(kWarm, 0.5);
    sim.ResetService();
    sim.At(absl::Seconds(1), [&] { sim.KillDaemon(seed % 4); });
    sim.Run(absl::Milliseconds(1500), 0.5);
    sim.Settle(absl::Seconds(2));
    std::string reasons;
    for (const auto& [reason, count] : sim.reasons()) {
      reasons += fmt::format("{} {}; ", count, reason);
    }
    INFO("seed " << seed << " " << reasons);
    // A quarter of the slots was the dead one's; other answers arrive.
    CHECK(sim.service("valtellina") >= 0.85);
    CheckPromises(sim);
  }
}

TEST_CASE("an older configuration never comes back in force", "[holds]") {
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
