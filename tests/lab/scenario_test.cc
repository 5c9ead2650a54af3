#include "src/lab/scenario.h"

#include <fmt/format.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/lab/storm.h"

namespace gcw::lab {
namespace {

std::vector<std::string> InvalidFields(std::string_view text) {
  const auto parsed = ParseScenario(text, "");
  std::vector<std::string> fields;
  if (const auto* errors = std::get_if<ScenarioErrors>(&parsed)) {
    for (const Error& error : *errors) {
      fields.push_back(error.field);
    }
  }
  return fields;
}

TEST_CASE(
    "an invalid scenario is rejected with the path of each invalid field") {
  struct Case {
    const char* text;
    const char* field;
  };
  const Case cases[] = {
      {R"({"bases":["valtellina"]})", "duration_s"},
      {R"({"bases":["tyrol"],"duration_s":5})", "bases[0]"},
      {R"({"bases":["valtellina"],"duration_s":5,"colour":1})", "colour"},
      {R"({"bases":["valtellina"],"duration_s":"5"})", "duration_s"},
      {R"({"bases":["valtellina"],"duration_s":5,"load":{"flows":1}})",
       "load.flows"},
      {R"({"bases":["valtellina"],"duration_s":5,
           "load":{"cancel_share":1.5}})",
       "load.cancel_share"},
      {R"({"bases":["valtellina"],"duration_s":5,
           "events":[{"at":1,"do":"explode"}]})",
       "events[0].do"},
      {R"({"bases":["valtellina"],"duration_s":5,
           "events":[{"at":1,"do":"drain","servers":["main-99"]}]})",
       "events[0].servers[0]"},
      {R"({"bases":["valtellina"],"duration_s":5,
           "events":[{"at":1,"do":"drain","servers":[],"daemons":[]}]})",
       "events[0].daemons"},
      {R"({"bases":["valtellina"],"duration_s":5,
           "bounds":{"at_most":{"flows.broken":"none"}}})",
       "bounds.at_most.flows.broken"},
  };
  for (const Case& wrong : cases) {
    INFO(wrong.text);
    const auto fields = InvalidFields(wrong.text);
    REQUIRE(fields.size() == 1);
    CHECK(fields[0] == wrong.field);
  }
  CHECK_FALSE(InvalidFields("{").empty());
  CHECK_FALSE(InvalidFields("[]").empty());
}

TEST_CASE("role names stand for the servers, zones and services of each base") {
  constexpr std::string_view kText = R"({"bases":["valtellina","scot-east"],
    "duration_s":5,"events":[
      {"at":2,"do":"zone_out","zones":["zone-2"]},
      {"at":1,"do":"drain","servers":["main-1","small-2"]}]})";
  for (const char* base : {"valtellina", "scot-east"}) {
    const auto parsed = ParseScenario(kText, base);
    REQUIRE(std::holds_alternative<Scenario>(parsed));
    const Scenario& scenario = std::get<Scenario>(parsed);
    REQUIRE(scenario.events.size() == 2);
    CHECK(scenario.events[0].kind == EventKind::kDrain);  // Sorted by time.
    CHECK(scenario.events[0].servers == std::vector<ServerIndex>{0, 15});
    CHECK(scenario.events[1].zones == std::vector<ZoneIndex>{1});
  }
}

TEST_CASE("a scenario's bounds are added to the default bounds") {
  const auto parsed = ParseScenario(R"({"bases":["valtellina"],"duration_s":5,
    "bounds":{"at_most":{"flows.refused":3,"imbalance.small":2},
              "at_least":{"service.tayside":0.9}}})",
                                    "");
  const Scenario& scenario = std::get<Scenario>(parsed);
  const auto find = [&](const char* total) {
    return std::find_if(scenario.bounds.begin(), scenario.bounds.end(),
                        [&](const Bound& b) { return b.total == total; });
  };
  CHECK(find("flows.broken")->value == 0);
  CHECK(find("flows.refused")->value == 3);
  CHECK(find("service.tayside")->at_least);
  CHECK(find("imbalance.archive")->value == 2);
}

TEST_CASE("every scenario of the repository can be parsed") {
  int count = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           std::string(GCW_SOURCE_DIR) + "/scenarios")) {
    if (!entry.is_regular_file()) {
      continue;
    }
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = ParseScenario(text.str(), "");
    INFO(entry.path().string());
    if (const auto* errors = std::get_if<ScenarioErrors>(&parsed)) {
      FAIL(ToString(errors->front()));
    }
    ++count;
  }
  CHECK(count > 0);
}

TEST_CASE("a storm depends only on its seed and keeps its limits") {
  const Topology topology = MakeTopology("scot-east", 9, 4);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const absl::Duration duration = absl::Seconds(25);
    const auto storm = DrawStorm(topology, duration, 20, seed);
    const auto again = DrawStorm(topology, duration, 20, seed);
    REQUIRE(storm.size() == again.size());
    std::vector<absl::Duration> losses;
    int zones_out = 0;
    for (std::size_t i = 0; i < storm.size(); ++i) {
      CHECK(storm[i].at == again[i].at);
      CHECK(storm[i].at < duration);
      const EventKind kind = storm[i].kind;
      if (kind == EventKind::kKill || kind == EventKind::kPause ||
          kind == EventKind::kStop) {
        losses.push_back(storm[i].at);
      }
      zones_out += kind == EventKind::kZoneOut ? 1 : 0;
    }
    for (std::size_t i = 1; i < losses.size(); ++i) {
      CHECK(losses[i] - losses[i - 1] >= absl::Seconds(6));
    }
    CHECK(zones_out <= 1);
  }
}

}  // namespace
}  // namespace gcw::lab
