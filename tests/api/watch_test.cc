#include <catch2/catch.hpp>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "tests/api/api_fixture.h"

namespace gcw::api {
namespace {

// Reads lines of a watch until `is_last` returns true for one, then closes the
// connection.
std::vector<json> ReadWatch(const ApiFixture& fixture,
                            const std::string& path,
                            const std::function<bool(const json&)>& is_last,
                            const char* token = kValtellinaToken) {
  httplib::Client client(IpToString(kLoopback), fixture.api->endpoint().port);
  client.set_read_timeout(10);
  std::vector<json> lines;
  std::string rest;
  client.Get(path, {{"Authorization", std::string("Bearer ") + token}},
             [&](const char* data, std::size_t size) {
               rest.append(data, size);
               std::size_t end = 0;
               while ((end = rest.find('\n')) != std::string::npos) {
                 lines.push_back(json::parse(rest.substr(0, end)));
                 rest.erase(0, end + 1);
                 if (is_last(lines.back())) {
                   return false;
                 }
               }
               return true;
             });
  return lines;
}

bool IsBookmark(const json& line) {
  return line.at("type") == "bookmark";
}

TEST_CASE("a watch sends all resources and resumes after a lost connection") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const auto create = [&](const std::string& name, int host) {
    return valtellina
        .Post("/v1/services",
              ApiFixture::ServiceSpec(name, "valtellina",
                                      fmt::format("10.0.0.{}:80", host)))
        .version();
  };
  create("a", 1);
  const std::vector<json> first =
      ReadWatch(fixture, "/v1/services?watch=1", IsBookmark);
  REQUIRE(first.size() == 2);
  CHECK(first[0].at("name") == "a");
  const Version position = first[1].at("version");

  // The resumed watch reports changes that were made while no watch was open.
  const Version created = create("b", 2);
  const Version patched =
      valtellina.Patch("/v1/services/a", {{"kind", "flow"}}).version();
  const Version deleted =
      valtellina.Delete("/v1/services/b", created).version();
  const std::vector<json> second =
      ReadWatch(fixture, fmt::format("/v1/services?watch=1&after={}", position),
                IsBookmark);
  REQUIRE(second.size() == 4);
  CHECK(second[0].at("version") == created);
  CHECK(second[1].at("version") == patched);
  CHECK(second[1].at("spec").at("kind") == "flow");
  CHECK(second[2].at("type") == "deleted");
  CHECK(second[2].at("version") == deleted);
  CHECK(second[3].at("version").get<Version>() >= deleted);
}

TEST_CASE("a watch does not show resources of another organisation") {
  ApiFixture fixture;
  Operator tayside = fixture.MakeOperator(kTaysideToken);
  REQUIRE(tayside
              .Post("/v1/services",
                    ApiFixture::ServiceSpec("desk", "tayside", "10.0.0.1:80"))
              .status == 201);
  const std::vector<json> lines =
      ReadWatch(fixture, "/v1/services?watch=1", IsBookmark);
  CHECK(lines.size() == 1);
  const std::vector<json> own =
      ReadWatch(fixture, "/v1/services?watch=1", IsBookmark, kTaysideToken);
  CHECK(own.size() == 2);
}

TEST_CASE("a watch from a compacted version sends a compacted line and ends") {
  ApiFixture fixture;
  fixture.platform->Compact();
  const std::vector<json> lines = ReadWatch(
      fixture, "/v1/zones?watch=1&after=1", [](const json&) { return false; });
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].at("type") == "compacted");
}

