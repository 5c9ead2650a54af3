#include "gcw/lease/lease.h"

#include <catch2/catch.hpp>

#include "tests/lease/lease_simulation.h"

namespace gcw::lease {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};

std::string Data(std::string_view name, int i) {
  return "\"" + std::string(name) + std::to_string(i) + "\"";
}

TEST_CASE("invalid options are rejected with the name of their field") {
  const auto field = [](const Options& options) {
    auto made = Lease::Make(options, 1);
    REQUIRE_FALSE(made.ok());
    return made.error().field;
  };
  Options options;
  CHECK(field(options) == "key");
  options.key = "lease/a";
  CHECK(field(options) == "holder");
  options.holder = "a";
  options.guarded_keys = {"lease/a"};
  CHECK(field(options) == "guarded_keys");
  options.guarded_keys = {};
  options.duration = absl::Seconds(4);
  CHECK(field(options) == "duration");
}

TEST_CASE("a single candidate acquires a free lease and keeps it") {
  LeaseSimulation simulation(1);
  simulation.Add("a");
  CHECK(simulation.RunUntil(
            [&] { return simulation.IsHeld(simulation.candidate(0)); },
            absl::Seconds(5)) < absl::Seconds(1));
  const Version token = simulation.candidate(0).lease->token();
  simulation.Run(absl::Minutes(10));
  CHECK(simulation.IsHeld(simulation.candidate(0)));
  CHECK(simulation.candidate(0).lease->token() == token);
  CHECK(simulation.candidate(0).lease->stats().acquired == 1);
  CHECK(simulation.candidate(0).lease->stats().lost == 0);
  // 10 minutes of renewals, 2.4 to 3 s apart, take 200 to 250 calls.
  CHECK(simulation.calls() < 320);
}

TEST_CASE("a second candidate acquires the lease after the holder has paused") {
  LeaseSimulation simulation(2);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  simulation.Add("b");
  simulation.Run(absl::Minutes(1));
  CHECK(simulation.Holders() == std::vector<std::size_t>{0});
  CHECK(simulation.candidate(1).lease->last_seen_holder() == "a");
  simulation.Pause(simulation.candidate(0));
  const auto elapsed = simulation.RunUntil(
      [&] { return simulation.IsHeld(simulation.candidate(1)); },
      absl::Minutes(1));
  INFO("took " << elapsed);
  CHECK(elapsed < absl::Seconds(15));
  CHECK(simulation.max_holders == 1);
}

TEST_CASE("a released lease is acquired without waiting for expiry") {
  LeaseSimulation simulation(3);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  simulation.Add("b");
  simulation.Run(absl::Seconds(10));
  simulation.candidate(0).lease->Release();
  const auto elapsed = simulation.RunUntil(
      [&] { return simulation.IsHeld(simulation.candidate(1)); },
      absl::Minutes(1));
  CHECK(elapsed < absl::Seconds(5));
  simulation.Run(absl::Minutes(1));
  CHECK(simulation.Holders() == std::vector<std::size_t>{1});
  CHECK(simulation.max_holders == 1);
}

// A holder that stops writes its last status and releases the lease right
// after. The release overtook the write, which then had no outcome at all.
TEST_CASE("a write that is in progress at a release takes effect first") {
  LeaseSimulation simulation(5);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  simulation.Add("b");
  REQUIRE(simulation.StartWrite(simulation.candidate(0)).ok());
  simulation.candidate(0).lease->Release();
  CHECK(simulation.StartWrite(simulation.candidate(0)).error().code ==
        ResultCode::kLeaseLost);
  simulation.RunUntil(
      [&] { return simulation.IsHeld(simulation.candidate(1)); },
      absl::Seconds(5));
  REQUIRE(simulation.candidate(0).outcomes.contains(Data("a", 0)));
  CHECK(simulation.candidate(0).outcomes.at(Data("a", 0)).ok());
  CHECK(simulation.TimesApplied(Data("a", 0)) == 1);
  CHECK(simulation.Holders() == std::vector<std::size_t>{1});
}

