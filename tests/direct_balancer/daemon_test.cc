#include <httplib.h>

#include <catch2/catch.hpp>
#include <thread>

#include "tests/direct_balancer/daemon_fixture.h"

namespace gcw::direct_balancer {
namespace {

using fake_platform::Outage;

int ReadyStatus(const Settings& settings) {
  httplib::Client client(IpToString(settings.ready.ip), settings.ready.port);
  const auto answer = client.Get("/ready");
  return answer ? answer->status : 0;
}

// Waits for the daemon to become ready. Returns false after kTimeout.
bool BecomesReady(const Settings& settings) {
  const absl::Time deadline = absl::Now() + kTimeout;
  while (absl::Now() < deadline) {
    if (ReadyStatus(settings) == 200) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return false;
}

TEST_CASE("a forwarded packet carries the server's number and a cookie") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  const DaemonFixture::ReceivedPacket received = fixture.OpenFlow(0, 1000);
  CHECK(received.number == 1);
  CHECK(received.packet.cookie != 0);
  CHECK(received.packet.syn);
  CHECK(ReadyStatus(fixture.SettingsOf(0)) == 200);
}

// Daemons share no flow state: a daemon that did not place a flow must find its
// server by the cookie in the packets, or every restart of a daemon would break
// the flows through it.
TEST_CASE("restarted and other daemons find a flow's server by its cookie") {
  DaemonFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.AddServer();
  }
  auto daemon = fixture.StartDaemon(0);
  const DaemonFixture::ReceivedPacket first = fixture.OpenFlow(0, 1000);
  daemon.reset();
  daemon = fixture.StartDaemon(0);
  const auto other = fixture.StartDaemon(1);
  REQUIRE(BecomesReady(fixture.SettingsOf(0)));
  REQUIRE(BecomesReady(fixture.SettingsOf(1)));
  direct::Packet packet = fixture.MakeSyn(1000);
  packet.syn = false;
  packet.cookie = first.packet.cookie;
  for (const std::uint32_t daemon_index : {0U, 1U}) {
    fixture.SendPacket(daemon_index, packet);
    const auto received = fixture.NextPacket();
    REQUIRE(received.has_value());
    CHECK(received->server == first.server);
  }
}

TEST_CASE("a daemon that starts during a platform outage asks its peers") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto first = fixture.StartDaemon(0);
  fixture.OpenFlow(0, 1000);
  for (const Outage outage : {Outage::kRefusing, Outage::kSilent}) {
    fixture.platform->SetOutage(outage);
    const auto second = fixture.StartDaemon(1);
    CHECK(BecomesReady(fixture.SettingsOf(1)));
    CHECK(fixture.OpenFlow(1, 2000).number == 1);
  }
}

TEST_CASE("a daemon without the platform and without peers is not ready") {
  DaemonFixture fixture;
  fixture.AddServer();
  fixture.platform->SetOutage(Outage::kRefusing);
  const auto daemon = fixture.StartDaemon(0);
  fixture.SendPacket(0, fixture.MakeSyn(1000));
  CHECK_FALSE(fixture.NextPacket(absl::Milliseconds(300)).has_value());
  CHECK(ReadyStatus(fixture.SettingsOf(0)) == 503);
  fixture.platform->SetOutage(Outage::kNone);
  CHECK(BecomesReady(fixture.SettingsOf(0)));
}

// Only one daemon per zone watches the platform. A daemon that is partitioned
// from the platform must get changes from the other one; if it was the watcher
// itself, the other one must first take over.
TEST_CASE("a daemon cut off from the platform gets changes from its peer") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto first = fixture.StartDaemon(0);
  const auto second = fixture.StartDaemon(1);
  fixture.OpenFlow(1, 1000);
  fixture.platform->SetPartitioned(kDaemonIp + 1, true);
  absl::SleepFor(absl::Seconds(1));
  const std::size_t added = fixture.AddServer();
  CHECK(fixture.EventuallyPlacesOn(added, 1, 2000));
}

// The platform drops old events while a watch is stalled, so the watch cannot
// continue and the daemon must list all objects again.
TEST_CASE("a daemon lists again after the platform compacted its events") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  fixture.OpenFlow(0, 1000);
  fixture.platform->SetWatchStall(true);
  const std::size_t added = fixture.AddServer();
  fixture.platform->Compact();
  fixture.platform->SetWatchStall(false);
  CHECK(fixture.EventuallyPlacesOn(added, 0, 2000));
}

TEST_CASE("a packet to an address without a route is answered with a reset") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  fixture.OpenFlow(0, 1000);
  direct::Packet packet = fixture.MakeSyn(1001);
  packet.flow.service.port = 1;
  fixture.SendPacket(0, packet);
  CHECK(fixture.ResetArrives());
}

