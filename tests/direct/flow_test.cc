#include <catch2/catch.hpp>
#include <set>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

TEST_CASE(
    "a new flow goes to a server in the daemon's zone and gets its cookie") {
  RouterFixture f;
  const Decision decision = f.Send(f.Syn(1));
  CHECK(decision.action == Action::kForward);
  CHECK(decision.reason == Reason::kPlaced);
  const std::string name = f.NameOf(decision.cookie);
  CHECK((name == "n1" || name == "n2"));
  CHECK(decision.server == f.FindServer(name).address);
  CHECK(decision.server_number == f.FindServer(name).number);
}

TEST_CASE("a daemon without state of a flow finds the server by cookie") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Restart();
  const Decision decision = f.Send(f.Data(1, cookie));
  CHECK(decision.action == Action::kForward);
  CHECK(decision.reason == Reason::kEstablished);
  CHECK(decision.cookie == cookie);
}

// A daemon that takes over a flow does not know the sequence numbers of the
// flow. The first data that the daemon sees must not count as retransmitted.
TEST_CASE("the first data of a flow after a restart is no retransmission") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Restart();
  f.Send(f.Data(1, cookie));
  CHECK(f.EventsOf<FlowStalled>().empty());
  f.Send(f.Data(1, cookie));
  CHECK(f.EventsOf<FlowStalled>().size() == 1);
}

TEST_CASE("flows are spread evenly over the servers in the daemon's zone") {
  RouterFixture f;
  std::map<std::string, int> flows;
  for (std::uint16_t port = 1; port <= 100; ++port) {
    ++flows[f.NameOf(f.Open(port))];
  }
  CHECK(flows["n1"] == 50);
  CHECK(flows["n2"] == 50);
}

TEST_CASE("flows that their callers closed don't count as open") {
  RouterFixture f;
  for (std::uint16_t port = 1; port <= 20; ++port) {
    const FlowCookie cookie = f.Open(port);
    Packet end = f.Data(port, cookie, 1001, 600, 0);
    end.fin = true;
    f.Send(end);
  }
  for (const ServerStats& server : f.router->Stats(f.now).servers) {
    CHECK(server.open_flows == 0);
  }
}

TEST_CASE("new flows go to another zone if the daemon's zone is full") {
  RouterFixture f;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    f.Send(f.Data(port, f.Open(port)));
  }
  f.AdvanceTime(absl::Milliseconds(50));
  const std::string name = f.NameOf(f.Open(100));
  CHECK((name == "f1" || name == "f2"));
}

TEST_CASE("packets are dropped until the state has been read") {
  auto made = DirectRouter::Make({.zone = "near"});
  REQUIRE(made.ok());
  RouterFixture f;
  const Decision decision = made.value()->OnPacket(f.Syn(1), f.now);
  CHECK(decision.action == Action::kDrop);
  CHECK(decision.reason == Reason::kNotSynced);
  CHECK_FALSE(made.value()->can_serve());
}

TEST_CASE("a flow to an address without a route is reset") {
  RouterFixture f;
  const Decision decision = f.Send(f.Syn(1, {0xc6120009, 1}));
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kUnknownRoute);
}

// Two hosts that answer resets with resets would never stop.
TEST_CASE("a reset is never answered with a reset") {
  RouterFixture f;
  Packet packet = f.Syn(1, {0xc6120009, 1});
  packet.syn = false;
  packet.rst = true;
  CHECK(f.Send(packet).action == Action::kDrop);
}

TEST_CASE("flows of a removed route are reset") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.configuration.version = 2;
  f.configuration.routes.erase(f.configuration.routes.begin());
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kUnknownRoute);
}

TEST_CASE("flows stay on their server when their route changes its service") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.configuration.version = 2;
  f.configuration.routes[0].services = {{"photos", 1}};
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  CHECK(f.Send(f.Data(1, cookie)).cookie == cookie);
  const std::string name = f.NameOf(f.Open(2));
  CHECK((name == "p1" || name == "p2"));
}

TEST_CASE("a configuration with an older revision is ignored") {
  RouterFixture f;
  f.configuration.version = 2;
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  Configuration older = f.configuration;
  older.routes.clear();
  f.router->ApplyConfiguration(older, f.revision - 1, f.now);
  f.Collect();
  CHECK(f.Send(f.Syn(1)).action == Action::kForward);
  CHECK(f.EventsOf<StaleStateIgnored>().size() == 1);
}

TEST_CASE("new flows are split by the weights of the services") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.routes[0].services = {{"board", 90}, {"photos", 10}};
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  int photos = 0;
  for (std::uint16_t port = 1; port <= 1000; ++port) {
    photos += f.NameOf(f.Open(port))[0] == 'p' ? 1 : 0;
  }
  CHECK(photos > 60);
  CHECK(photos < 140);
}

TEST_CASE("a retransmitted SYN goes to another server") {
  RouterFixture f;
  const Decision first = f.Send(f.Syn(1));
  f.AdvanceTime(absl::Milliseconds(200));
  Packet again = f.Syn(1);
  again.acknowledged = 1;
  const Decision second = f.Send(again);
  CHECK(second.reason == Reason::kPlacedAgain);
  CHECK(second.cookie != first.cookie);
}

TEST_CASE("a SYN that the network duplicated goes to the same server") {
  RouterFixture f;
  const Decision first = f.Send(f.Syn(1));
  CHECK(f.Send(f.Syn(1)).cookie == first.cookie);
}

