#include "src/direct_balancer/settings.h"

#include <catch2/catch.hpp>

namespace gcw::direct_balancer {
namespace {

constexpr char kValid[] =
    R"({"name":"front-a-1","zone":"a","packets":"10.1.0.10:8172",)"
    R"("ready":"10.1.0.10:8167","platform":"10.200.1.7:8169",)"
    R"("members_port":7720,"seeds":["10.1.0.10:8166"],"metrics_port":9464,)"
    R"("max_flow_s":60,"stop_limit_s":6,"log_level":"warning"})";

TEST_CASE("valid settings are parsed") {
  const auto read = ParseSettings(kValid);
  const auto* settings = std::get_if<Settings>(&read);
  REQUIRE(settings != nullptr);
  CHECK(settings->name == "front-a-1");
  CHECK(ToString(settings->packets) == "10.1.0.10:8172");
  CHECK(ToString(settings->metrics) == "10.1.0.10:9464");
  CHECK(settings->members_port == 7720);
  CHECK(settings->seeds.size() == 1);
  CHECK(settings->log_level == LogLevel::kWarning);
}

// The platform states its bounds as whole numbers or fractions. A daemon whose
// settings had a fraction did not start.
TEST_CASE("times may have fractions") {
  std::string text = kValid;
  text.replace(text.find(":60,"), 4, ":60.5,");
  text.replace(text.find(":6,"), 3, ":6.25,");
  const auto read = ParseSettings(text);
  const auto* settings = std::get_if<Settings>(&read);
  REQUIRE(settings != nullptr);
  CHECK(settings->max_flow_age == absl::Milliseconds(60'500));
  CHECK(settings->stop_limit == absl::Milliseconds(6'250));
}

TEST_CASE("the deadlines of changes are read in milliseconds") {
  std::string text = kValid;
  text.replace(text.find("\"stop_limit_s\""), 0,
               R"("configuration_deadline_ms":5000.5,)"
               R"("servers_deadline_ms":4000,"zones_deadline_ms":8000,)");
  const auto read = ParseSettings(text);
  const auto* settings = std::get_if<Settings>(&read);
  REQUIRE(settings != nullptr);
  CHECK(settings->configuration_deadline == absl::Microseconds(5'000'500));
  CHECK(settings->servers_deadline == absl::Seconds(4));
  CHECK(settings->zones_deadline == absl::Seconds(8));
}

TEST_CASE("times out of range or of another type are errors") {
  for (const char* time :
       {"0", "0.5", "-1", "1e300", "\"6\"", "true", "null", "[]", "90000"}) {
    INFO(time);
    std::string text = kValid;
    text.replace(text.find(":60,"), 4, std::string(":") + time + ",");
    CHECK(std::holds_alternative<SettingsErrors>(ParseSettings(text)));
  }
}

TEST_CASE("every missing, invalid or unknown field is an error") {
  const auto read = ParseSettings(
      R"({"zone":5,"packets":"here","ready":"10.1.0.10:8167","odd":1,)"
      R"("members_port":0,"platform":"10.200.1.7:8169","seeds":["x"]})");
  const auto* errors = std::get_if<SettingsErrors>(&read);
  REQUIRE(errors != nullptr);
  std::vector<std::string> fields;
  for (const Error& error : *errors) {
    fields.push_back(error.field);
  }
  for (const char* field :
       {"name", "zone", "packets", "odd", "members_port", "seeds[0]"}) {
    INFO(field);
    CHECK(std::find(fields.begin(), fields.end(), field) != fields.end());
  }
}

TEST_CASE("invalid JSON and a missing file are errors") {
  CHECK(std::holds_alternative<SettingsErrors>(ParseSettings("{")));
  const auto read = ReadSettings("/nowhere/at/all");
  const auto* errors = std::get_if<SettingsErrors>(&read);
  REQUIRE(errors != nullptr);
  CHECK(errors->front().code == ResultCode::kSettingsUnreadable);
}

TEST_CASE("changed fields that need a restart are listed") {
  const auto current = std::get<Settings>(ParseSettings(kValid));
  Settings updated = current;
  updated.log_level = LogLevel::kDebug;
  updated.stop_limit = absl::Seconds(9);
  CHECK(ChangedRestartOnlyFields(current, updated).empty());
  updated.zone = "b";
  updated.members_port = 1;
  CHECK(ChangedRestartOnlyFields(current, updated) ==
        std::vector<std::string_view>{"zone", "members_port"});
  updated = current;
  updated.seeds.pop_back();
  CHECK(ChangedRestartOnlyFields(current, updated) ==
        std::vector<std::string_view>{"seeds"});
}

}  // namespace
}  // namespace gcw::direct_balancer
