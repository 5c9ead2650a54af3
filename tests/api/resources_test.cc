#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "tests/api/api_fixture.h"

namespace gcw::api {
namespace {

using fake_platform::Outage;

int Number(ResultCode code) {
  return static_cast<int>(code);
}

TEST_CASE(
    "a service is created, read, changed and deleted with version checks") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const json spec =
      ApiFixture::ServiceSpec("dispatch", "valtellina", "10.0.0.1:80");
  const Reply created = valtellina.Post("/v1/services", spec);
  REQUIRE(created.status == 201);
  CHECK(created.etag == fmt::format("\"{}\"", created.version()));
  CHECK(valtellina.Post("/v1/services", spec).status == 409);

  const Reply read = valtellina.Get("/v1/services/dispatch");
  CHECK(read.status == 200);
  CHECK(read.version() == created.version());
  CHECK(read.body.at("spec").at("limits").at("queue") == 200);
  CHECK(valtellina.Get("/v1/services").body.at("items").size() == 1);

  json changed = read.body.at("spec");
  changed["limits"]["queue"] = 7;
  const Reply replaced =
      valtellina.Put("/v1/services/dispatch", changed, read.version());
  REQUIRE(replaced.status == 200);
  CHECK(replaced.version() > read.version());
  const Reply stale =
      valtellina.Put("/v1/services/dispatch", changed, read.version());
  CHECK(stale.status == 412);
  CHECK(stale.code() == Number(ResultCode::kVersionConflict));

  const Reply patched =
      valtellina.Patch("/v1/services/dispatch", {{"kind", "flow"}});
  REQUIRE(patched.status == 200);
  CHECK(patched.body.at("spec").at("limits").at("queue") == 7);
  CHECK(patched.body.at("spec").at("kind") == "flow");

  CHECK(valtellina.Call("DELETE", "/v1/services/dispatch", "", {}).status ==
        428);
  CHECK(valtellina.Delete("/v1/services/dispatch", read.version()).status ==
        412);
  CHECK(valtellina.Delete("/v1/services/dispatch", patched.version()).status ==
        200);
  CHECK(valtellina.Get("/v1/services/dispatch").status == 404);
  CHECK(fixture.platform->List("claim/10.0.0.1").objects.empty());
}

TEST_CASE("a dry run checks everything and writes nothing") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const Version before = fixture.platform->revision();
  json spec = ApiFixture::ServiceSpec("dispatch", "valtellina", "10.0.0.1:80");
  const Reply good = valtellina.Post("/v1/services?dry_run=1", spec);
  CHECK(good.status == 200);
  CHECK(good.body.at("before").is_null());
  CHECK(good.body.at("after").at("name") == "dispatch");
  spec["servers"] = {{{"server", "nowhere"}}};
  const Reply bad = valtellina.Post("/v1/services?dry_run=1", spec);
  CHECK(bad.status == 422);
  CHECK(bad.field() == "servers[0].server");
  CHECK(fixture.platform->revision() == before);
}

TEST_CASE("the response names every wrong field") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const Reply reply =
      valtellina.Post("/v1/services", {{"name", "a"},
                                       {"organisation", "Valtellina"},
                                       {"addresses", {"x"}},
                                       {"color", 1}});
  CHECK(reply.status == 400);
  REQUIRE(reply.body.at("errors").size() == 3);
  CHECK(reply.body["errors"][0]["field"] == "organisation");
  CHECK(reply.body["errors"][1]["field"] == "addresses[0]");
  CHECK(reply.body["errors"][2]["field"] == "color");
  CHECK_FALSE(reply.body["error"]["what_to_do"].get<std::string>().empty());
}

