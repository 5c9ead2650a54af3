// Guards against new flows for cold servers because a zone, a route or the
// daemon itself was known to be back before the reports that the servers are
// cold had been read: each kind of state is read on its own.

#include <catch2/catch.hpp>
#include <optional>

#include "gcw/base/store_version.h"
#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

constexpr absl::Duration kColdTime = absl::Seconds(2);
// What the router lets the whole fleet send to a cold server in a second.
constexpr int kColdFlows = 3;

struct NewerStateFixture : RouterFixture {
  NewerStateFixture() {
    for (Service& service : configuration.services) {
      service.cold_time = kColdTime;
    }
    Restart();
    router->SetFleetPosition({.daemons = 1, .rank = 0}, now);
    AdvanceTime(absl::Seconds(2));
    router->TakeWantedServersVersion();
  }

  void TakeOut(std::vector<std::string> zones) {
    router->ApplyZonesOut(zones, ++revision, now);
    AdvanceTime(absl::Milliseconds(100));
  }
  // How many of 60 new flows go to servers of `zone`, within a short time.
  int PlacedIn(std::string_view zone, const Endpoint& route = kBoard) {
    int placed = 0;
    for (int i = 0; i < 60; ++i) {
      const Decision decision = Send(Syn(++port, route));
      placed += decision.action == Action::kForward &&
                FindServer(NameOf(decision.cookie)).zone == zone;
    }
    return placed;
  }
  void ReportCold(std::string_view zone) {
    for (BackendServer& server : servers) {
      if (server.zone == zone) {
        server.cold_for = kColdTime;
      }
    }
    SendServerList();
  }

  std::uint16_t port = 100;
};

// The case of the review: cold servers got flows as warm ones for 0.4 s.
TEST_CASE("a zone that is back waits for the reports of its servers") {
  NewerStateFixture f;
  f.TakeOut({"near"});
  REQUIRE(f.PlacedIn("near") == 0);
  f.TakeOut({});
  const Version returned = f.revision;
  CHECK(f.PlacedIn("near") == 0);
  SECTION("which say that they are warm") {
    f.router->OnServersInclude(returned, f.now);
    CHECK(f.PlacedIn("near") > 30);
  }
  SECTION("which say that they are cold") {
    f.ReportCold("near");
    CHECK(f.PlacedIn("near") == 0);
    f.AdvanceTime(kColdTime + absl::Milliseconds(100));
    CHECK(f.PlacedIn("near") > 30);
  }
  SECTION("no longer than they can be cold") {
    f.AdvanceTime(kColdTime);
    CHECK(f.PlacedIn("near") > 30);
  }
  SECTION("which are read without delay, once") {
    CHECK(f.router->TakeWantedServersVersion() == returned);
    CHECK(f.router->TakeWantedServersVersion() == std::nullopt);
  }
}

// The times in two reports were compared without that of the reports.
TEST_CASE("a server may become cold again for as long as before") {
  NewerStateFixture f;
  f.ReportCold("near");
  f.AdvanceTime(kColdTime + absl::Milliseconds(100));
  REQUIRE(f.PlacedIn("near") > 30);
  f.SendServerList();
  CHECK(f.PlacedIn("near") == 0);
}

TEST_CASE("a zone whose reports are as new as its return serves at once") {
  NewerStateFixture f;
  f.TakeOut({"near"});
  const Version returned = f.revision + 1;
  f.revision = returned;
  f.SendServerList();
  f.router->ApplyZonesOut({}, returned, f.now);
  CHECK(f.PlacedIn("near") > 30);
  CHECK(f.router->TakeWantedServersVersion() == std::nullopt);
}

// While nobody else serves, what is left to callers is the rate of cold
// servers.
TEST_CASE("servers of a zone that is back get flows at the cold rate") {
  NewerStateFixture f;
  f.TakeOut({"near", "far"});
  f.TakeOut({"far"});
  CHECK(f.PlacedIn("near") == 2 * kColdFlows);
}

