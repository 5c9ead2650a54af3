#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

// Lets the fixture's revisions go on in the store's next epoch, from one that
// the store has given out before.
void Restore(RouterFixture& f, std::uint64_t revision = 1) {
  f.revision = MakeStoreVersion(EpochOf(f.revision) + 1, revision);
}

// A restored store may have lost that a zone was taken out of service, until
// the operators have written it again.
TEST_CASE(
    "a zone that was out before a restore stays out until it is written") {
  RouterFixture f;
  const std::vector<std::string> near{"near"};
  const std::vector<std::string> far{"far"};
  f.router->ApplyZonesOut(near, ++f.revision, f.now);
  REQUIRE(f.NameOf(f.Open(1))[0] == 'f');
  Restore(f);
  f.router->ApplyZonesOut({}, ++f.revision, f.now);
  f.AdvanceTime(absl::Seconds(2));
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.NameOf(f.Open(port))[0] == 'f');
  }
  SECTION("once it is written again, the store decides") {
    f.router->ApplyZonesOut(near, ++f.revision, f.now);
    CHECK(f.NameOf(f.Open(30))[0] == 'f');
    f.router->ApplyZonesOut({}, ++f.revision, f.now);
    CHECK(f.NameOf(f.Open(31))[0] == 'n');
  }
  SECTION("if it is not written again, it is put back after some time") {
    f.AdvanceTime(absl::Seconds(10));
    CHECK(f.NameOf(f.Open(30))[0] == 'n');
  }
  SECTION("another zone can be taken out meanwhile") {
    f.router->ApplyZonesOut(far, ++f.revision, f.now);
    CHECK(f.Send(f.Syn(30)).reason == Reason::kNoServer);
  }
}

// A daemon that starts after a restore reads from the store that the zone is in
// service. Its peers tell it otherwise.
TEST_CASE("a zone that other daemons keep out of service gets no flows") {
  RouterFixture f;
  const std::vector<std::string> near{"near"};
  f.router->KeepZonesOut(near, f.now + absl::Seconds(4));
  CHECK(f.NameOf(f.Open(1))[0] == 'f');
  SECTION("it is put back after some time") {
    f.AdvanceTime(absl::Seconds(5));
    CHECK(f.NameOf(f.Open(2))[0] == 'n');
  }
  SECTION("once the store lists it, the store decides") {
    f.router->ApplyZonesOut(near, ++f.revision, f.now);
    f.router->ApplyZonesOut({}, ++f.revision, f.now);
    CHECK(f.NameOf(f.Open(2))[0] == 'n');
  }
}

TEST_CASE("a zone that a restore brought back out of service gets no flows") {
  RouterFixture f;
  Restore(f);
  const std::vector<std::string> near{"near"};
  f.router->ApplyZonesOut(near, ++f.revision, f.now);
  CHECK(f.NameOf(f.Open(1))[0] == 'f');
}

// The servers of a RouterFixture before and after a restore of the store.
struct ServersFixture : RouterFixture {
  // Sets the state of n1 in its next report and sends the list.
  void ReportN1(bool draining) {
    FindServer("n1").draining = draining;
    ++FindServer("n1").report_number;
    SendServerList();
  }
  // Whether any of the next flows is placed on n1.
  bool N1GetsFlows() {
    bool found = false;
    for (int i = 0; i < 20; ++i) {
      found = found || NameOf(Open(++port)) == "n1";
    }
    return found;
  }
  // Restores the store with `copy` as its server list.
  void RestoreServers(const std::vector<BackendServer>& copy) {
    Restore(*this);
    SendServerList(copy);
  }

  std::uint16_t port = 100;
};

// The copy may be from before a server began to drain. Until the server has
// reported again, it must not get new flows.
TEST_CASE("a draining server gets no flows after a restore lost its drain") {
  ServersFixture f;
  f.ReportN1(false);
  const std::vector<BackendServer> copy = f.servers;
  REQUIRE(f.N1GetsFlows());
  f.ReportN1(true);
  REQUIRE_FALSE(f.N1GetsFlows());
  f.RestoreServers(copy);
  CHECK_FALSE(f.N1GetsFlows());
  f.AdvanceTime(absl::Seconds(2));
  CHECK_FALSE(f.N1GetsFlows());
  SECTION("a later report of the server counts") {
    f.ReportN1(false);
    CHECK(f.N1GetsFlows());
  }
  SECTION("without a later report the store's entry counts in the end") {
    f.AdvanceTime(absl::Seconds(10));
    CHECK(f.N1GetsFlows());
  }
}

