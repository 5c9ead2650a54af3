#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

TEST_CASE("a draining server keeps its flows and gets no new ones") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  f.FindServer(name).draining = true;
  f.SendServerList();
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
}

TEST_CASE("flows of a server that left after draining are reset at once") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  f.FindServer(name).draining = true;
  f.SendServerList();
  f.RemoveServer(name);
  f.AdvanceTime(absl::Milliseconds(10));
  const Decision decision = f.Send(f.Data(1, cookie));
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kServerGone);
}

// If an idle flow of a server that left is not reset, the next request on the
// flow fails instead of opening a new flow.
TEST_CASE("idle flows of a server that left are reset without a packet") {
  RouterFixture f;
  const std::string name = f.NameOf(f.Open(1));
  f.FindServer(name).draining = true;
  f.SendServerList();
  f.RemoveServer(name);
  f.AdvanceTime(absl::Milliseconds(100));
  REQUIRE(f.resets.size() == 1);
  CHECK(f.resets[0].flow.caller.port == 1);
  CHECK(f.resets[0].acknowledged == 500);
}

// A server's entry in the store expires if the server cannot reach the store,
// although the server still serves its flows.
TEST_CASE("a server keeps its flows if its entry vanishes and reappears") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.FindServer(f.NameOf(cookie));
  f.RemoveServer(server.name);
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.AdvanceTime(absl::Seconds(2));
  f.servers.push_back(server);
  f.SendServerList();
  f.AdvanceTime(absl::Seconds(3));
  CHECK(f.Send(f.Data(1, cookie, 1101)).action == Action::kForward);
  CHECK(f.resets.empty());
}

TEST_CASE("a missing entry does not count as gone while the store is away") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.FindServer(f.NameOf(cookie));
  f.RemoveServer(server.name);
  f.refusing.push_back(server.address);
  f.store_answers = false;
  f.AdvanceTime(absl::Seconds(10));
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.store_answers = true;
  f.AdvanceTime(absl::Milliseconds(100));
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerGone);
}

TEST_CASE("an entry that stays missing counts as gone") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.FindServer(f.NameOf(cookie));
  f.RemoveServer(server.name);
  f.refusing.push_back(server.address);
  f.AdvanceTime(absl::Seconds(4));
  CHECK(f.resets.size() == 1);
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerGone);
}

// The entry of a living server can be missing for long, for example after a
// restore of the store. Its flows were reset after a few seconds.
TEST_CASE("a living server whose entry stays missing keeps its flows") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  f.RemoveServer(name);
  for (int i = 0; i < 5; ++i) {
    f.AdvanceTime(absl::Seconds(4));
    CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
    // The server's answer.
    f.Send(f.Data(1, cookie, 1101, 600 + i, 0));
  }
  CHECK(f.resets.empty());
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.Open(port) != cookie);
  }
}

// A server without an entry that has ended must be given up although another
// program accepts connections at its address.
TEST_CASE("a gone server that answers probes but no data loses its flows") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.RemoveServer(f.NameOf(cookie));
  f.AdvanceTime(absl::Seconds(4));
  REQUIRE(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.AdvanceTime(absl::Milliseconds(600));
  const Decision decision = f.Send(f.Data(1, cookie));
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kServerGone);
}

// The packets of an answer may arrive out of order. The caller then first
// acknowledges again what it had, which was taken for a lack of an answer.
TEST_CASE("a late answer out of order does not reset a gone server's flow") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.RemoveServer(f.NameOf(cookie));
  f.AdvanceTime(absl::Seconds(4));
  REQUIRE(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.AdvanceTime(absl::Milliseconds(600));
  CHECK(f.Send(f.Data(1, cookie, 1101, 500, 0)).action == Action::kForward);
  CHECK(f.Send(f.Data(1, cookie, 1101, 2900, 0)).action == Action::kForward);
  CHECK(f.resets.empty());
}

// A server that answered after its entry had gone, and then ended, left its
// flows without an answer.
TEST_CASE("a gone server that ends later loses its flows") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.FindServer(f.NameOf(cookie));
  f.RemoveServer(server.name);
  f.AdvanceTime(absl::Seconds(4));
  REQUIRE(f.Send(f.Data(1, cookie)).action == Action::kForward);
  // The server's answer.
  f.Send(f.Data(1, cookie, 1101, 900, 0));
  f.refusing.push_back(server.address);
  f.AdvanceTime(absl::Seconds(1));
  f.Send(f.Data(1, cookie, 1101, 900));
  f.AdvanceTime(absl::Milliseconds(200));
  f.Send(f.Data(1, cookie, 1101, 900));
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.resets.size() == 1);
}

// Addresses are assigned again after a server has ended.
TEST_CASE("idle flows of a server whose address is in use again are reset") {
  RouterFixture f;
  const BackendServer first = f.FindServer(f.NameOf(f.Open(1)));
  f.RemoveServer(first.name);
  f.servers.push_back(RouterFixture::Server("p9", 99, "photos", "near"));
  f.servers.back().address = first.address;
  f.SendServerList();
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.resets.size() == 1);
}

