// Guards against new flows for cold servers because a server that was lost
// answers again before the report of its restart has been read.

#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

constexpr std::uint64_t kN1 = 1;  // BackendServer::number of n1.
constexpr int kColdFlows = 3;

// Service "board" has only n1 and n2, both in the daemon's zone.
struct ReturnedServerFixture : RouterFixture {
  explicit ReturnedServerFixture(absl::Duration cold_time) {
    configuration.services[0].cold_time = cold_time;
    std::erase_if(servers, [](const BackendServer& s) {
      return s.name == "f1" || s.name == "f2";
    });
    Restart();
    router->SetFleetPosition({.daemons = 1, .rank = 0}, now);
    AdvanceTime(absl::Seconds(2));
  }

  // How many of 60 new flows go to n1, within a short time.
  int PlacedOnN1() {
    int placed = 0;
    for (int i = 0; i < 60; ++i) {
      placed += Send(Syn(++port)).server_number == kN1 ? 1 : 0;
    }
    return placed;
  }
  // n1 is found lost in this way, and answers probes again.
  void LoseAndReturn(std::vector<Endpoint>& troubled) {
    PlacedOnN1();
    troubled = {FindServer("n1").address};
    AdvanceTime(absl::Seconds(1));
    REQUIRE(PlacedOnN1() == 0);
    troubled.clear();
    AdvanceTime(absl::Milliseconds(600));
  }

  std::uint16_t port = 100;
};

// The case of the review: servers that restarted got flows as warm ones.
TEST_CASE("a server that answers again after it was lost may be cold") {
  ReturnedServerFixture f(absl::Seconds(2));
  SECTION("if its address refused connections") {
    f.LoseAndReturn(f.refusing);
  }
  SECTION("if it was silent") {
    f.LoseAndReturn(f.silent);
  }
  // n2 is warm and comes first.
  CHECK(f.PlacedOnN1() == 0);
  f.RemoveServer("n2");
  CHECK(f.PlacedOnN1() == kColdFlows);
  f.AdvanceTime(absl::Seconds(2));
  CHECK(f.PlacedOnN1() > 30);
}

TEST_CASE("the report of a restart says how long the server is cold") {
  ReturnedServerFixture f(absl::Seconds(2));
  f.LoseAndReturn(f.refusing);
  BackendServer& n1 = f.FindServer("n1");
  n1.incarnation += 5'000;
  SECTION("longer") {
    n1.cold_for = absl::Seconds(5);
    f.SendServerList();
    f.AdvanceTime(absl::Seconds(3));
    CHECK(f.PlacedOnN1() == 0);
  }
  SECTION("no longer") {
    f.SendServerList();
    CHECK(f.PlacedOnN1() > 0);
  }
}

// If a part of the network was down, the servers beyond it are warm.
TEST_CASE("a flow that goes on shows that its server has not restarted") {
  ReturnedServerFixture f(absl::Seconds(20));
  FlowCookie cookie = 0;
  std::uint16_t port = 5000;
  while (f.NameOf(cookie) != "n1") {
    cookie = f.Open(++port);
  }
  // The daemon takes itself for cut off and keeps its flows.
  f.silent = {f.FindServer("n1").address, f.FindServer("n2").address,
              f.FindServer("p1").address};
  f.Send(f.Data(port, cookie));
  f.AdvanceTime(absl::Milliseconds(300));
  f.Send(f.Data(port, cookie));
  f.AdvanceTime(absl::Seconds(2));
  REQUIRE(f.PlacedOnN1() == 0);
  f.silent.clear();
  f.AdvanceTime(absl::Seconds(1));
  f.RemoveServer("n2");
  SECTION("by an answer to what was sent") {
    f.Send(f.Data(port, cookie, 1101, 900, 0));
    CHECK(f.PlacedOnN1() > 30);
  }
  SECTION("but not by a request that acknowledges an earlier answer") {
    f.Send(f.Data(port, cookie, 1101, 900, 100));
    CHECK(f.PlacedOnN1() == kColdFlows);
  }
  SECTION("nor by a flow that was opened since") {
    const Decision opened = f.Send(f.Syn(6000));
    REQUIRE(opened.server_number == kN1);
    f.Send(f.Data(6000, opened.cookie, 1001, 500, 100));
    f.Send(f.Data(6000, opened.cookie, 1101, 900, 0));
    CHECK(f.PlacedOnN1() == kColdFlows - 1);
  }
}

// Otherwise servers that stay cold for long would be limited long after a cut.
TEST_CASE("a server that is not listed as restarted in time is warm") {
  ReturnedServerFixture f(absl::Seconds(300));
  f.LoseAndReturn(f.silent);
  CHECK(f.PlacedOnN1() == 0);
  f.AdvanceTime(absl::Seconds(8));
  CHECK(f.PlacedOnN1() > 0);
}

}  // namespace
}  // namespace gcw::direct