// The flows of a server that drains live on until the server has left.
TEST_CASE("a draining server that a restore lost keeps its flows") {
  ServersFixture f;
  std::vector<BackendServer> copy = f.servers;
  std::erase_if(copy, [](const BackendServer& s) { return s.name == "n1"; });
  FlowCookie cookie = 0;
  while (f.NameOf(cookie) != "n1") {
    cookie = f.Open(++f.port);
  }
  f.ReportN1(true);
  f.RestoreServers(copy);
  f.AdvanceTime(absl::Milliseconds(500));
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(f.port, cookie)).action == Action::kForward);
  SECTION("if the server reports again") {
    f.SendServerList();
    f.AdvanceTime(absl::Seconds(5));
  }
  SECTION("if its entry stays missing") {
    f.AdvanceTime(absl::Seconds(5));
  }
  CHECK(f.resets.empty());
  CHECK_FALSE(f.N1GetsFlows());
}

// A daemon that starts may be told of a draining server that a restore lost.
TEST_CASE("a draining server that other daemons know keeps its flows") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  BackendServer server = f.FindServer(f.NameOf(cookie));
  server.draining = true;
  std::erase_if(f.servers,
                [&](const BackendServer& s) { return s.name == server.name; });
  f.Restart();
  const std::vector<ServerReportPtr> told{std::make_shared<ServerReport>(
      ServerReport{1, server.name, true, server})};
  f.router->AddMissingServers(told, f.now);
  CHECK(f.Send(f.Data(1, cookie)).action == Action::kForward);
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.resets.empty());
}

TEST_CASE("a server that left before a restore does not return with the copy") {
  ServersFixture f;
  f.ReportN1(true);
  const std::vector<BackendServer> copy = f.servers;
  f.RemoveServer("n1");
  REQUIRE(f.EventsOf<ServerChanged>().back().presence == Presence::kGone);
  std::vector<BackendServer> ready = copy;
  ready[0].draining = false;
  --ready[0].report_number;
  f.RestoreServers(ready);
  CHECK_FALSE(f.N1GetsFlows());
  CHECK(f.EventsOf<ServerChanged>().back().presence == Presence::kGone);
}

// A daemon that starts after a restore does not find the server of a flow in
// the store. It reset the flow although the server lives.
TEST_CASE("flows of a missing server that other daemons know go on") {
  RouterFixture f;
  const FlowCookie cookie = f.Open(1);
  const BackendServer server = f.FindServer(f.NameOf(cookie));
  std::erase_if(f.servers,
                [&](const BackendServer& s) { return s.name == server.name; });
  f.Restart();
  REQUIRE(f.Send(f.Data(1, cookie)).action == Action::kDrop);
  const std::vector<ServerReportPtr> told{std::make_shared<ServerReport>(
      ServerReport{1, server.name, true, server})};
  f.router->AddMissingServers(told, f.now);
  const Decision decision = f.Send(f.Data(1, cookie));
  CHECK(decision.action == Action::kForward);
  CHECK(decision.server == server.address);
  f.Send(f.Data(1, cookie, 1101, 600, 0));
  f.AdvanceTime(absl::Seconds(5));
  CHECK(f.Send(f.Data(1, cookie, 1101, 600)).action == Action::kForward);
  CHECK(f.resets.empty());
  for (std::uint16_t port = 2; port < 20; ++port) {
    CHECK(f.Open(port) != cookie);
  }
  // The server reports again.
  f.servers.push_back(server);
  f.SendServerList();
  CHECK(f.EventsOf<ServerChanged>().back().presence == Presence::kListed);
}

// The copy may be from before a server was started again under the same name.
TEST_CASE(
    "flows of a restarted server survive a restore to before its restart") {
  ServersFixture f;
  const std::vector<BackendServer> copy = f.servers;
  f.FindServer("n1").incarnation += 1000;
  f.SendServerList();
  FlowCookie cookie = 0;
  while (f.NameOf(cookie) != "n1") {
    cookie = f.Open(++f.port);
  }
  f.RestoreServers(copy);
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.resets.empty());
  CHECK(f.Send(f.Data(f.port, cookie)).action == Action::kForward);
  CHECK(f.N1GetsFlows());
}

// A later start has the higher time, so a restart during the restore counts.
TEST_CASE("a server that restarts beside a restore loses its flows at once") {
  ServersFixture f;
  FlowCookie cookie = 0;
  while (f.NameOf(cookie) != "n1") {
    cookie = f.Open(++f.port);
  }
  f.FindServer("n1").incarnation += 1000;
  f.RestoreServers(f.servers);
  f.AdvanceTime(absl::Milliseconds(100));
  CHECK(f.resets.size() == 1);
}

}  // namespace
}  // namespace gcw::direct
