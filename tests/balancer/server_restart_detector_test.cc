#include "src/balancer/server_restart_detector.h"

#include <catch2/catch.hpp>

namespace gcw::balancer {
namespace {

constexpr Endpoint kServer{0x0a000001, 9000};
constexpr Endpoint kOtherServer{0x0a000002, 9000};
constexpr Endpoint kCaller1{0x0b000001, 1};
constexpr Endpoint kCaller2{0x0b000002, 1};
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE(
    "resets to two callers within a second are reported as a restart once") {
  ServerRestartDetector detector;
  CHECK_FALSE(detector.OnReset(kServer, kCaller1, kStart));
  CHECK(detector.OnReset(kServer, kCaller2, kStart + absl::Milliseconds(500)));
  CHECK_FALSE(
      detector.OnReset(kServer, kCaller1, kStart + absl::Milliseconds(600)));
}

TEST_CASE(
    "resets of one caller, of two servers or far apart are not a restart") {
  ServerRestartDetector detector;
  CHECK_FALSE(detector.OnReset(kServer, kCaller1, kStart));
  CHECK_FALSE(
      detector.OnReset(kServer, kCaller1, kStart + absl::Milliseconds(1)));
  CHECK_FALSE(
      detector.OnReset(kOtherServer, kCaller2, kStart + absl::Milliseconds(2)));
  CHECK_FALSE(detector.OnReset(kServer, kCaller2, kStart + absl::Seconds(3)));
}

TEST_CASE("a second restart of the same server is reported") {
  ServerRestartDetector detector;
  CHECK_FALSE(detector.OnReset(kServer, kCaller1, kStart));
  CHECK(detector.OnReset(kServer, kCaller2, kStart));
  const absl::Time later = kStart + absl::Seconds(10);
  CHECK_FALSE(detector.OnReset(kServer, kCaller1, later));
  CHECK(detector.OnReset(kServer, kCaller2, later));
}

}  // namespace
}  // namespace gcw::balancer
