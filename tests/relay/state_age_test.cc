// A daemon that does not watch the platform depends on others for its news. It
// routed by an old state for as long as it took to notice that they were gone
// or that the connections to them were silent.

#include <catch2/catch.hpp>

#include "tests/relay/cluster.h"

namespace gcw::relay {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};
constexpr absl::Duration kMaxStateAge = absl::Milliseconds(1800);
// The change must have arrived this long after the platform accepted it.
constexpr absl::Duration kDeadline = absl::Seconds(3);

Options BoundedOptions() {
  Options options;
  options.watchers_per_zone = 1;
  options.zone_fanout = 3;
  options.watch_wait = absl::Milliseconds(1080);
  options.watch_wait_after_failure = absl::Milliseconds(200);
  options.call_grace = absl::Milliseconds(700);
  options.backoff_min = absl::Milliseconds(150);
  options.backoff_max = absl::Seconds(1);
  options.max_state_age = kMaxStateAge;
  options.confirmation_interval = kMaxStateAge / 4;
  return options;
}

// Starts `daemons` in three zones and lets them read the platform.
void Start(Cluster& cluster, std::size_t daemons) {
  cluster.base_options = BoundedOptions();
  cluster.platform.Put("config/server/s1", "1");
  cluster.AddNodes(daemons, 3);
  cluster.Run(absl::Seconds(5));
  REQUIRE(cluster.Converged());
}

// Returns the time until all running daemons have a change that is made now.
absl::Duration TimeOfChange(Cluster& cluster, int value) {
  cluster.platform.Put("config/server/s1", std::to_string(value));
  return cluster.RunUntil([&] { return cluster.Converged(); },
                          absl::Seconds(30));
}

// The membership has not declared anybody dead yet: the peers of the daemon
// that is left are the same as before.
TEST_CASE("the only daemon left has a change in time") {
  for (std::uint64_t seed : kSeeds) {
    for (std::size_t left = 0; left < 9; ++left) {
      INFO("seed " << seed << ", daemon " << left << " is left");
      Cluster cluster(seed);
      Start(cluster, 9);
      for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (i != left) {
          cluster.Kill(cluster.node(i));
        }
      }
      for (int change = 0; change < 4; ++change) {
        CHECK(TimeOfChange(cluster, change) < kDeadline);
        cluster.Run(absl::Milliseconds(700));
      }
    }
  }
}

TEST_CASE("daemons have a change in time while all connections are silent") {
  for (std::uint64_t seed : kSeeds) {
    for (const std::size_t daemons : {4U, 26U}) {
      INFO("seed " << seed << ", " << daemons << " daemons");
      Cluster cluster(seed);
      Start(cluster, daemons);
      cluster.loss = 1;
      for (int change = 0; change < 4; ++change) {
        CHECK(TimeOfChange(cluster, change) < kDeadline);
        cluster.Run(absl::Milliseconds(700));
      }
    }
  }
}

// The watcher's own connection falls silent; the others are served.
TEST_CASE("a zone whose watcher is not answered has a change in time") {
  for (std::uint64_t seed : kSeeds) {
    INFO("seed " << seed);
    Cluster cluster(seed);
    Start(cluster, 9);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.node(i).relay->is_watcher()) {
        cluster.node(i).platform_mode = Cluster::PlatformMode::kSilent;
      }
    }
    for (int change = 0; change < 4; ++change) {
      CHECK(TimeOfChange(cluster, change) < kDeadline);
      cluster.Run(absl::Milliseconds(700));
    }
  }
}

// Watchers tell the others of their zone that nothing has changed. Otherwise
// each daemon would call the platform about once in two seconds.
TEST_CASE("only watchers call the platform while they confirm the state") {
  for (const std::size_t daemons : {26U, 100U, 300U}) {
    INFO(daemons << " daemons");
    Cluster cluster(1);
    Start(cluster, daemons);
    const absl::Time start = cluster.now();
    cluster.Run(absl::Seconds(20));
    // Three watchers, whose calls are answered after their wait.
    CHECK(cluster.CallsSince(start) <= 3 * (20 / 1 + 1));
  }
}

