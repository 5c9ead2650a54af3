#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

TEST_CASE("a draining server keeps its flows and gets no new ones") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  f.Find(name).draining = true;
  f.List();
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != name);
  }
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
}

TEST_CASE("flows of a server that left are given up at once") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::string name = f.NameOf(cookie);
  f.Find(name).draining = true;
  f.List();
  f.Drop(name);
  f.Pass(absl::Milliseconds(10));
  const Decision decision = f.Send(f.Data(1, cookie));
  CHECK(decision.action == Action::kReset);
  CHECK(decision.reason == Reason::kServerGone);
}

TEST_CASE("idle flows of a server that left are reset without their packets") {
  RouterFixture f;
  const std::string name = f.NameOf(f.Open(1));
  f.Find(name).draining = true;
  f.List();
  f.Drop(name);
  f.Pass(absl::Milliseconds(100));
  REQUIRE(f.resets.size() == 1);
  CHECK(f.resets[0].flow.caller.port == 1);
  CHECK(f.resets[0].acknowledged == 500);
}

TEST_CASE("an entry that vanishes without a drain may come back") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.Find(f.NameOf(cookie));
  f.Drop(server.name);
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.Pass(absl::Seconds(2));
  f.servers.push_back(server);
  f.List();
  f.Pass(absl::Seconds(3));
  CHECK(f.Send(f.Data(1, cookie, 1101)).action == Action::kForward);
  CHECK(f.resets.empty());
}

TEST_CASE("an entry is not taken as gone while nobody hears from the store") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Drop(f.NameOf(cookie));
  f.store_answers = false;
  f.Pass(absl::Seconds(10));
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.store_answers = true;
  f.Pass(absl::Milliseconds(100));
  f.Pass(absl::Seconds(1));
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerGone);
}

TEST_CASE("an entry that stays away is taken as gone") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Drop(f.NameOf(cookie));
  f.Pass(absl::Seconds(4));
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerGone);
}

TEST_CASE("a server that still answers keeps its flows without an entry") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Drop(f.NameOf(cookie));
  f.Pass(absl::Seconds(4));
  // The caller acknowledges something new, which only the server can have sent.
  CHECK(f.Send(f.Data(1, cookie, 1001, 900)).reason == Reason::kStillAnswering);
  CHECK(f.Send(f.Data(1, cookie, 1101, 900)).action == Action::kForward);
}

TEST_CASE("flows of an earlier incarnation are given up") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  f.Find(f.NameOf(cookie)).incarnation = 200;
  f.List();
  f.Pass(absl::Milliseconds(10));
  CHECK(f.Send(f.Data(1, cookie)).reason == Reason::kServerRestarted);
}

TEST_CASE("an address given to another server gets no flow of the first one") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer first = f.Find(f.NameOf(cookie));
  f.Drop(first.name);
  BackendServer second = RouterFixture::Server("p9", 99, "photos", "near");
  second.address = first.address;
  f.servers.push_back(second);
  f.List();
  const Decision kept = f.Send(f.Data(1, cookie));
  // Until the first one is taken as gone its number keeps the second one out.
  CHECK(
      (kept.action != Action::kForward || kept.server_number == first.number));
  f.Pass(absl::Seconds(4));
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kReset);
}

TEST_CASE("an entry that cannot be read takes no new flows, the others hold") {
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

TEST_CASE("a zone that is out gets no new flows and keeps its open ones") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const std::vector<std::string> out{"near"};
  f.router->ApplyZonesOut(out, ++f.revision);
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port))[0] == 'f');
  }
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.router->ApplyZonesOut({}, ++f.revision);
  CHECK(f.NameOf(f.Open(30))[0] == 'n');
}

TEST_CASE("a cold server is passed by while a warm one is there") {
  RouterFixture f;
  f.servers.push_back(RouterFixture::Server("n3", 9, "board", "near"));
  f.servers.back().cold_for = absl::Seconds(2);
  f.List();
  for (std::uint16_t port = 1; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port)) != "n3");
  }
  f.Pass(absl::Seconds(2));
  CHECK(f.NameOf(f.Open(30)) == "n3");
}

TEST_CASE("cold servers alone get no more than the fleet's share") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.services[0].cold_flows_per_second = 20;
  f.router->ApplyConfiguration(f.configuration, ++f.revision);
  f.router->SetFleetPosition({.daemons = 4, .rank = 1}, f.now);
  f.Pass(absl::Seconds(1));
  for (BackendServer& server : f.servers) {
    server.cold_for = absl::Seconds(5);
  }
  f.List();
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

TEST_CASE("a full server gets no more flows") {
  RouterFixture f;
  f.configuration.version = 2;
  f.configuration.services[0].max_flows = 3;
  f.router->ApplyConfiguration(f.configuration, ++f.revision);
  for (std::uint16_t port = 1; port <= 12; ++port) {
    f.Open(port);
  }
  CHECK(f.Send(f.Syn(13)).reason == Reason::kNoServer);
}

TEST_CASE("of two servers with one cookie only the first gets flows") {
  RouterFixture f;
  // The cookie hashes number and incarnation: an equal pair under another name
  // stands for a collision.
  f.servers.push_back(RouterFixture::Server("n9", 1, "board", "near"));
  f.List();
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

TEST_CASE("the daemons that share cold servers are told") {
  RouterFixture f;
  f.router->SetFleetPosition({.daemons = 4, .rank = 3}, f.now);
  CHECK(f.router->Stats(f.now).daemons == 4);
}

}  // namespace
}  // namespace gcw::direct
