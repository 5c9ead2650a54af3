// Guards against daemons that do not find the server of an open flow, because
// the flow was opened while another daemon took an earlier incarnation of the
// server for the present one.

#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

constexpr std::uint64_t kN1 = 1;  // BackendServer::number of n1.

struct RestartFixture : RouterFixture {
  // n1 runs as a new incarnation, and its report is in the store. Without
  // `read`, the daemon has not read it yet.
  void RestartN1(bool read) {
    BackendServer& n1 = FindServer("n1");
    n1.incarnation += 20'000;
    if (read) {
      SendServerList();
      AdvanceTime(absl::Milliseconds(100));
    }
  }
  // Opens a flow on n1 and returns its cookie. Its port is `port`.
  FlowCookie OpenOnN1() {
    const FlowCookie cookie = OpenOn(kN1, port);
    REQUIRE(cookie != 0);
    return cookie;
  }
  // Whether the router passes a packet of the flow on to n1.
  bool ReachesN1(FlowCookie cookie) {
    const Decision decision = Send(Data(port, cookie, 1101, 500, 100));
    return decision.action == Action::kForward && decision.server_number == kN1;
  }

  std::uint16_t port = 100;
};

// The case of the review: its flows were dropped for 2.5 s and then reset.
TEST_CASE("a daemon that starts after a restart of a server finds its flows") {
  RestartFixture f;
  f.RestartN1(false);
  const FlowCookie cookie = f.OpenOnN1();
  f.SendServerList();
  f.Restart();
  CHECK(f.ReachesN1(cookie));
  f.AdvanceTime(absl::Seconds(10));
  CHECK(f.ReachesN1(cookie));
  CHECK(f.resets.empty());
}

TEST_CASE("flows are found when a server and all daemons restart repeatedly") {
  RestartFixture f;
  f.RestartN1(false);
  const FlowCookie cookie = f.OpenOnN1();
  for (int i = 0; i < 3; ++i) {
    f.SendServerList();
    f.Restart();
    f.RestartN1(true);
    f.Restart();
    CHECK(f.ReachesN1(cookie));
  }
}

// The server's entry had expired before it registered again.
TEST_CASE("flows of a server that was away for long are found") {
  RestartFixture f;
  f.RestartN1(false);
  const FlowCookie cookie = f.OpenOnN1();
  const BackendServer n1 = f.FindServer("n1");
  SECTION("by the daemon that knew it") {
    f.RemoveServer("n1");
    f.AdvanceTime(absl::Seconds(90));
    f.servers.push_back(n1);
    f.SendServerList();
  }
  SECTION("by a daemon that did not") {
    f.RemoveServer("n1");
    f.Restart();
    f.AdvanceTime(absl::Seconds(20));
    f.servers.push_back(n1);
    f.SendServerList();
  }
  CHECK(f.ReachesN1(cookie));
}

// The server, which does not hold the flow, resets it. A daemon that dropped
// the packet would leave the caller without an answer.
TEST_CASE("a flow that ended with a restart is left to the server at once") {
  RestartFixture f;
  const FlowCookie cookie = f.OpenOnN1();
  f.RestartN1(true);
  f.Restart();
  CHECK(f.ReachesN1(cookie));
}

// While a fleet is upgraded, daemons of the release before open flows with the
// key of an incarnation as the cookie.
TEST_CASE("a flow that a daemon of the release before opened is found") {
  RestartFixture f;
  const FlowCookie key = KeyOf(f.FindServer("n1"));
  CHECK(f.ReachesN1(key));
  f.RestartN1(true);
  CHECK(f.ReachesN1(key));
}

// A refused probe of the ended incarnation kept new flows from the next one.
TEST_CASE("a probe tells only of the incarnation that it was started for") {
  RestartFixture f;
  f.OpenOnN1();
  f.silent = {f.FindServer("n1").address};
  f.AdvanceTime(absl::Milliseconds(300));
  f.Send(f.Data(f.port, 1));
  REQUIRE(f.probes_made > 0);
  f.RestartN1(false);
  f.SendServerList();
  f.refusing = {f.FindServer("n1").address};
  f.silent.clear();
  f.AdvanceTime(absl::Milliseconds(10));
  f.refusing.clear();
  f.OpenOnN1();
}

}  // namespace
}  // namespace gcw::direct