TEST_CASE("a server without an entry keeps its flows while it answers") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.RemoveServer(f.NameOf(cookie));
  f.AdvanceTime(absl::Seconds(4));
  // The caller acknowledges new data, which only the server can have sent.
  CHECK(f.Send(f.Data(1, cookie, 1001, 900)).reason == Reason::kStillAnswering);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
}

// The caller's next request then opens a new flow instead of failing.
TEST_CASE("flows of an earlier incarnation are reset without a packet") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.FindServer(f.NameOf(cookie)).incarnation = 200;
  f.SendServerList();
  SECTION("by the next tick") {
    f.AdvanceTime(absl::Milliseconds(10));
    REQUIRE(f.resets.size() == 1);
    CHECK(f.resets[0].flow.caller.port == 1);
    CHECK(f.EventsOf<FlowRefused>().back().reason == Reason::kServerRestarted);
    // A packet that was under way is left to the server, which resets the flow.
    CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  }
  SECTION("or by a packet before it") {
    CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerRestarted);
  }
}

TEST_CASE("a server gets no flows of the previous server at its address") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer first = f.FindServer(f.NameOf(cookie));
  f.RemoveServer(first.name);
  BackendServer second = RouterFixture::Server("p9", 99, "photos", "near");
  second.address = first.address;
  f.servers.push_back(second);
  f.SendServerList();
  const Decision kept = f.Send(f.Data(1, cookie));
  // Until the first server counts as gone, packets carry its number, which the
  // second server does not accept.
  CHECK(
      (kept.action != Action::kForward || kept.server_number == first.number));
  f.AdvanceTime(absl::Seconds(4));
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kReset);
}

TEST_CASE(
    "a server with an unreadable entry keeps flows and gets no new ones") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  std::vector<ServerReportPtr> reports;
  ++f.revision;
  for (const BackendServer& server : f.servers) {
    reports.push_back(std::make_shared<ServerReport>(
        ServerReport{f.revision, server.name, server.name != name, server}));
  }
  f.router->ApplyServerList(reports, f.revision, f.now);
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
}

TEST_CASE("a zone out of service keeps its flows and gets no new ones") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::vector<std::string> out{"near"};
  f.router->ApplyZonesOut(out, ++f.revision, f.now);
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port))[0] == 'f');
  }
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.router->ApplyZonesOut({}, ++f.revision, f.now);
  CHECK(f.NameOf(f.Open(30))[0] == 'n');
}

TEST_CASE("a cold server gets no flows while there is a warm one") {
  RouterFixture f;
  f.servers.push_back(RouterFixture::Server("n3", 9, "board", "near"));
  f.servers.back().cold_for = absl::Seconds(2);
  f.SendServerList();
  for (std::uint16_t port = 1; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != "n3");
  }
  f.AdvanceTime(absl::Seconds(2));
  CHECK(f.NameOf(f.Open(30)) == "n3");
}

TEST_CASE("if all servers are cold, each gets at most the daemon's quota") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.services[0].cold_flows_per_second = 20;
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.router->SetFleetPosition({.daemons = 4, .rank = 1}, f.now);
  f.AdvanceTime(absl::Seconds(1));
  for (BackendServer& server : f.servers) {
    server.cold_for = absl::Seconds(5);
  }
  f.SendServerList();
  std::map<std::string, int> placed;
  for (std::uint16_t port = 1; port < 200; ++port) {
    const Decision decision = f.Send(f.Syn(port));
    if (decision.action == Action::kForward) {
      ++placed[f.NameOf(decision.cookie)];
    } else {
      CHECK(decision.reason == Reason::kNoServer);
    }
  }
  CHECK(placed.size() == 4);
  for (const auto& [name, flows] : placed) {
    CHECK(flows <= 5);
  }
}

TEST_CASE("a server at its flow limit gets no new flows") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.services[0].max_flows = 3;
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  for (std::uint16_t port = 1; port <= 12; ++port) {
    f.Open(port);
  }
  CHECK(f.Send(f.Syn(13)).reason == Reason::kNoServer);
}

// If two servers with the same cookie both got flows, a daemon could not tell
// which of the two servers a packet belongs to.
TEST_CASE("of two servers with the same cookie only the first gets flows") {
  RouterFixture f;
  // The cookie is a hash of number and incarnation. A server with another name
  // but the same number and incarnation simulates a hash collision.
  f.servers.push_back(RouterFixture::Server("n9", 1, "board", "near"));
  f.SendServerList();
  for (std::uint16_t port = 1; port < 40; ++port) {
    const Decision decision = f.Send(f.Syn(port));
    CHECK(decision.server_number != 0);
  }
  for (const ServerStats& server : f.router->Stats(f.now).servers) {
    if (server.name == "n9") {
      CHECK(server.placed == 0);
    }
  }
}

TEST_CASE("the statistics show the number of daemons in the fleet") {
  RouterFixture f;
  f.router->SetFleetPosition({.daemons = 4, .rank = 3}, f.now);
  CHECK(f.router->Stats(f.now).daemons == 4);
}

}  // namespace
}  // namespace gcw::direct