TEST_CASE("an organisation cannot read or change resources of another") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  Operator tayside = fixture.MakeOperator(kTaysideToken);
  const Reply service = valtellina.Post(
      "/v1/services",
      ApiFixture::ServiceSpec("dispatch", "valtellina", "10.0.0.1:80"));
  REQUIRE(service.status == 201);
  const Reply server = valtellina.Post(
      "/v1/servers", ApiFixture::ServerSpec("van", "valtellina", 5));
  REQUIRE(server.status == 201);

  // Resources of the other organisation are not visible.
  CHECK(tayside.Get("/v1/services/dispatch").status == 404);
  CHECK(tayside.Get("/v1/services").body.at("items").empty());
  CHECK(tayside.Get("/v1/servers/van").status == 404);
  CHECK(tayside.Get("/v1/servers").body.at("items").size() == 1);
  CHECK(tayside.Get("/v1/organisations").body.at("items").size() == 1);

  // Resources of the other organisation and of the pool cannot be changed.
  const Version before = fixture.platform->revision();
  const std::vector<Reply> refused = {
      tayside.Patch("/v1/services/dispatch", {{"kind", "flow"}}),
      tayside.Delete("/v1/services/dispatch", service.version()),
      tayside.Put("/v1/services/dispatch",
                  ApiFixture::ServiceSpec("dispatch", "tayside", "10.0.0.1:80"),
                  service.version()),
      tayside.Post("/v1/services",
                   ApiFixture::ServiceSpec("new", "valtellina", "10.0.0.2:80")),
      tayside.Post("/v1/services", ApiFixture::ServiceSpec(
                                       "dispatch", "tayside", "10.0.0.2:80")),
      tayside.Patch("/v1/servers/van", {{"state", "out"}}),
      tayside.Patch("/v1/servers/shared", {{"state", "out"}}),
      tayside.Post("/v1/servers", ApiFixture::ServerSpec("more", "", 9)),
      tayside.Patch("/v1/zones/tirano", {{"state", "out"}}),
      tayside.Patch("/v1/organisations/valtellina", {{"token_sha256", ""}}),
      tayside.Post("/v1/organisations", {{"name", "third"}}),
  };
  for (std::size_t i = 0; i < refused.size(); ++i) {
    INFO("call " << i << ": " << refused[i].body.dump());
    CHECK(refused[i].status == 403);
    CHECK(refused[i].code() == Number(ResultCode::kForbidden));
  }
  json spec = ApiFixture::ServiceSpec("desk", "tayside", "10.0.0.3:80");
  spec["servers"] = {{{"server", "van"}}};
  CHECK(tayside.Post("/v1/services", spec).status == 403);
  spec = ApiFixture::ServiceSpec("desk", "tayside", "10.0.0.1:80");
  const Reply claimed = tayside.Post("/v1/services", spec);
  CHECK(claimed.status == 409);
  CHECK(claimed.code() == Number(ResultCode::kAddressClaimed));
  CHECK(fixture.platform->revision() == before);

  // The pool can change availability zones and shared backend servers.
  Operator pool = fixture.MakeOperator(kPoolToken);
  CHECK(pool.Patch("/v1/zones/tirano", {{"state", "out"}}).status == 200);
  CHECK(pool.Patch("/v1/servers/shared", {{"state", "draining"}}).status ==
        200);
}

TEST_CASE(
    "only a valid token is accepted, and an organisation can replace its own") {
  ApiFixture fixture;
  for (const char* token :
       {"", "valtellina", "valtellina.", "valtellina.wrong", "pool.wrong",
        "nobody.secret", "tayside.secret-of-crews", "."}) {
    INFO(token);
    Operator guesser = fixture.MakeOperator(token);
    const Reply reply = guesser.Get("/v1/zones");
    CHECK(reply.status == 401);
    CHECK(reply.code() == Number(ResultCode::kUnauthenticated));
  }
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const std::string next = "valtellina.next-secret";
  CHECK(valtellina
            .Patch("/v1/organisations/valtellina", {{"token_sha256", "plain"}})
            .status == 400);
  CHECK(valtellina
            .Patch("/v1/organisations/valtellina",
                   {{"token_sha256", HashOfToken(next)}})
            .status == 200);
  CHECK(valtellina.Get("/v1/zones").status == 401);
  Operator renewed = fixture.MakeOperator(next);
  CHECK(renewed.Get("/v1/zones").status == 200);
}

TEST_CASE("a read of one resource makes no list call to the platform") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const auto lists = [&] {
    return fixture.platform->TotalCalls(fake_platform::CallKind::kList);
  };
  const std::uint64_t before = lists();
  CHECK(valtellina.Get("/v1/zones/tirano").status == 200);
  CHECK(valtellina.Get("/v1/organisations/tayside").status == 404);
  CHECK(lists() == before);
}

TEST_CASE(
    "a referenced resource cannot be deleted until its references are gone") {
  ApiFixture fixture;
  Operator pool = fixture.MakeOperator(kPoolToken);
  const Version zone = pool.Get("/v1/zones/tirano").version();
  const Reply refused = pool.Delete("/v1/zones/tirano", zone);
  CHECK(refused.status == 409);
  CHECK(refused.code() == Number(ResultCode::kStillReferenced));
  const Version server = pool.Get("/v1/servers/shared").version();
  CHECK(pool.Delete("/v1/servers/shared", server).status == 200);
  CHECK(pool.Delete("/v1/zones/tirano", zone).status == 200);
}

