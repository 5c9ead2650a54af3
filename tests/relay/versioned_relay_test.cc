#include "gcw/relay/versioned_relay.h"

#include <catch2/catch.hpp>

#include "tests/relay/cluster.h"

namespace gcw::relay {
namespace {

using Mode = Cluster::PlatformMode;

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};

// Writes `objects` backend servers to the platform.
void PutServers(FakePlatform& platform, int objects) {
  for (int i = 0; i < objects; ++i) {
    platform.Put("config/server/s" + std::to_string(i), R"({"op":"o"})");
  }
}

// Writes or deletes a random backend server, as an operator does, or writes an
// object outside the configuration, as a status writer does.
void ApplyRandomChange(FakePlatform& platform, std::mt19937_64& random) {
  const std::string key = "config/server/s" + std::to_string(random() % 12);
  switch (random() % 4) {
    case 0:
      platform.WriteUnrelatedObject();
      return;
    case 1:
      if (platform.At(platform.revision()).contains(key)) {
        platform.Delete(key);
        return;
      }
      [[fallthrough]];
    default:
      platform.Put(key, "{\"n\":" + std::to_string(random() % 100) + "}");
  }
}

TEST_CASE("options without a name or zone are rejected") {
  Options options;
  CHECK(VersionedRelay::Make(options, absl::UnixEpoch(), 1).error().field ==
        "name");
  options.name = "a";
  CHECK(VersionedRelay::Make(options, absl::UnixEpoch(), 1).error().field ==
        "zone");
}

TEST_CASE("daemons receive the configuration and each change") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 20);
    cluster.AddNodes(4, 3);
    CHECK(cluster.RunUntil([&] { return cluster.Converged(); },
                           absl::Seconds(10)) < absl::Seconds(3));
    for (int i = 0; i < 10; ++i) {
      cluster.platform.Put("config/server/s3", std::to_string(i));
      const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                            absl::Seconds(10));
      INFO("seed " << seed << " took " << elapsed);
      CHECK(elapsed < absl::Seconds(1));
    }
  }
}

// Message loss, duplication, delays and restarts must not make a daemon miss a
// change or return to an older revision. Cluster checks this after each input.
TEST_CASE("frequent changes never leave an incomplete or older state") {
  for (std::uint64_t seed : kSeeds) {
    std::mt19937_64 random(seed);
    Cluster cluster(seed);
    cluster.loss = 0.1;
    cluster.duplication = 0.1;
    cluster.max_delay = absl::Milliseconds(100);
    cluster.AddNodes(6, 3);
    for (int i = 0; i < 400; ++i) {
      ApplyRandomChange(cluster.platform, random);
      cluster.Run(absl::Milliseconds(random() % 200));
      if (random() % 40 == 0) {
        auto& node = cluster.node(random() % cluster.size());
        cluster.Kill(node);
        cluster.UpdatePeers();
        cluster.Run(absl::Milliseconds(random() % 500));
        cluster.Start(node);
        cluster.UpdatePeers();
      }
    }
    const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                          absl::Seconds(20));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(5));
    // Afterwards all daemons have the same revision and objects.
    cluster.Run(absl::Seconds(10));
    for (std::size_t i = 1; i < cluster.size(); ++i) {
      CHECK(cluster.node(i).relay->digest() == cluster.node(0).relay->digest());
    }
  }
}

TEST_CASE("random outages, stalls and stale answers revert no object") {
  for (std::uint64_t seed : kSeeds) {
    std::mt19937_64 random(seed + 100);
    Cluster cluster(seed);
    cluster.loss = 0.05;
    PutServers(cluster.platform, 8);
    cluster.AddNodes(5, 2);
    cluster.Run(absl::Seconds(4));
    const Mode modes[] = {Mode::kUp,     Mode::kUp,    Mode::kDown,
                          Mode::kSilent, Mode::kStale, Mode::kWatchStalled};
    for (int i = 0; i < 60; ++i) {
      cluster.mode = modes[random() % std::size(modes)];
      cluster.stale_revision = random() % (cluster.platform.revision() + 1);
      for (int j = 0; j < 5; ++j) {
        if (cluster.mode != Mode::kDown) {
          ApplyRandomChange(cluster.platform, random);
        }
        cluster.Run(absl::Milliseconds(random() % 700));
      }
    }
    cluster.mode = Mode::kUp;
    const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                          absl::Seconds(30));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(8));
  }
}

// The daemon that has a change passes it on to the others, which cannot get it
// from the platform.
TEST_CASE("a change that one daemon got before an outage reaches all daemons") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 5);
    cluster.AddNodes(16, 3);
    cluster.Run(absl::Seconds(5));
    for (std::size_t i = 1; i < cluster.size(); ++i) {
      cluster.node(i).platform_mode = Mode::kDown;
    }
    // Only node 0 still reaches the platform. It gets a hint about the write.
    cluster.Run(absl::Seconds(3));
    const Version version = cluster.platform.Put("config/zone/a", "{}");
    cluster.HandleInput(cluster.node(0), [&](VersionedRelay& relay) {
      return relay.OnRevisionHint(version, cluster.now());
    });
    cluster.RunUntil(
        [&] { return cluster.node(0).relay->revision() >= version; },
        absl::Seconds(3));
    cluster.mode = Mode::kDown;
    const auto elapsed = cluster.RunUntil(
        [&] { return cluster.Converged(version); }, absl::Seconds(20));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(3));
  }
}