// The server registers while the list that the daemon reads is under way.
TEST_CASE("a server that is listed before the awaited reports may be cold") {
  NewerStateFixture f;
  f.TakeOut({"near"});
  f.TakeOut({});
  const Version returned = f.revision;
  f.revision = returned - 2;
  f.servers.push_back(RouterFixture::Server("n3", 9, "board", "near"));
  f.SendServerList();
  CHECK(f.PlacedIn("near") == 0);
}

TEST_CASE("a zone that a restore had put out waits at the end of its grace") {
  NewerStateFixture f;
  f.TakeOut({"near"});
  f.revision = MakeStoreVersion(1, 1);
  f.SendServerList();
  f.TakeOut({});
  CHECK(f.PlacedIn("near") == 0);
  f.AdvanceTime(absl::Seconds(11));
  CHECK(f.PlacedIn("near") == 0);
  CHECK(f.router->TakeWantedServersVersion() == f.revision);
  f.router->OnServersInclude(f.revision, f.now);
  CHECK(f.PlacedIn("near") > 30);
}

// The restored list may lack the reports that the servers are cold, until they
// report again.
TEST_CASE("a list that was restored does not prove that servers are warm") {
  NewerStateFixture f;
  f.TakeOut({"near"});
  SECTION("if the zone was back before the restore") {
    f.TakeOut({});
    f.revision = MakeStoreVersion(1, 1);
    f.SendServerList();
  }
  SECTION("if it is back after it") {
    f.revision = MakeStoreVersion(1, 1);
    f.SendServerList();
    f.TakeOut({"near"});
    f.TakeOut({});
    f.router->OnServersInclude(f.revision, f.now);
  }
  CHECK(f.PlacedIn("near") == 0);
  f.AdvanceTime(kColdTime + absl::Milliseconds(100));
  CHECK(f.PlacedIn("near") > 30);
}

TEST_CASE(
    "a service that gets its first route waits for its servers' reports") {
  NewerStateFixture f;
  f.configuration.version = 2;
  const Route photos = f.configuration.routes.back();
  f.configuration.routes.pop_back();
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.configuration.version = 3;
  f.configuration.routes.push_back(photos);
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  CHECK(f.PlacedIn("near", kPhotos) == kColdFlows);
  CHECK(f.router->TakeWantedServersVersion() == f.revision);
  f.router->OnServersInclude(f.revision, f.now);
  CHECK(f.PlacedIn("near", kPhotos) > 30);
}

// Servers that get flows all the time must not lose any.
TEST_CASE("a state that gives no server its flows back limits none") {
  NewerStateFixture f;
  SECTION("a zone goes out") {
    f.TakeOut({"far"});
  }
  SECTION("a service gets another route") {
    f.configuration.version = 2;
    f.configuration.routes.push_back(
        {{0xc6120003, 443}, "third", {{"board", 1}}});
    f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  }
  SECTION("a target latency changes") {
    f.configuration.version = 2;
    f.configuration.routes[0].target_latency = absl::Milliseconds(70);
    f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  }
  CHECK(f.PlacedIn("near") > 30);
  CHECK(f.router->TakeWantedServersVersion() == std::nullopt);
}

// A daemon that starts may get the list from a peer that reads it later than
// the zones.
TEST_CASE("a daemon that starts with an older list limits all servers") {
  NewerStateFixture f;
  auto made = DirectRouter::Make({.zone = "near", .seed = 7});
  f.router = std::move(made).value();
  f.router->SetFleetPosition({.daemons = 1, .rank = 0}, f.now);
  f.SendServerList();
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.router->ApplyZonesOut({}, ++f.revision, f.now);
  f.AdvanceTime(absl::Milliseconds(1100));
  CHECK(f.PlacedIn("near") + f.PlacedIn("far") <= 4 * kColdFlows);
  CHECK(f.router->TakeWantedServersVersion() == f.revision);
  f.router->OnServersInclude(f.revision, f.now);
  CHECK(f.PlacedIn("near") > 30);
}

}  // namespace
}  // namespace gcw::direct