TEST_CASE(
    "an outage of the platform is reported as unavailable until it ends") {
  ApiFixture fixture;
  Operator pool = fixture.MakeOperator(kPoolToken);
  fixture.platform->SetOutage(Outage::kRefusing);
  const Reply down = pool.Get("/v1/zones");
  CHECK(down.status == 503);
  CHECK(down.code() == Number(ResultCode::kPlatformUnavailable));
  fixture.platform->SetOutage(Outage::kNone);
  CHECK(pool.Get("/v1/zones").status == 200);
}

TEST_CASE("a repeated operation id is recognized, also after later writes") {
  ApiFixture fixture;
  Operator pool = fixture.MakeOperator(kPoolToken);
  const Version base = pool.Get("/v1/zones/tirano").version();
  const httplib::Headers headers = {{"If-Match", fmt::to_string(base)},
                                    {"Operation-Id", "take-out-1"}};
  const Reply first =
      pool.Patch("/v1/zones/tirano", {{"state", "out"}}, headers);
  REQUIRE(first.status == 200);
  const Reply again =
      pool.Patch("/v1/zones/tirano", {{"state", "out"}}, headers);
  CHECK(again.status == 200);
  CHECK(again.version() == first.version());
  CHECK(again.body.at("recognized") == true);
  CHECK(pool.Patch("/v1/zones/tirano", {{"state", "in"}}).status == 200);
  const Reply late =
      pool.Patch("/v1/zones/tirano", {{"state", "out"}}, headers);
  CHECK(late.status == 200);
  CHECK(late.version() == first.version());
  CHECK(late.body.at("superseded") == true);
  // The repeated request has not undone the later write.
  CHECK(pool.Get("/v1/zones/tirano").body.at("spec").at("state") == "in");
  const Reply other =
      pool.Patch("/v1/zones/tirano", {{"state", "out"}},
                 {{"If-Match", fmt::to_string(base)}, {"Operation-Id", "x"}});
  CHECK(other.status == 412);
}

TEST_CASE("a repeated patch without If-Match is applied only once") {
  ApiFixture fixture;
  Operator pool = fixture.MakeOperator(kPoolToken);
  const Reply read = pool.Get("/v1/servers/shared");
  const httplib::Headers headers = {
      {"Operation-Id", "drain-1"},
      {"Operation-After", fmt::to_string(read.version())},
      {"If-Created", fmt::to_string(read.body.at("created").get<Version>())}};
  const json drain = {{"state", "draining"}};
  CHECK(pool.Patch("/v1/servers/shared", {{"slots", 4}}).status == 200);
  const Reply first = pool.Patch("/v1/servers/shared", drain, headers);
  REQUIRE(first.status == 200);
  CHECK(first.body.at("spec").at("slots") == 4);
  CHECK(pool.Patch("/v1/servers/shared", {{"state", "in"}}).status == 200);
  const Reply again = pool.Patch("/v1/servers/shared", drain, headers);
  CHECK(again.status == 200);
  CHECK(again.version() == first.version());
  CHECK(pool.Get("/v1/servers/shared").body.at("spec").at("state") == "in");
}

TEST_CASE("a patch is refused if its If-Spec or If-Created no longer holds") {
  ApiFixture fixture;
  Operator pool = fixture.MakeOperator(kPoolToken);
  const Reply read = pool.Get("/v1/servers/shared");
  const std::string created =
      fmt::to_string(read.body.at("created").get<Version>());
  CHECK(pool.Patch("/v1/servers/shared", {{"state", "out"}}).status == 200);
  const Reply other_state =
      pool.Patch("/v1/servers/shared", {{"state", "draining"}},
                 {{"If-Created", created}, {"If-Spec", R"({"state":"in"})"}});
  CHECK(other_state.status == 412);
  CHECK(other_state.field() == "If-Spec");
  const Version version = pool.Get("/v1/servers/shared").version();
  CHECK(pool.Delete("/v1/servers/shared", version).status == 200);
  CHECK(pool.Post("/v1/servers", ApiFixture::ServerSpec("shared", "", 1))
            .status == 201);
  const Reply other_server = pool.Patch(
      "/v1/servers/shared", {{"state", "out"}}, {{"If-Created", created}});
  CHECK(other_server.status == 412);
  CHECK(other_server.field() == "If-Created");
  CHECK(
      pool.Patch("/v1/servers/shared", {{"state", "out"}}, {{"If-Spec", "[1]"}})
          .status == 400);
}

}  // namespace
}  // namespace gcw::api