// Each accepted write has an outcome, also if the store does not answer.
TEST_CASE("a write that is in progress at a release is reported in an outage") {
  LeaseSimulation simulation(6);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  REQUIRE(simulation.StartWrite(simulation.candidate(0)).ok());
  simulation.candidate(0).lease->Release();
  simulation.store_down = true;
  simulation.Run(absl::Minutes(1));
  REQUIRE(simulation.candidate(0).outcomes.contains(Data("a", 0)));
  CHECK_FALSE(simulation.candidate(0).outcomes.at(Data("a", 0)).ok());
  CHECK(simulation.applied().empty());
}

TEST_CASE("each fenced write takes effect once and is reported") {
  LeaseSimulation simulation(4);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  for (int i = 0; i < 20; ++i) {
    REQUIRE(simulation.StartWrite(simulation.candidate(0)).ok());
    CHECK(simulation.StartWrite(simulation.candidate(0)).error().code ==
          ResultCode::kLeaseHeld);
    simulation.Run(absl::Seconds(1));
    CHECK(simulation.candidate(0).outcomes.at(Data("a", i)).ok());
  }
  CHECK(simulation.applied().size() == 20);
}

TEST_CASE("invalid fenced writes are rejected") {
  LeaseSimulation simulation(5);
  simulation.Add("a");
  Lease& lease = *simulation.candidate(0).lease;
  const auto code = [&](std::string_view key, std::string_view json) {
    auto status = lease.FencedWrite(key, json,
                                    simulation.TimeOf(simulation.candidate(0)));
    REQUIRE_FALSE(status.ok());
    return status.error().code;
  };
  CHECK(code(LeaseSimulation::kGuardedKey, "1") == ResultCode::kLeaseLost);
  simulation.Run(absl::Seconds(2));
  CHECK(code("other", "1") == ResultCode::kInvalidField);
  CHECK(code(LeaseSimulation::kGuardedKey, "{") == ResultCode::kInvalidField);
}

TEST_CASE("a holder that was paused past expiry has its writes rejected") {
  for (std::uint64_t seed : kSeeds) {
    LeaseSimulation simulation(seed);
    simulation.Add("a");
    simulation.Run(absl::Seconds(2));
    simulation.Add("b");
    simulation.Run(absl::Seconds(5));
    // The holder's process stops after the lease has accepted the write and
    // before the write is sent to the store.
    REQUIRE(simulation.StartWrite(simulation.candidate(0)).ok());
    simulation.Pause(simulation.candidate(0));
    simulation.Run(absl::Seconds(30));
    REQUIRE(simulation.IsHeld(simulation.candidate(1)));
    REQUIRE(simulation.StartWrite(simulation.candidate(1)).ok());
    simulation.Run(absl::Seconds(2));
    CHECK_FALSE(simulation.IsHeld(simulation.candidate(0)));
    simulation.Resume(simulation.candidate(0));
    CHECK(simulation.StartWrite(simulation.candidate(0)).error().code ==
          ResultCode::kLeaseLost);
    simulation.Run(absl::Seconds(10));
    const auto outcome = simulation.candidate(0).outcomes.at(Data("a", 0));
    REQUIRE_FALSE(outcome.ok());
    CHECK(outcome.error().code == ResultCode::kLeaseLost);
    CHECK(simulation.TimesApplied(Data("a", 0)) == 0);
    CHECK(simulation.guarded_data() == Data("b", 0));
    CHECK(simulation.max_holders == 1);
  }
}