TEST_CASE("a daemon started in an outage gets the state from its peers") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 30);
    cluster.AddNodes(4, 3);
    cluster.Run(absl::Seconds(5));
    cluster.mode = Mode::kSilent;
    auto& node = cluster.node(2);
    cluster.Kill(node);
    cluster.UpdatePeers();
    cluster.Run(absl::Seconds(3));
    cluster.Start(node);
    cluster.UpdatePeers();
    const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                          absl::Seconds(10));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(1));
    CHECK(node.relay->objects().size() == 30);
  }
}

TEST_CASE("a restarted daemon that is no watcher does not call the platform") {
  Cluster cluster(1);
  PutServers(cluster.platform, 5);
  cluster.AddNodes(9, 1);
  cluster.Run(absl::Seconds(5));
  std::size_t non_watcher = 0;
  while (cluster.node(non_watcher).relay->is_watcher()) {
    ++non_watcher;
  }
  auto& node = cluster.node(non_watcher);
  cluster.Kill(node);
  cluster.Start(node);
  cluster.UpdatePeers();
  cluster.Run(absl::Seconds(10));
  CHECK(node.relay->revision() == cluster.platform.last_change());
  CHECK(node.relay->stats().platform_calls == 0);
}

// A watch call that the platform never answers must not keep the daemons from
// learning of later changes.
TEST_CASE("a watch call without an answer is given up in time") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 5);
    cluster.AddNodes(4, 2);
    cluster.Run(absl::Seconds(5));
    // The calls that are active now are never answered; later calls are.
    cluster.mode = Mode::kSilent;
    cluster.Run(absl::Milliseconds(200));
    cluster.mode = Mode::kUp;
    cluster.platform.Put("config/zone/a", "{}");
    const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                          absl::Seconds(20));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(3));
  }
}

TEST_CASE("a zone whose watches stall gets changes from other zones") {
  Cluster cluster(2);
  PutServers(cluster.platform, 5);
  cluster.AddNodes(8, 2);
  cluster.Run(absl::Seconds(5));
  for (std::size_t i = 0; i < cluster.size(); i += 2) {
    cluster.node(i).platform_mode = Mode::kWatchStalled;
  }
  cluster.Run(absl::Seconds(5));
  cluster.platform.Put("config/zone/a", "{}");
  CHECK(cluster.RunUntil([&] { return cluster.Converged(); },
                         absl::Seconds(20)) < absl::Seconds(1));
}

TEST_CASE("a platform that recovers with an older state reverts no object") {
  Cluster cluster(3);
  PutServers(cluster.platform, 10);
  cluster.AddNodes(4, 2);
  cluster.Run(absl::Seconds(5));
  const Version before = cluster.node(0).relay->revision();
  cluster.mode = Mode::kDown;
  cluster.Run(absl::Seconds(30));
  cluster.mode = Mode::kStale;
  cluster.stale_revision = 4;
  cluster.Run(absl::Seconds(30));
  CHECK(cluster.node(0).relay->revision() == before);
  CHECK(cluster.node(0).relay->objects().size() == 10);
  CHECK(cluster.node(0).relay->stats().platform_behind);
  cluster.mode = Mode::kUp;
  cluster.platform.Put("config/zone/a", "{}");
  CHECK(cluster.RunUntil([&] { return cluster.Converged(); },
                         absl::Seconds(20)) < absl::Seconds(5));
  cluster.Run(absl::Seconds(5));
  CHECK_FALSE(cluster.node(0).relay->stats().platform_behind);
}

TEST_CASE("late answers to calls that were given up are ignored") {
  Options options;
  options.name = "a";
  options.zone = "z";
  absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  auto relay = std::move(VersionedRelay::Make(options, now, 1).value());
  std::optional<PlatformCall> call;
  while (!call) {
    now += absl::Milliseconds(50);
    call = relay->OnTick(now).call;
  }
  REQUIRE(call->type == CallType::kList);
  const std::uint64_t first = call->id;
  now += call->timeout;
  CHECK_FALSE(relay->OnTick(now).call);
  call.reset();
  while (!call) {
    now += absl::Milliseconds(50);
    call = relay->OnTick(now).call;
  }
  const std::vector<Object> old = {{"config/a", 1, 1, "1", false}};
  const std::vector<Object> current = {{"config/a", 5, 1, "5", false}};
  CHECK_FALSE(relay->OnList(first, 1, old, now).changed);
  CHECK(relay->revision() == 0);
  CHECK(relay->OnList(call->id, 5, current, now).changed);
  CHECK_FALSE(relay->OnList(call->id, 1, old, now).changed);
  CHECK(relay->Find("config/a")->version == 5);
  CHECK(relay->stats().stale_answers == 2);
}

