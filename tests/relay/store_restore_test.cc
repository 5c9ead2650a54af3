#include <catch2/catch.hpp>

#include "tests/relay/cluster.h"

namespace gcw::relay {
namespace {

using Mode = Cluster::PlatformMode;

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8};
constexpr absl::Duration kConvergenceLimit = absl::Seconds(20);

void PutServers(FakePlatform& platform, int objects) {
  for (int i = 0; i < objects; ++i) {
    platform.Put("config/server/s" + std::to_string(i), "{}");
  }
}

absl::Duration TimeToConverge(Cluster& cluster) {
  return cluster.RunUntil([&] { return cluster.Converged(); },
                          kConvergenceLimit);
}

// Whether all daemons hold the objects that the platform has now.
bool AllHoldThePlatformsState(Cluster& cluster) {
  const std::vector<Object> expected = cluster.platform.List();
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.node(i).relay->objects() != expected) {
      return false;
    }
  }
  return true;
}

// A restored platform has lower revisions than the daemons. Daemons took its
// state for an old one until the revisions had passed theirs, and never got
// what was written before that.
TEST_CASE("all daemons take over the state of a restored platform") {
  for (const std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 10);
    const Version copy = cluster.platform.revision();
    cluster.AddNodes(6, 3);
    cluster.Run(absl::Seconds(4));
    cluster.platform.Put("config/server/s1", "lost");
    cluster.platform.Delete("config/server/s2");
    REQUIRE(TimeToConverge(cluster) < absl::Seconds(2));
    cluster.mode = Mode::kDown;
    cluster.Run(absl::Seconds(2));
    cluster.platform.Restore(copy);
    cluster.platform.Put("config/server/s3", "new");
    cluster.mode = Mode::kUp;
    const absl::Duration elapsed = TimeToConverge(cluster);
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(5));
    CHECK(AllHoldThePlatformsState(cluster));
  }
}

TEST_CASE("daemons cut off from the platform learn of its restore from peers") {
  for (const std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 10);
    const Version copy = cluster.platform.revision();
    cluster.AddNodes(6, 2);
    cluster.Run(absl::Seconds(4));
    cluster.platform.Put("config/server/s1", "lost");
    REQUIRE(TimeToConverge(cluster) < absl::Seconds(2));
    for (const std::size_t i : {0, 2, 4}) {
      cluster.node(i).platform_mode = Mode::kSilent;
    }
    cluster.platform.Restore(copy);
    CHECK(TimeToConverge(cluster) < absl::Seconds(8));
    CHECK(AllHoldThePlatformsState(cluster));
  }
}

// A zone that is cut off holds a state from before the restore under a higher
// revision. Its daemons must not pass it on to the others when the cut heals.
TEST_CASE("a zone that missed a restore does not turn the others back") {
  for (const std::uint64_t seed : kSeeds) {
    Cluster cluster(seed);
    PutServers(cluster.platform, 10);
    const Version copy = cluster.platform.revision();
    cluster.AddNodes(6, 3);
    cluster.Run(absl::Seconds(4));
    for (int i = 0; i < 20; ++i) {
      cluster.platform.Put("config/server/s1", "lost");
    }
    REQUIRE(TimeToConverge(cluster) < absl::Seconds(2));
    cluster.Partition(
        [](const Cluster::Node& n) { return n.zone == "zone-0" ? 0 : 1; });
    for (const std::size_t i : {0, 3}) {
      cluster.node(i).platform_mode = Mode::kSilent;
    }
    cluster.Run(absl::Seconds(2));
    cluster.platform.Restore(copy);
    cluster.platform.Put("config/server/s2", "new");
    cluster.Run(absl::Seconds(6));
    cluster.Heal();
    CHECK(TimeToConverge(cluster) < absl::Seconds(3));
    CHECK(AllHoldThePlatformsState(cluster));
  }
}

// Cluster checks after each input that no daemon returns to an older state, and
// that each holds the complete state of its version.
TEST_CASE("restores beside outages, restarts and late answers lose no change") {
  for (const std::uint64_t seed : kSeeds) {
    std::mt19937_64 random(seed);
    Cluster cluster(seed);
    cluster.loss = 0.05;
    PutServers(cluster.platform, 8);
    cluster.AddNodes(6, 3);
    cluster.Run(absl::Seconds(4));
    std::vector<Version> earlier = {cluster.platform.revision()};
    const Mode modes[] = {Mode::kUp,     Mode::kUp,    Mode::kDown,
                          Mode::kSilent, Mode::kStale, Mode::kWatchStalled};
    for (int i = 0; i < 80; ++i) {
      cluster.mode = modes[random() % std::size(modes)];
      cluster.stale_revision = earlier[random() % earlier.size()];
      if (random() % 8 == 0) {
        const std::size_t recent =
            std::min<std::size_t>(earlier.size(), 1 + random() % 6);
        cluster.platform.Restore(earlier[earlier.size() - recent]);
      }
      if (random() % 8 == 0) {
        Cluster::Node& node = cluster.node(random() % cluster.size());
        cluster.Kill(node);
        cluster.Start(node);
        cluster.UpdatePeers();
      }
      for (int j = 0; j < 4; ++j) {
        const std::string key =
            "config/server/s" + std::to_string(random() % 12);
        cluster.platform.Put(key, std::to_string(random() % 100));
        cluster.Run(absl::Milliseconds(random() % 600));
      }
      earlier.push_back(cluster.platform.revision());
    }
    cluster.mode = Mode::kUp;
    const absl::Duration elapsed = TimeToConverge(cluster);
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(8));
    CHECK(AllHoldThePlatformsState(cluster));
  }
}

}  // namespace
}  // namespace gcw::relay
