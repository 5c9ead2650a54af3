#include "src/direct_balancer/watcher_health.h"

#include <catch2/catch.hpp>

namespace gcw::direct_balancer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("a daemon reports itself unavailable while its calls keep failing") {
  WatcherHealth health;
  health.OnCallFailed(direct::Feed::kServers, kStart);
  CHECK_FALSE(health.ShouldReportUnavailable(kStart + absl::Milliseconds(500)));
  CHECK(health.ShouldReportUnavailable(kStart + absl::Milliseconds(700)));
  CHECK_FALSE(health.ShouldReportUnavailable(kStart + absl::Milliseconds(800)));
  CHECK(health.ShouldReportUnavailable(kStart + absl::Milliseconds(1800)));
  health.OnCallAnswered(direct::Feed::kServers);
  CHECK_FALSE(health.ShouldReportUnavailable(kStart + absl::Seconds(9)));
}

// A daemon that does not watch calls seldom; an old failure of such a call must
// not make it report itself for good.
TEST_CASE("failed calls of a daemon that does not watch are not reported") {
  WatcherHealth health;
  health.OnCallFailed(direct::Feed::kServers, kStart);
  health.OnNotWatching();
  CHECK_FALSE(health.ShouldReportUnavailable(kStart + absl::Seconds(9)));
}

TEST_CASE("a daemon that reported itself unavailable cannot watch for 3 s") {
  WatcherHealth health;
  CHECK(health.CanWatch("b1", kStart));
  CHECK(health.OnUnavailableReport("b1", kStart));
  CHECK_FALSE(health.OnUnavailableReport("b1", kStart + absl::Seconds(1)));
  CHECK_FALSE(health.CanWatch("b1", kStart + absl::Seconds(2)));
  CHECK_FALSE(health.OnTick(kStart + absl::Seconds(2)));
  CHECK(health.CanWatch("b1", kStart + absl::Seconds(4)));
  CHECK(health.OnTick(kStart + absl::Seconds(4)));
}

}  // namespace
}  // namespace gcw::direct_balancer
