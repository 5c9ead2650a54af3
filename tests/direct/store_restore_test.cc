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

}  // namespace
}  // namespace gcw::direct
