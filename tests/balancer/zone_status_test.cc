#include "src/balancer/zone_status.h"

#include <catch2/catch.hpp>

namespace gcw::balancer {
namespace {

using membership::Member;
using nlohmann::json;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

Member MakeMember(const std::string& name, const std::string& zone) {
  Member member;
  member.name = name;
  member.zone = zone;
  member.revision = 3;
  return member;
}

json MakeStatus(const std::string& name, bool cold) {
  return {{"name", name},
          {"revision", 7},
          {"routing",
           {{"flows", 5}, {"servers", {{{"server", "s1"}, {"flows", 4}}}}}},
          {"dispatch",
           {{"servers",
             {{{"server", "s1"}, {"home", name}, {"cold", cold}},
              {{"server", "s2"}, {"home", "other"}, {"cold", false}}}}}}};
}

TEST_CASE("a report lists only the servers whose home is the daemon") {
  const json report = MakeDaemonReport(MakeStatus("b1", true));
  CHECK(report["revision"] == 7);
  REQUIRE(report["servers"].size() == 1);
  CHECK(report["servers"][0]["name"] == "s1");
  CHECK(report["servers"][0]["state"] == "cold");
  CHECK(report["servers"][0]["flows"] == 4);
}

TEST_CASE("all daemons choose the same two live members as candidates") {
  std::vector<Member> members;
  for (int i = 0; i < 9; ++i) {
    members.push_back(MakeMember("b" + std::to_string(i), i < 6 ? "a" : "b"));
  }
  const auto candidates = StatusWriterCandidates(members, "a");
  CHECK(candidates.size() == 2);
  std::reverse(members.begin(), members.end());
  CHECK(StatusWriterCandidates(members, "a") == candidates);
  for (Member& member : members) {
    if (member.name == candidates[0]) {
      member.state = membership::MemberState::kDead;
    }
  }
  const auto after = StatusWriterCandidates(members, "a");
  CHECK(std::find(after.begin(), after.end(), candidates[0]) == after.end());
  CHECK(std::find(after.begin(), after.end(), candidates[1]) != after.end());
}

TEST_CASE(
    "a daemon without a recent report is silent, and since tracks the state") {
  ZoneStatus zone("a");
  const std::vector<Member> members{
      MakeMember("b1", "a"), MakeMember("b2", "a"), MakeMember("b3", "z")};
  zone.Add("b1", MakeDaemonReport(MakeStatus("b1", true)), kStart);
  const json first = zone.Build(members, kStart, kStart);
  REQUIRE(first["daemons"].size() == 2);
  CHECK(first["daemons"][0]["revision"] == 7);
  CHECK(first["daemons"][1]["state"] == "silent");
  CHECK(first["daemons"][1]["revision"] == 3);
  REQUIRE(first["servers"].size() == 1);
  CHECK(first["servers"][0]["cold"] == true);

  const absl::Time later = kStart + absl::Seconds(10);
  zone.Add("b1", MakeDaemonReport(MakeStatus("b1", true)), later);
  const json second = zone.Build(members, later, later);
  CHECK(second["servers"][0]["since"] == first["servers"][0]["since"]);
  zone.Add("b1", MakeDaemonReport(MakeStatus("b1", false)), later);
  const json third = zone.Build(members, later, later);
  CHECK(third["servers"][0]["since"] != first["servers"][0]["since"]);

  const absl::Time much_later = later + absl::Minutes(1);
  const json fourth = zone.Build(members, much_later, much_later);
  CHECK(fourth["daemons"][0]["state"] == "silent");
  CHECK(fourth["servers"].empty());
}

TEST_CASE("a malformed report is ignored") {
  ZoneStatus zone("a");
  const std::vector<Member> members{MakeMember("b1", "a")};
  for (const json& bad :
       {json(3), json::object(), json{{"revision", "x"}},
        json{{"revision", 1}, {"servers", {1, json::object()}}}}) {
    zone.Add("b1", bad, kStart);
    const json status = zone.Build(members, kStart, kStart);
    CHECK(status["servers"].empty());
  }
}

}  // namespace
}  // namespace gcw::balancer
