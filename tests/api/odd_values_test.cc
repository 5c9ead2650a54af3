#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/api/api_fixture.h"
#include "tests/support/odd_values.h"

namespace gcw::api {
namespace {

// One value of another writer among the resources ended the API (deep nesting)
// or made every call fail (no JSON).
TEST_CASE("odd values in the store leave the resources readable") {
  ApiFixture fixture;
  int number = 0;
  for (const test::OddValue& odd : test::OddValues()) {
    for (const char* kind : {"zone", "server", "service", "organisation"}) {
      fixture.platform->PutRaw(fmt::format("config/{}/odd-{}", kind, number),
                               odd.text);
    }
    fixture.platform->PutRaw(fmt::format("status/zone/odd-{}", number),
                             odd.text);
    ++number;
  }
  Operator pool = fixture.MakeOperator(kPoolToken);
  CHECK(pool.Get("/v1/zones/tirano").status == 200);
  const Reply servers = pool.Get("/v1/servers");
  CHECK(servers.status == 200);
  CHECK(servers.body.dump().find("shared") != std::string::npos);
  CHECK(pool.Get("/v1/status").status == 200);
  CHECK(pool.Post("/v1/zones", {{"name", "morbegno"}}).status == 201);
  CHECK(pool.Get("/v1/zones/morbegno").status == 200);
}

}  // namespace
}  // namespace gcw::api
