#include "src/balancer/reset_watch.h"

#include <catch2/catch.hpp>

namespace gcw::balancer {
namespace {

constexpr Endpoint kServer{0x0a000001, 9000};
constexpr Endpoint kOther{0x0a000002, 9000};
constexpr Endpoint kAnna{0x0b000001, 1};
constexpr Endpoint kBert{0x0b000002, 1};
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("resets of two callers within a second show a restart, once") {
  ResetWatch watch;
  CHECK_FALSE(watch.OnReset(kServer, kAnna, kStart));
  CHECK(watch.OnReset(kServer, kBert, kStart + absl::Milliseconds(500)));
  CHECK_FALSE(watch.OnReset(kServer, kAnna, kStart + absl::Milliseconds(600)));
}

TEST_CASE("one caller, two servers or a long gap show nothing") {
  ResetWatch watch;
  CHECK_FALSE(watch.OnReset(kServer, kAnna, kStart));
  CHECK_FALSE(watch.OnReset(kServer, kAnna, kStart + absl::Milliseconds(1)));
  CHECK_FALSE(watch.OnReset(kOther, kBert, kStart + absl::Milliseconds(2)));
  CHECK_FALSE(watch.OnReset(kServer, kBert, kStart + absl::Seconds(3)));
}

TEST_CASE("a second restart is noticed again") {
  ResetWatch watch;
  CHECK_FALSE(watch.OnReset(kServer, kAnna, kStart));
  CHECK(watch.OnReset(kServer, kBert, kStart));
  const absl::Time later = kStart + absl::Seconds(10);
  CHECK_FALSE(watch.OnReset(kServer, kAnna, later));
  CHECK(watch.OnReset(kServer, kBert, later));
}

}  // namespace
}  // namespace gcw::balancer