TEST_CASE("a watch continues after an outage of the platform") {
  ApiFixture fixture;
  bool failed = false;
  const std::vector<json> lines =
      ReadWatch(fixture, "/v1/zones?watch=1", [&](const json& line) {
        if (IsBookmark(line) && !failed) {
          fixture.platform->SetOutage(fake_platform::Outage::kRefusing);
        }
        if (line.at("type") == "error") {
          failed = true;
          fixture.platform->SetOutage(fake_platform::Outage::kNone);
          fixture.platform
              ->Put("config/zone/sondrio",
                    R"({"op":"x","spec":{"name":"sondrio"}})", 0)
              .ok();
        }
        return line.at("type") == "put" && line.at("name") == "sondrio";
      });
  CHECK(failed);
  CHECK(lines.back().at("name") == "sondrio");
}

TEST_CASE("invalid watch requests are refused with an error response") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  CHECK(valtellina.Get("/v1/zones?watch=1&after=x").status == 400);
  CHECK(valtellina.Get("/v1/zones/tirano?watch=1").status == 400);
  CHECK(valtellina.Get("/v1/nothing?watch=1").status == 404);
  Operator nobody = fixture.MakeOperator("valtellina.wrong");
  CHECK(nobody.Get("/v1/zones?watch=1").status == 401);
}

std::string ZoneStatus(absl::Time at, const std::vector<Version>& revisions) {
  json daemons = json::array();
  for (Version revision : revisions) {
    daemons.push_back({{"name", "entry"}, {"revision", revision}});
  }
  return json({{"zone", "tirano"},
               {"at", absl::ToUnixMillis(at)},
               {"daemons", daemons},
               {"servers",
                {{{"name", "shared"}, {"state", "in"}},
                 {{"name", "foreign"}, {"state", "in"}}}}})
      .dump();
}

TEST_CASE("the status shows the version in force and the unreachable zones") {
  ApiFixture fixture;
  Operator valtellina = fixture.MakeOperator(kValtellinaToken);
  const json none = valtellina.Get("/v1/status").body;
  CHECK(none.at("unreachable") == json({"tirano"}));
  CHECK(none.at("in_force_everywhere").is_null());

  const auto set = [&](const std::string& value) {
    const auto old = fixture.platform->Get("status/zone/tirano");
    const Version version = old.ok() ? old.value().version : 0;
    REQUIRE(fixture.platform->Put("status/zone/tirano", value, version).ok());
    return valtellina.Get("/v1/status").body;
  };
  const Version latest = valtellina.Get("/v1/status").body.at("revision");
  const json fresh = set(ZoneStatus(absl::Now(), {7, 5, 9}));
  // Writes of the status do not change the configuration's revision.
  CHECK(fresh.at("revision") == latest);
  CHECK(fresh.at("unreachable").empty());
  CHECK(fresh.at("in_force_everywhere") == 5);
  // Backend servers that are unknown or of another organisation are not shown.
  CHECK(fresh.at("zones")[0].at("servers").size() == 1);

  const json old = set(ZoneStatus(absl::Now() - absl::Seconds(60), {7}));
  CHECK(old.at("unreachable") == json({"tirano"}));
  CHECK(old.at("zones")[0].at("age_ms") >= 60'000);
  CHECK(old.at("in_force_everywhere").is_null());

  for (const char* broken : {"7", "{}", R"({"at":"x"})", R"({"at":-9e300})",
                             R"({"at":1,"daemons":7,"servers":"x"})"}) {
    INFO(broken);
    CHECK(set(broken).at("unreachable") == json({"tirano"}));
  }
  const std::string text_time =
      absl::FormatTime(absl::RFC3339_sec, absl::Now(), absl::UTCTimeZone());
  const json as_written = {{"at", text_time}, {"daemons", {{{"revision", 3}}}}};
  CHECK(set(json({{"fence", 8}, {"op", "x"}, {"data", as_written}}).dump())
            .at("in_force_everywhere") == 3);
  const std::string no_revision =
      json({{"at", absl::ToUnixMillis(absl::Now())}, {"daemons", {7, "x"}}})
          .dump();
  CHECK(set(no_revision).at("in_force_everywhere") == 0);
}

}  // namespace
}  // namespace gcw::api