// While the platform serves nobody, all daemons lack a confirmation. The calls
// must not grow to what would keep it from recovering.
TEST_CASE("an outage of the platform does not make all daemons call often") {
  for (const std::size_t daemons : {26U, 100U, 300U}) {
    INFO(daemons << " daemons");
    Cluster cluster(1);
    Start(cluster, daemons);
    cluster.mode = Cluster::PlatformMode::kDown;
    cluster.Run(absl::Seconds(5));
    const absl::Time start = cluster.now();
    cluster.Run(absl::Seconds(20));
    // Each waits for half of the longest age at least.
    CHECK(static_cast<double>(cluster.CallsSince(start)) <
          static_cast<double>(daemons) * (20 / 0.9));
    cluster.mode = Cluster::PlatformMode::kUp;
    CHECK(TimeOfChange(cluster, 1) < kDeadline);
    cluster.Run(absl::Seconds(5));
    const absl::Time recovered = cluster.now();
    cluster.Run(absl::Seconds(20));
    CHECK(cluster.CallsSince(recovered) <= 3 * (20 / 1 + 1));
  }
}

// Prints a row of docs/CAPACITY.md: calls to the platform a second, by all
// daemons and for one feed.
TEST_CASE("calls to the platform with a bounded state age", "[.measure]") {
  for (const std::size_t daemons : {26U, 100U, 300U}) {
    Cluster cluster(1);
    Start(cluster, daemons);
    const auto rate = [&] {
      cluster.Run(absl::Seconds(10));
      const absl::Time start = cluster.now();
      cluster.Run(absl::Seconds(30));
      return static_cast<double>(cluster.CallsSince(start)) / 30;
    };
    const double quiet = rate();
    cluster.loss = 1;
    const double silent = rate();
    cluster.loss = 0;
    cluster.mode = Cluster::PlatformMode::kDown;
    const double refused = rate();
    cluster.mode = Cluster::PlatformMode::kSilent;
    const double unanswered = rate();
    WARN(daemons << " daemons, calls/s: quiet " << quiet
                 << ", all connections between daemons silent " << silent
                 << ", platform refuses " << refused << ", platform silent "
                 << unanswered);
  }
}

// gcw-balancer: two watchers a zone, and messages that do not carry an age, so
// that the age of the state is not bounded.
TEST_CASE("the only gcw-balancer left has a change in time",
          "[!mayfail][known-red]") {
  for (std::size_t left = 0; left < 9; ++left) {
    INFO("daemon " << left << " is left");
    Cluster cluster(1);
    cluster.base_options.watch_wait = absl::Seconds(1);
    cluster.base_options.backoff_max = absl::Seconds(2);
    cluster.platform.Put("config/server/s1", "1");
    cluster.AddNodes(9, 3);
    cluster.Run(absl::Seconds(5));
    REQUIRE(cluster.Converged());
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (i != left) {
        cluster.Kill(cluster.node(i));
      }
    }
    CHECK(TimeOfChange(cluster, 1) < kDeadline);
  }
}

TEST_CASE("a confirmation counts only for the state that it is about") {
  Options options = BoundedOptions();
  options.name = "b";
  options.zone = "z";
  const absl::Time start = absl::FromUnixSeconds(1'800'000'000);
  auto made = VersionedRelay::Make(options, start, 1);
  REQUIRE(made.ok());
  VersionedRelay& relay = *made.value();
  const Peer peer{"a", "z"};
  relay.SetPeers(std::span(&peer, 1), start);
  // Without a state there is nothing to confirm.
  (void)relay.OnMessage("a", Digest{}, absl::ZeroDuration(), start);
  CHECK(relay.confirmed() == absl::InfinitePast());
  Update all;
  all.full = true;
  all.to = 5;
  all.objects = {{"config/server/s1", 5, 5, "1", false}};
  (void)relay.OnMessage("a", all, absl::Seconds(1), start);
  CHECK(relay.confirmed() == start - absl::Seconds(1));
  // A later digest is about changes that this daemon lacks.
  const absl::Time later = start + absl::Seconds(2);
  (void)relay.OnMessage("a", Digest{6, 0}, absl::ZeroDuration(), later);
  CHECK(relay.confirmed() == start - absl::Seconds(1));
  (void)relay.OnMessage("a", relay.digest(), absl::InfiniteDuration(), later);
  CHECK(relay.confirmed() == start - absl::Seconds(1));
  (void)relay.OnMessage("a", relay.digest(), absl::ZeroDuration(), later);
  CHECK(relay.confirmed() == later);
}

}  // namespace
}  // namespace gcw::relay
