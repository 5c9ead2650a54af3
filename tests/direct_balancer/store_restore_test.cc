#include <catch2/catch.hpp>

#include "tests/direct_balancer/daemon_fixture.h"

namespace gcw::direct_balancer {
namespace {

constexpr std::uint16_t kFirstRoute = 8443;
constexpr std::uint16_t kSecondRoute = 9443;
constexpr std::uint16_t kThirdRoute = 7443;

// The configuration with this version number and a route on each of `ports`.
std::string ConfigurationOf(int version, std::vector<std::uint16_t> ports) {
  std::string routes;
  for (const std::uint16_t port : ports) {
    routes += fmt::format(
        R"({}{{"name":"r{}","host":"198.18.0.1","path_prefix":"/{}/",)"
        R"("service":"s"}})",
        routes.empty() ? "" : ",", port, port);
  }
  return fmt::format(
      R"({{"version":{},"routes":[{}],"services":[{{"name":"s"}}]}})", version,
      routes);
}

// Replaces the configuration on the platform, as the operators do.
void WriteConfiguration(DaemonFixture& fixture,
                        int version,
                        std::vector<std::uint16_t> ports) {
  const auto current = fixture.platform->Get("config/main");
  REQUIRE(current.ok());
  REQUIRE(fixture.platform
              ->Put("config/main", ConfigurationOf(version, std::move(ports)),
                    current.value().version)
              .ok());
}

// Opens flows to the route with this port until one reaches a server. Returns
// false after `timeout`.
bool RouteIsServed(DaemonFixture& fixture,
                   std::uint32_t daemon,
                   std::uint16_t route,
                   absl::Duration timeout = kTimeout) {
  static std::uint16_t caller_port = 20'000;
  const absl::Time deadline = absl::Now() + timeout;
  while (absl::Now() < deadline) {
    direct::Packet syn = fixture.MakeSyn(++caller_port);
    syn.flow.service.port = route;
    fixture.SendPacket(daemon, syn);
    if (fixture.NextPacket(absl::Milliseconds(50))) {
      return true;
    }
  }
  return false;
}

// The restored store assigns versions again. A daemon took the new changes for
// those that it had read under the same versions, and served the old
// configuration for good.
TEST_CASE("a change under a version that a restore gave out again is in force",
          "[known-red][!mayfail]") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  REQUIRE(RouteIsServed(fixture, 0, kFirstRoute));
  fixture.platform->SaveCopy();
  WriteConfiguration(fixture, 2, {kFirstRoute});
  WriteConfiguration(fixture, 3, {kFirstRoute, kSecondRoute});
  REQUIRE(RouteIsServed(fixture, 0, kSecondRoute));
  fixture.platform->Restore();
  WriteConfiguration(fixture, 3, {kFirstRoute, kSecondRoute});
  WriteConfiguration(fixture, 4, {kFirstRoute, kThirdRoute});
  CHECK(RouteIsServed(fixture, 0, kThirdRoute));
}

}  // namespace
}  // namespace gcw::direct_balancer