TEST_CASE("a write sent by a stale holder fails on the version condition") {
  // Guards against a stale write to a guarded object. The process of holder a
  // stops after OnTick() has returned the write, when the expiry check has
  // already passed; only the version condition in the store can reject it.
  Options options;
  options.key = "lease/x";
  options.guarded_keys = {"status/x"};
  options.holder = "a";
  auto a = std::move(Lease::Make(options, 1).value());
  options.holder = "b";
  auto b = std::move(Lease::Make(options, 2).value());

  class InMemoryStore : public LeaseStore {
   public:
    Result<StoredObject> Read(std::string_view key) override {
      return objects_[std::string(key)];
    }
    Result<Version> PutIf(std::string_view key,
                          std::string_view json,
                          Version if_version) override {
      StoredObject& object = objects_[std::string(key)];
      if (object.version != if_version) {
        return Error{ResultCode::kPlatformConflict, "", ""};
      }
      object = StoredObject{++version_, std::string(json)};
      return version_;
    }

   private:
    std::map<std::string, StoredObject> objects_;
    Version version_ = 0;
  };
  class ManualClock : public MonotonicClock {
   public:
    absl::Time Now() override { return now; }
    absl::Time now = absl::FromUnixSeconds(5);
  };
  InMemoryStore store;
  ManualClock clock;
  ExecuteStoreCalls(*a, store, clock, 10);
  REQUIRE(a->IsHeld(clock.now));
  REQUIRE(a->FencedWrite("status/x", "1", clock.now).ok());
  const auto stale = a->OnTick(clock.now);
  REQUIRE(stale);
  // Meanwhile b acquires the lease and rewrites the guarded object.
  ExecuteStoreCalls(*b, store, clock, 10);
  clock.now += absl::Seconds(11);
  ExecuteStoreCalls(*b, store, clock, 10);
  REQUIRE(b->IsHeld(clock.now));
  REQUIRE(b->token() > stale->if_version);
  // The stale write of member a, which lost the lease, reaches the store.
  const auto result = store.PutIf(stale->key, stale->json, stale->if_version);
  CHECK_FALSE(result.ok());
  a->OnPut(stale->id, result, clock.now);
  CHECK_FALSE(a->IsHeld(clock.now));
  const auto outcomes = a->TakeOutcomes();
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].result.error().code == ResultCode::kLeaseLost);
}

TEST_CASE("writes with lost answers are recognised by their operation ids") {
  for (std::uint64_t seed : kSeeds) {
    LeaseSimulation simulation(seed);
    simulation.faults.lost_answer = 0.3;
    simulation.Add("a");
    simulation.Run(absl::Seconds(10));
    int accepted = 0;
    for (int i = 0; i < 100; ++i) {
      accepted += simulation.StartWrite(simulation.candidate(0)).ok() ? 1 : 0;
      simulation.Run(absl::Seconds(2));
    }
    CHECK(accepted > 50);
    CHECK(simulation.candidate(0).lease->stats().confirmed_by_read > 10);
    simulation.faults.lost_answer = 0;
    simulation.Run(absl::Seconds(20));
    // Every accepted write took effect exactly once, in order.
    CHECK(simulation.applied().size() == static_cast<std::size_t>(accepted));
    for (int i = 0; i < accepted; ++i) {
      CHECK(simulation.applied()[static_cast<std::size_t>(i)] == Data("a", i));
    }
  }
}

TEST_CASE("there is one holder again after a store outage of hours") {
  for (std::uint64_t seed : kSeeds) {
    LeaseSimulation simulation(seed);
    simulation.Add("a");
    simulation.Add("b");
    simulation.Add("c");
    simulation.Run(absl::Seconds(30));
    CHECK(simulation.Holders().size() == 1);
    const std::uint64_t before = simulation.calls();
    simulation.store_down = true;
    simulation.Run(absl::Seconds(30));
    CHECK(simulation.Holders().empty());
    simulation.Run(absl::Hours(3));
    // Three candidates for three hours: with a maximum backoff of 5 s,
    // shortened by up to half, each makes about one call in 2.5 s at most. 2.4
    // s allows for the first, faster retries.
    CHECK(simulation.calls() - before < 3 * 3 * 3600 / 2.4);
    simulation.store_down = false;
    const auto elapsed = simulation.RunUntil(
        [&] { return simulation.Holders().size() == 1; }, absl::Minutes(1));
    INFO("took " << elapsed);
    CHECK(elapsed < absl::Seconds(8));
    simulation.Run(absl::Minutes(1));
    CHECK(simulation.Holders().size() == 1);
    CHECK(simulation.max_holders == 1);
  }
}

TEST_CASE("a clock that goes backwards ends the term") {
  LeaseSimulation simulation(6);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  REQUIRE(simulation.IsHeld(simulation.candidate(0)));
  simulation.candidate(0).clock_offset = -absl::Hours(1);
  CHECK_FALSE(simulation.IsHeld(simulation.candidate(0)));
  CHECK(simulation.StartWrite(simulation.candidate(0)).error().code ==
        ResultCode::kLeaseLost);
  const auto elapsed = simulation.RunUntil(
      [&] { return simulation.IsHeld(simulation.candidate(0)); },
      absl::Minutes(1));
  CHECK(elapsed < absl::Seconds(3));
  CHECK(simulation.candidate(0).lease->stats().lost == 1);
}

