#include "tests/support/idle_connections.h"

#include <catch2/catch.hpp>

#include "absl/time/clock.h"
#include "tests/api/api_fixture.h"

namespace gcw::api {
namespace {

// Idle connections held a thread of the API each, and calls waited behind them.
TEST_CASE("idle connections delay neither a call nor the stop of the API") {
  ApiFixture fixture;
  IdleConnections idle;
  idle.Open(fixture.api->endpoint(), 1000);
  Operator pool = fixture.MakeOperator(kPoolToken);
  const absl::Time called = absl::Now();
  CHECK(pool.Get("/v1/zones").status == 200);
  CHECK(absl::Now() - called < absl::Seconds(1));
  idle.Open(fixture.api->endpoint(), 1000);
  const absl::Time stopped = absl::Now();
  fixture.api.reset();
  CHECK(absl::Now() - stopped < absl::Seconds(3));
}

}  // namespace
}  // namespace gcw::api