// The platform compacts its history, so a watch from an old version can fail.
TEST_CASE("a watch of a compacted version is followed by a list") {
  Options options;
  options.name = "a";
  options.zone = "z";
  absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  auto relay = std::move(VersionedRelay::Make(options, now, 1).value());
  std::optional<PlatformCall> call;
  const auto next = [&] {
    call.reset();
    while (!call) {
      now += absl::Milliseconds(50);
      call = relay->OnTick(now).call;
    }
  };
  next();
  const std::vector<Object> first = {{"config/a", 1, 1, "1", false},
                                     {"config/b", 2, 2, "1", false}};
  call = relay->OnList(call->id, 2, first, now).call;
  REQUIRE(call);
  CHECK(call->type == CallType::kWatch);
  CHECK(call->after == 2);
  relay->OnCallFailed(call->id, ResultCode::kPlatformCompacted, now);
  next();
  CHECK(call->type == CallType::kList);
  const std::vector<Object> later = {{"config/b", 2, 2, "1", false}};
  CHECK(relay->OnList(call->id, 90, later, now).changed);
  CHECK(relay->Find("config/a") == nullptr);
  CHECK(relay->revision() == 90);
}

TEST_CASE("after a partition all daemons get the latest state") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 5);
    cluster.AddNodes(6, 3);
    cluster.Run(absl::Seconds(5));
    cluster.Partition(
        [](const Cluster::Node& n) { return n.zone == "zone-0" ? 0 : 1; });
    cluster.node(0).platform_mode = Mode::kSilent;
    cluster.node(3).platform_mode = Mode::kSilent;
    cluster.Run(absl::Seconds(5));
    cluster.platform.Delete("config/server/s1");
    cluster.platform.Put("config/server/s9", "{}");
    cluster.Run(absl::Seconds(20));
    CHECK_FALSE(cluster.Converged());
    cluster.Heal();
    const auto elapsed = cluster.RunUntil([&] { return cluster.Converged(); },
                                          absl::Seconds(20));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(3));
  }
}

TEST_CASE("the rate of platform calls does not grow with the fleet") {
  std::vector<double> rates;
  for (std::size_t daemons : {6, 16, 64}) {
    Cluster cluster(7);
    PutServers(cluster.platform, 5);
    cluster.AddNodes(daemons, 3);
    cluster.Run(absl::Seconds(10));
    const absl::Time start = cluster.now();
    cluster.Run(absl::Seconds(60));
    rates.push_back(static_cast<double>(cluster.CallsSince(start)) / 60);
  }
  INFO(rates[0] << " " << rates[1] << " " << rates[2] << " calls/s");
  CHECK(rates[2] <= rates[0] * 1.05);
}

// After an outage of an hour, all daemons notice the recovery at about the same
// time. Their calls must not overload the platform.
TEST_CASE("the call rate at most doubles when the platform recovers") {
  for (std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 5);
    cluster.AddNodes(16, 3);
    cluster.Run(absl::Seconds(10));
    const absl::Time steady_start = cluster.now();
    cluster.Run(absl::Seconds(60));
    const double steady =
        static_cast<double>(cluster.CallsSince(steady_start)) / 60;
    cluster.mode = Mode::kDown;
    cluster.Run(absl::Seconds(3600));
    for (int i = 0; i < 20; ++i) {
      cluster.platform.Put("config/server/s1", std::to_string(i));
    }
    cluster.mode = Mode::kUp;
    const absl::Time recovery_start = cluster.now();
    cluster.Run(absl::Seconds(10));
    CHECK(cluster.Converged());
    const double at_return =
        static_cast<double>(cluster.CallsSince(recovery_start)) / 10;
    INFO("seed " << seed << " steady " << steady << " at return " << at_return);
    CHECK(at_return <= 2 * steady);
  }
}

TEST_CASE("each zone has two watchers and replaces a dead one") {
  Cluster cluster(8);
  PutServers(cluster.platform, 5);
  cluster.AddNodes(30, 3);
  cluster.Run(absl::Seconds(5));
  const auto watchers = [&](const std::string& zone) {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      const auto& node = cluster.node(i);
      if (node.running && node.zone == zone && node.relay->is_watcher()) {
        found.push_back(i);
      }
    }
    return found;
  };
  const auto before = watchers("zone-1");
  REQUIRE(before.size() == 2);
  cluster.Kill(cluster.node(before[0]));
  cluster.UpdatePeers();
  const auto after = watchers("zone-1");
  REQUIRE(after.size() == 2);
  CHECK((after[0] == before[1] || after[1] == before[1]));
  CHECK(watchers("zone-0").size() == 2);
}

}  // namespace
}  // namespace gcw::relay