// Other programs may write entries of their own under the prefix for servers.
TEST_CASE("undecodable server entries do not affect the other servers") {
  DaemonFixture fixture;
  fixture.AddServer();
  REQUIRE(fixture.platform->Put("servers/i-00ff", R"("noise")", 0).ok());
  REQUIRE(fixture.platform
              ->Put("servers/i-00fe", R"({"service":"s","state":"odd"})", 0)
              .ok());
  const auto daemon = fixture.StartDaemon(0);
  for (std::uint16_t port = 1000; port < 1010; ++port) {
    CHECK(fixture.OpenFlow(0, port).number == 1);
  }
}

// A daemon that stopped forwarding before the routers have moved its flows
// would break those flows.
TEST_CASE("a daemon that shuts down is not ready but forwards packets") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  const DaemonFixture::ReceivedPacket first = fixture.OpenFlow(0, 1000);
  const absl::Time start = absl::Now();
  std::thread leave([&] { daemon->Shutdown(15); });
  absl::SleepFor(absl::Milliseconds(200));
  CHECK(ReadyStatus(fixture.SettingsOf(0)) == 503);
  direct::Packet packet = fixture.MakeSyn(1000);
  packet.syn = false;
  packet.cookie = first.packet.cookie;
  fixture.SendPacket(0, packet);
  CHECK(fixture.NextPacket().has_value());
  leave.join();
  CHECK(absl::Now() - start < absl::Seconds(3));
  CHECK(absl::Now() - start > absl::Seconds(1));
}

TEST_CASE("metrics name packets, calls and servers") {
  DaemonFixture fixture;
  fixture.AddServer();
  const auto daemon = fixture.StartDaemon(0);
  fixture.OpenFlow(0, 1000);
  // OpenFlow() sends further copies if the daemon is slow, so the test counts
  // those that arrive.
  fixture.SendPacket(0, fixture.MakeSyn(1000));
  int placed = 1;
  while (fixture.NextPacket(absl::Milliseconds(200))) {
    ++placed;
  }
  // The daemon publishes the state of its servers once per second.
  const std::string text =
      fixture.MetricsWith(0, "gcw_server_flows{server=\"i-0001\"");
  CHECK(text.find(fmt::format("gcw_packets_total{{reason=\"placed\"}} {}\n",
                              placed)) != std::string::npos);
  CHECK(text.find("gcw_daemons 1\n") != std::string::npos);
  CHECK(text.find("gcw_state_age_seconds{feed=\"servers\"}") !=
        std::string::npos);
  CHECK(text.find("gcw_platform_calls_total{call=\"list servers/\","
                  "result=\"ok\"}") != std::string::npos);
}

// A daemon whose ports another one still held ended with kBindFailed.
TEST_CASE("a daemon whose ports are in use starts once they are free") {
  DaemonFixture fixture;
  auto first = fixture.StartDaemon(0);
  const auto second = Daemon::Make(fixture.SettingsOf(0), "/nowhere");
  REQUIRE(second.ok());
  CHECK(second.value()->next_start_attempt() < absl::InfiniteFuture());
  REQUIRE(second.value()->ContinueStart().ok());
  CHECK(second.value()->next_start_attempt() < absl::InfiniteFuture());
  first.reset();
  const absl::Time deadline = absl::Now() + kTimeout;
  while (second.value()->next_start_attempt() < absl::InfiniteFuture()) {
    REQUIRE(absl::Now() < deadline);
    REQUIRE(second.value()->ContinueStart().ok());
    absl::SleepFor(absl::Milliseconds(10));
  }
  CHECK_FALSE(fixture.MetricsWith(0, "gcw_start_delays_total").empty());
}

// An address that is not of this machine needs a person: the daemon tried it
// for ever, or its error did not name the field.
TEST_CASE("an address of another machine fails with kBindFailed in the end") {
  DaemonFixture fixture;
  Settings settings = fixture.SettingsOf(0);
  settings.ready.ip = 0xc6120001;
  const auto daemon = Daemon::Make(settings, "/nowhere");
  REQUIRE(daemon.ok());
  const absl::Time deadline = absl::Now() + absl::Seconds(15);
  Status started = OkStatus();
  while (started.ok()) {
    REQUIRE(absl::Now() < deadline);
    absl::SleepFor(absl::Milliseconds(50));
    started = daemon.value()->ContinueStart();
  }
  CHECK(started.error().code == ResultCode::kBindFailed);
  CHECK(started.error().field == "ready");
  CHECK(started.error().message.find("198.18.0.1") != std::string::npos);
}

}  // namespace
}  // namespace gcw::direct_balancer
