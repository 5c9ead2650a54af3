#include "src/direct_balancer/watcher_health.h"

#include <catch2/catch.hpp>

namespace gcw::direct_balancer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("a daemon says that it is not served once calls fail for a while") {
  WatcherHealth duty;
  duty.OnCallFailed(direct::Feed::kServers, kStart);
  CHECK_FALSE(duty.ShouldReportUnavailable(kStart + absl::Milliseconds(500)));
  CHECK(duty.ShouldReportUnavailable(kStart + absl::Milliseconds(700)));
  CHECK_FALSE(duty.ShouldReportUnavailable(kStart + absl::Milliseconds(800)));
  CHECK(duty.ShouldReportUnavailable(kStart + absl::Milliseconds(1800)));
  duty.OnCallAnswered(direct::Feed::kServers);
  CHECK_FALSE(duty.ShouldReportUnavailable(kStart + absl::Seconds(9)));
}

TEST_CASE("a daemon that said so does not watch until it stops saying it") {
  WatcherHealth duty;
  CHECK(duty.CanWatch("b1", kStart));
  CHECK(duty.OnUnavailableReport("b1", kStart));
  CHECK_FALSE(duty.OnUnavailableReport("b1", kStart + absl::Seconds(1)));
  CHECK_FALSE(duty.CanWatch("b1", kStart + absl::Seconds(2)));
  CHECK_FALSE(duty.OnTick(kStart + absl::Seconds(2)));
  CHECK(duty.CanWatch("b1", kStart + absl::Seconds(4)));
  CHECK(duty.OnTick(kStart + absl::Seconds(4)));
}

}  // namespace
}  // namespace gcw::direct_balancer
