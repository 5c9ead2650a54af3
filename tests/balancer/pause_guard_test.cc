#include "gcw/kernel/pause_guard.h"

#include <catch2/catch.hpp>

namespace gcw::balancer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("packets read right after a pause are stale, later packets are not") {
  kernel::PauseGuard guard;
  guard.OnActivity(kStart);
  CHECK_FALSE(guard.stale(kStart));
  guard.OnActivity(kStart + absl::Milliseconds(50));
  CHECK_FALSE(guard.stale(kStart + absl::Milliseconds(50)));
  const absl::Time resumed = kStart + absl::Seconds(4);
  guard.OnActivity(resumed);
  CHECK(guard.stale(resumed));
  guard.OnActivity(resumed + absl::Milliseconds(200));
  CHECK(guard.stale(resumed + absl::Milliseconds(200)));
  CHECK_FALSE(guard.stale(resumed + absl::Milliseconds(301)));
}

}  // namespace
}  // namespace gcw::balancer
