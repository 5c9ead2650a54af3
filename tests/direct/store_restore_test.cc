#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

const Endpoint kNewRoute{0xc6120003, 443};

// Lets the fixture's revisions go on in the store's next epoch, from one that
// the store has given out before.
void Restore(RouterFixture& f, std::uint64_t revision = 1) {
  f.revision = MakeStoreVersion(EpochOf(f.revision) + 1, revision);
}

Configuration WithNewRoute(Configuration configuration) {
  ++configuration.version;
  configuration.routes.push_back({kNewRoute, "new", {{"photos", 1}}});
  return configuration;
}

// A restored store holds an older configuration until the operators have
// written theirs again. A confirmed configuration must not go out of force
// meanwhile.
TEST_CASE("a configuration that a restore brought back is not put in force") {
  RouterFixture f;
  const Configuration old = f.configuration;
  const Configuration latest = WithNewRoute(old);
  f.router->ApplyConfiguration(latest, ++f.revision);
  REQUIRE(f.Send(f.Syn(1, kNewRoute)).action == Action::kForward);
  for (std::size_t restores = 0; restores < 2; ++restores) {
    Restore(f);
    f.router->ApplyConfiguration(old, ++f.revision);
    CHECK(f.Send(f.Syn(2, kNewRoute)).action == Action::kForward);
    CHECK(f.EventsOf<OlderConfigurationIgnored>().size() == restores + 1);
  }
  // The operators write their configuration again, and then go on.
  f.router->ApplyConfiguration(latest, ++f.revision);
  CHECK(f.Send(f.Syn(3, kNewRoute)).action == Action::kForward);
  Configuration next = old;
  next.version = latest.version + 1;
  f.router->ApplyConfiguration(next, ++f.revision);
  CHECK(f.Send(f.Syn(4, kNewRoute)).action == Action::kReset);
}

TEST_CASE("without a restore the store's latest configuration is in force") {
  RouterFixture f;
  Configuration next = WithNewRoute(f.configuration);
  f.router->ApplyConfiguration(next, ++f.revision);
  next = f.configuration;
  next.version = 0;
  f.router->ApplyConfiguration(next, ++f.revision);
  CHECK(f.Send(f.Syn(1, kNewRoute)).action == Action::kReset);
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
  // The server reports again.
  f.SendServerList();
  f.AdvanceTime(absl::Seconds(5));
  CHECK(f.resets.empty());
  CHECK_FALSE(f.N1GetsFlows());
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