TEST_CASE("a clock that jumps forwards ends the term") {
  LeaseSimulation simulation(7);
  simulation.Add("a");
  simulation.Run(absl::Seconds(2));
  simulation.candidate(0).clock_offset = absl::Hours(1);
  CHECK_FALSE(simulation.IsHeld(simulation.candidate(0)));
  CHECK(simulation.RunUntil(
            [&] { return simulation.IsHeld(simulation.candidate(0)); },
            absl::Minutes(1)) < absl::Seconds(3));
}

TEST_CASE("clocks that jump forwards do not break fencing") {
  // A candidate whose clock has jumped forwards may acquire the lease before
  // the holder's term ends. Writes of the former holder must then be rejected.
  for (std::uint64_t seed : kSeeds) {
    LeaseSimulation simulation(seed);
    simulation.Add("a");
    simulation.Add("b");
    std::mt19937_64 random(seed);
    for (int i = 0; i < 100; ++i) {
      for (std::size_t c : {0, 1}) {
        (void)simulation.StartWrite(simulation.candidate(c));
      }
      simulation.Run(absl::Milliseconds(random() % 3000));
      if (random() % 5 == 0) {
        simulation.candidate(random() % 2).clock_offset +=
            absl::Seconds(random() % 30);
      }
    }
    for (std::size_t c : {0, 1}) {
      for (const auto& [data, result] : simulation.candidate(c).outcomes) {
        REQUIRE(simulation.TimesApplied(data) == (result.ok() ? 1 : 0));
      }
    }
  }
}

TEST_CASE("fencing and reported outcomes hold under random faults") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    LeaseSimulation simulation(seed);
    simulation.faults.unavailable = 0.05;
    simulation.faults.lost_answer = 0.1;
    simulation.faults.lost_request = 0.05;
    simulation.faults.late_effect = 0.05;
    simulation.Add("a");
    simulation.Add("b");
    simulation.Add("c");
    for (int i = 0; i < 300; ++i) {
      for (std::size_t c = 0; c < 3; ++c) {
        (void)simulation.StartWrite(simulation.candidate(c));
      }
      simulation.Run(absl::Milliseconds(random() % 2000));
      auto& candidate = simulation.candidate(random() % 3);
      if (candidate.paused) {
        simulation.Resume(candidate);
      } else if (random() % 10 == 0) {
        simulation.Pause(candidate);
      }
      if (random() % 50 == 0) {
        simulation.store_down = !simulation.store_down;
      }
    }
    simulation.store_down = false;
    simulation.faults = {};
    for (std::size_t c = 0; c < 3; ++c) {
      simulation.Resume(simulation.candidate(c));
    }
    simulation.Run(absl::Minutes(1));
    INFO("seed " << seed);
    CHECK(simulation.max_holders == 1);
    CHECK(simulation.Holders().size() == 1);
    std::size_t writes_done = 0;
    for (std::size_t c = 0; c < 3; ++c) {
      for (const auto& [data, result] : simulation.candidate(c).outcomes) {
        const std::size_t times = simulation.TimesApplied(data);
        if (result.ok()) {
          REQUIRE(times == 1);
          ++writes_done;
        } else if (result.error().code == ResultCode::kLeaseLost) {
          REQUIRE(times == 0);
        } else {
          REQUIRE(result.error().code == ResultCode::kPlatformOutcomeUnknown);
          REQUIRE(times <= 1);
        }
      }
    }
    CHECK(writes_done > 20);
  }
}

TEST_CASE("stored text of other writers is decoded without errors") {
  CHECK(ParseLease("[]").holder.empty());
  CHECK(ParseLease("{\"holder\":3}").holder.empty());
  CHECK(ParseLease("not JSON").op.empty());
  CHECK(ParseGuarded("not JSON").data == "null");
  CHECK(ParseGuarded("{\"fence\":-1,\"data\":1}").fence == 0);
  CHECK(ParseGuarded("[1]").data == "[1]");
}

}  // namespace
}  // namespace gcw::lease
