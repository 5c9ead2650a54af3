#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "tests/direct_balancer/daemon_fixture.h"
#include "tests/support/odd_values.h"

namespace gcw::direct_balancer {
namespace {

// One value of another writer among the entries of the servers ended every
// daemon (deep nesting), or stopped the news of all servers (no JSON), in lists
// as well as in watches, and in the messages to daemons that do not watch.
TEST_CASE("odd values among the servers stop neither daemons nor news") {
  DaemonFixture fixture;
  fixture.AddServer();
  std::vector<std::unique_ptr<Daemon>> daemons;
  daemons.push_back(fixture.StartDaemon(0));
  daemons.push_back(fixture.StartDaemon(1));
  for (std::uint32_t daemon = 0; daemon < daemons.size(); ++daemon) {
    REQUIRE(fixture.EventuallyPlacesOn(0, daemon, 1000));
  }
  int number = 0xff00;
  for (const test::OddValue& odd : test::OddValues()) {
    fixture.platform->PutRaw(fmt::format("servers/i-{:04x}", number++),
                             odd.text);
  }
  // The watch reports the odd values and then the new server.
  const std::size_t watched = fixture.AddServer();
  for (std::uint32_t daemon = 0; daemon < daemons.size(); ++daemon) {
    INFO("daemon " << daemon);
    CHECK(fixture.EventuallyPlacesOn(watched, daemon, 2000));
  }
  // Daemons that start now get them in a list.
  for (std::uint32_t daemon = 2; daemon < 4; ++daemon) {
    INFO("daemon " << daemon);
    daemons.push_back(fixture.StartDaemon(daemon));
    CHECK(fixture.EventuallyPlacesOn(watched, daemon, 3000));
  }
}

// A value that overwrites a server's entry names no server to use.
TEST_CASE("a server whose entry is overwritten gets no new flows") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  REQUIRE(fixture.EventuallyPlacesOn(0, 0, 1000));
  fixture.platform->PutRaw(DaemonFixture::ServerKey(0), "{\"zone\":\"\xff");
  const std::size_t other = fixture.AddServer();
  REQUIRE(fixture.EventuallyPlacesOn(other, 0, 2000));
  for (std::uint16_t port = 3000; port < 3020; ++port) {
    const auto received = fixture.OpenFlow(0, port);
    CHECK(received.server == other);
    // The caller opens the flow, so that the server does not count as lost.
    direct::Packet packet = fixture.MakeSyn(port);
    packet.syn = false;
    packet.cookie = received.packet.cookie;
    fixture.SendPacket(0, packet);
    CHECK(fixture.NextPacket().has_value());
  }
}

}  // namespace
}  // namespace gcw::direct_balancer