// A retransmitted SYN may go to another server, so that two servers may answer.
// The caller uses the server whose answer comes first.
TEST_CASE("a late answer of another server does not move the flow") {
  RouterFixture f;
  const Decision first = f.Send(f.Syn(1));
  f.AdvanceTime(absl::Milliseconds(200));
  Packet again = f.Syn(1);
  again.acknowledged = 1;
  const Decision second = f.Send(again);
  CHECK(f.Send(f.Data(1, second.cookie)).cookie == second.cookie);
  CHECK(f.Send(f.Data(1, first.cookie, 1101)).cookie == second.cookie);
}

TEST_CASE("a packet without a cookie that is not a SYN is dropped") {
  RouterFixture f;
  CHECK(f.Send(f.Data(1, 0)).reason == Reason::kNoCookie);
  CHECK(f.Send(f.Data(1, 0)).action == Action::kDrop);
}

// A new server may answer callers before this daemon reads the server's entry
// from the store. The server's flows must not be reset meanwhile.
TEST_CASE("an unknown cookie causes resets only after the grace period") {
  RouterFixture f;
  CHECK(f.Send(f.Data(1, 77)).reason == Reason::kCookiePending);
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.Send(f.Data(1, 77)).action == Action::kDrop);
  f.AdvanceTime(absl::Seconds(2));
  const Decision decision = f.Send(f.Data(1, 77));
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kCookieUnknown);
}

// The list was confirmed less than 10 s ago, but not since the packet came: it
// may lack a server that has joined meanwhile. Such flows were reset.
TEST_CASE("a list that is older than the packet proves no cookie unknown") {
  RouterFixture f;
  f.AdvanceTime(absl::Milliseconds(100));
  f.store_answers = false;
  f.AdvanceTime(absl::Seconds(2));
  f.Send(f.Data(1, 77));
  f.AdvanceTime(absl::Seconds(5));
  CHECK(f.Send(f.Data(1, 77)).reason == Reason::kCookiePending);
  f.store_answers = true;
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.Send(f.Data(1, 77)).reason == Reason::kCookieUnknown);
}

// A server that comes back under its id has the same cookie as before.
TEST_CASE("a cookie that was unknown before does not condemn a new flow") {
  RouterFixture f;
  f.Send(f.Data(1, 77));
  f.AdvanceTime(absl::Seconds(4));
  REQUIRE(f.Send(f.Data(1, 77)).reason == Reason::kCookieUnknown);
  CHECK(f.Send(f.Data(2, 77)).reason == Reason::kCookiePending);
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.Send(f.Data(2, 77)).reason == Reason::kCookieUnknown);
}

TEST_CASE(
    "packets with a pending cookie are forwarded once the server is listed") {
  RouterFixture f;
  f.servers.push_back(RouterFixture::Server("n3", 9, "board", "near"));
  const FlowCookie cookie = CookieOf(f.servers.back());
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kCookiePending);
  f.SendServerList();
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
}

TEST_CASE("flows beyond the table's capacity are routed but not tracked") {
  RouterFixture f;
  auto made = DirectRouter::Make({.zone = "near", .max_flows = 1});
  f.router = std::move(made).value();
  f.revision = 0;
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.router->ApplyZonesOut({}, ++f.revision, f.now);
  f.SendServerList();
  f.Open(1);
  CHECK(f.NameOf(f.Open(2)) != "");
  CHECK(f.router->Stats(f.now).flows == 1);
  CHECK(f.router->Stats(f.now).untracked > 0);
}

TEST_CASE("invalid options are rejected") {
  CHECK_FALSE(DirectRouter::Make({}).ok());
  CHECK_FALSE(DirectRouter::Make({.zone = "z", .max_flows = 0}).ok());
}

// A caller retransmits its SYN for 600 ms. A daemon that has applied a change
// of the route in between must not place the flow as the old configuration
// said.
TEST_CASE("a retransmitted SYN is placed by the configuration in force") {
  RouterFixture f;
  const Decision first = f.Send(f.Syn(1));
  CHECK(f.FindServer(f.NameOf(first.cookie)).service == "board");
  f.silent = {first.server};
  f.configuration.version = 2;
  f.configuration.routes[0].services = {{"photos", 1}};
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.AdvanceTime(absl::Milliseconds(200));
  Packet repeated = f.Syn(1);
  repeated.acknowledged = 1;
  const Decision second = f.Send(repeated);
  REQUIRE(second.action == Action::kForward);
  CHECK(f.FindServer(f.NameOf(second.cookie)).service == "photos");
}

// A copy that the network made may be late as well.
TEST_CASE("a duplicated SYN does not go to a service that the route dropped") {
  RouterFixture f;
  f.Send(f.Syn(1));
  f.configuration.version = 2;
  f.configuration.routes[0].services = {{"photos", 1}};
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  const Decision second = f.Send(f.Syn(1));
  REQUIRE(second.action == Action::kForward);
  CHECK(f.FindServer(f.NameOf(second.cookie)).service == "photos");
}

// A route may have several services. The servers of both would otherwise open
// the flow.
TEST_CASE("a retransmitted SYN stays with its service while the route has it") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.routes[0].services = {{"board", 1}, {"photos", 1}};
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  for (std::uint16_t port = 1; port < 30; ++port) {
    const Decision first = f.Send(f.Syn(port));
    Packet repeated = f.Syn(port);
    repeated.acknowledged = 1;
    const Decision second = f.Send(repeated);
    CHECK(f.FindServer(f.NameOf(second.cookie)).service ==
          f.FindServer(f.NameOf(first.cookie)).service);
    f.AdvanceTime(absl::Milliseconds(200));  // Probes clear the suspicion.
  }
}

}  // namespace
}  // namespace gcw::direct
