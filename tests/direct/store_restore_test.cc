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

}  // namespace
}  // namespace gcw::direct
