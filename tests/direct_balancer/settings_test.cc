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
