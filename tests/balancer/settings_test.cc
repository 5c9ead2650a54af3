#include "src/balancer/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace gcw::balancer {
namespace {

using nlohmann::json;

constexpr char kKey[] =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

json GoodSettings() {
  return {{"name", "b1"},
          {"zone", "sondrio"},
          {"bind", "127.1.1.1"},
          {"advertise", "127.1.2.1"},
          {"fabric", "127.1.0.1:7000"},
          {"platform", "127.1.0.2:8080"},
          {"peers",
           {{{"name", "b2"}, {"zone", "tirano"}, {"address", "127.1.2.2"}}}},
          {"cluster_keys", {kKey}}};
}

SettingsErrors ErrorsOf(const json& value) {
  const auto parsed = ParseSettings(value.dump());
  const auto* errors = std::get_if<SettingsErrors>(&parsed);
  return errors == nullptr ? SettingsErrors{} : *errors;
}

TEST_CASE("all fields of valid settings are read") {
  const auto parsed = ParseSettings(GoodSettings().dump());
  REQUIRE(std::holds_alternative<Settings>(parsed));
  const auto& settings = std::get<Settings>(parsed);
  CHECK(settings.name == "b1");
  CHECK(IpToString(settings.advertise) == "127.1.2.1");
  CHECK(settings.ports == Ports{});
  REQUIRE(settings.peers.size() == 1);
  CHECK(settings.peers[0].zone == "tirano");
  REQUIRE(settings.cluster_keys.size() == 1);
  CHECK(settings.cluster_keys[0].size() == 32);
  CHECK(settings.cluster_keys[0][1] == '\x01');
}

TEST_CASE("every invalid field is reported with its path") {
  json settings = GoodSettings();
  settings["nmae"] = "b1";
  settings["bind"] = "127.1.1";
  settings["peers"][0]["address"] = 7;
  settings["cluster_keys"][0] = "00ff";
  settings["ports"] = {{"data", 0}};
  settings["log_level"] = "loud";
  settings.erase("fabric");
  std::string fields;
  for (const Error& error : ErrorsOf(settings)) {
    fields += error.field + " ";
  }
  for (const char* field :
       {"nmae", "bind", "peers[0].address", "cluster_keys[0]", "ports.data",
        "log_level", "fabric"}) {
    INFO(fields);
    CHECK(fields.find(field) != std::string::npos);
  }
}

TEST_CASE("settings with equal ports or without keys are refused") {
  json settings = GoodSettings();
  settings["ports"] = {{"data", 7001}};
  CHECK_FALSE(ErrorsOf(settings).empty());
  settings = GoodSettings();
  settings["cluster_keys"] = json::array();
  CHECK_FALSE(ErrorsOf(settings).empty());
}

TEST_CASE("randomly damaged settings give an error or valid settings") {
  std::mt19937_64 random(11);
  const std::string good = GoodSettings().dump();
  for (int round = 0; round < 2'000; ++round) {
    std::string text = good;
    const std::size_t at = random() % text.size();
    if (random() % 2 == 0) {
      text.resize(at);
    } else {
      text[at] = static_cast<char>(random() % 256);
    }
    const auto parsed = ParseSettings(text);
    if (const auto* errors = std::get_if<SettingsErrors>(&parsed)) {
      CHECK_FALSE(errors->empty());
    } else {
      CHECK_FALSE(std::get<Settings>(parsed).name.empty());
    }
  }
}

TEST_CASE("a missing settings file is an error") {
  const auto read = ReadSettings("no/such/file.json");
  const auto* errors = std::get_if<SettingsErrors>(&read);
  REQUIRE(errors != nullptr);
  REQUIRE(errors->size() == 1);
  CHECK(errors->front().code == ResultCode::kSettingsUnreadable);
}

}  // namespace
}  // namespace gcw::balancer
