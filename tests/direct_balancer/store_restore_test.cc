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

// Waits until the daemon has the configuration with this version in force.
// Returns false after kTimeout.
bool IsInForce(const DaemonFixture& fixture,
               std::uint32_t daemon,
               int version) {
  return !fixture
              .MetricsWith(daemon, fmt::format("gcw_configuration_version {}\n",
                                               version))
              .empty();
}

// The restored store assigns versions again. A daemon took the new changes for
// those that it had read under the same versions, and served the old
// configuration for good.
TEST_CASE(
    "a change under a version that a restore gave out again is in force") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  REQUIRE(IsInForce(fixture, 0, 1));
  fixture.platform->SaveCopy();
  WriteConfiguration(fixture, 2, {kFirstRoute});
  WriteConfiguration(fixture, 3, {kFirstRoute, kSecondRoute});
  REQUIRE(IsInForce(fixture, 0, 3));
  fixture.platform->Restore();
  WriteConfiguration(fixture, 3, {kFirstRoute, kSecondRoute});
  WriteConfiguration(fixture, 4, {kFirstRoute, kThirdRoute});
  CHECK(IsInForce(fixture, 0, 4));
}

// The first packet of a flow to the service address of a route.
direct::Packet MakeSynTo(const DaemonFixture& fixture,
                         std::uint16_t port,
                         std::uint16_t route) {
  direct::Packet packet = fixture.MakeSyn(port);
  packet.flow.service.port = route;
  return packet;
}

// A restored store holds an older configuration until the operators have
// written theirs again. Packets must be routed by the confirmed one meanwhile.
TEST_CASE("packets are routed by the latest configuration after restores") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  REQUIRE(IsInForce(fixture, 0, 1));
  fixture.platform->SaveCopy();
  WriteConfiguration(fixture, 2, {kFirstRoute, kSecondRoute});
  REQUIRE(IsInForce(fixture, 0, 2));
  for (std::uint16_t restores = 1; restores <= 2; ++restores) {
    fixture.platform->Restore();
    absl::SleepFor(absl::Seconds(3));
    direct::Packet packet = MakeSynTo(fixture, 4000 + restores, kSecondRoute);
    fixture.SendPacket(0, packet);
    const auto received = fixture.NextPacket();
    REQUIRE(received.has_value());
    // The caller opens the flow, so that the server does not count as lost.
    packet.syn = false;
    packet.cookie = received->packet.cookie;
    fixture.SendPacket(0, packet);
    CHECK(fixture.NextPacket().has_value());
  }
  // The operators write their configuration again, and then go on.
  WriteConfiguration(fixture, 2, {kFirstRoute, kSecondRoute});
  WriteConfiguration(fixture, 3, {kFirstRoute});
  REQUIRE(IsInForce(fixture, 0, 3));
  fixture.SendPacket(0, MakeSynTo(fixture, 4010, kSecondRoute));
  CHECK(fixture.ResetArrives());
}

// A change that reached a daemon but was never confirmed to the operators may
// be lost in a restore. What they wrote then, under a lower number, was
// ignored.
TEST_CASE("a lower number that operators write after a restore is in force") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  REQUIRE(IsInForce(fixture, 0, 1));
  fixture.platform->SaveCopy();
  WriteConfiguration(fixture, 5, {kFirstRoute});
  REQUIRE(IsInForce(fixture, 0, 5));
  fixture.platform->Restore();
  // The daemon reads the copy.
  absl::SleepFor(absl::Seconds(3));
  REQUIRE(IsInForce(fixture, 0, 5));
  WriteConfiguration(fixture, 3, {kFirstRoute, kSecondRoute});
  CHECK(IsInForce(fixture, 0, 3));
}

// Until operators have written their configuration again, the restored store
// has an older one. A daemon that started then served it, although its peers
// had the later one in force.
TEST_CASE("a daemon that starts after a restore learns what its peers serve") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto first = fixture.StartDaemon(0);
  REQUIRE(IsInForce(fixture, 0, 1));
  fixture.platform->SaveCopy();
  WriteConfiguration(fixture, 2, {kFirstRoute, kSecondRoute});
  REQUIRE(IsInForce(fixture, 0, 2));
  fixture.platform->Restore();
  const auto second = fixture.StartDaemon(1);
  CHECK(IsInForce(fixture, 1, 2));
  WriteConfiguration(fixture, 3, {kFirstRoute});
  CHECK(IsInForce(fixture, 0, 3));
  CHECK(IsInForce(fixture, 1, 3));
}

// The entry of a living server can be missing from the store. A daemon that
// started then did not know the servers of the flows that came to it.
TEST_CASE("a daemon that starts forwards flows of a server without an entry") {
  DaemonFixture fixture;
  const std::size_t server = fixture.AddServer();
  const auto first = fixture.StartDaemon(0);
  const auto opened = fixture.OpenFlow(0, 4001);
  fixture.RemoveServer(server);
  absl::SleepFor(absl::Milliseconds(500));
  const auto second = fixture.StartDaemon(1);
  direct::Packet data = fixture.MakeSyn(4001);
  data.syn = false;
  data.cookie = opened.packet.cookie;
  bool forwarded = false;
  for (int i = 0; i < 20 && !forwarded; ++i) {
    fixture.SendPacket(1, data);
    forwarded = fixture.NextPacket(absl::Milliseconds(100)).has_value();
  }
  CHECK(forwarded);
}

}  // namespace
}  // namespace gcw::direct_balancer
