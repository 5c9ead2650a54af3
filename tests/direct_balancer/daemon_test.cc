#include <httplib.h>

#include <catch2/catch.hpp>
#include <thread>

#include "tests/direct_balancer/world.h"

namespace gcw::direct_balancer {
namespace {

using fake_platform::Outage;

int ReadyStatus(const Settings& settings) {
  httplib::Client client(IpToString(settings.ready.ip), settings.ready.port);
  const auto answer = client.Get("/ready");
  return answer ? answer->status : 0;
}

// Waits until the daemon is ready; whether it became so.
bool BecomesReady(const Settings& settings) {
  const absl::Time until = absl::Now() + kPatience;
  while (absl::Now() < until) {
    if (ReadyStatus(settings) == 200) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return false;
}

TEST_CASE("a packet goes to a server with its number and a cookie") {
  World world;
  world.AddServer();
  const auto daemon = world.Start(0);
  const World::Arrival arrival = world.Open(0, 1000);
  CHECK(arrival.number == 1);
  CHECK(arrival.packet.cookie != 0);
  CHECK(arrival.packet.syn);
  CHECK(ReadyStatus(world.SettingsOf(0)) == 200);
}

TEST_CASE("a restarted daemon and another one find the server by cookie") {
  World world;
  for (int i = 0; i < 4; ++i) {
    world.AddServer();
  }
  auto daemon = world.Start(0);
  const World::Arrival first = world.Open(0, 1000);
  daemon.reset();
  daemon = world.Start(0);
  const auto other = world.Start(1);
  REQUIRE(BecomesReady(world.SettingsOf(0)));
  REQUIRE(BecomesReady(world.SettingsOf(1)));
  direct::Packet packet = world.Syn(1000);
  packet.syn = false;
  packet.cookie = first.packet.cookie;
  for (const std::uint32_t through : {0U, 1U}) {
    world.Send(through, packet);
    const auto arrival = world.Next();
    REQUIRE(arrival.has_value());
    CHECK(arrival->server == first.server);
  }
}

TEST_CASE("a daemon that starts while the platform is away asks its peers") {
  World world;
  world.AddServer();
  const auto first = world.Start(0);
  world.Open(0, 1000);
  for (const Outage outage : {Outage::kRefusing, Outage::kSilent}) {
    world.platform->SetOutage(outage);
    const auto second = world.Start(1);
    CHECK(BecomesReady(world.SettingsOf(1)));
    CHECK(world.Open(1, 2000).number == 1);
  }
}

TEST_CASE("a daemon alone without the platform is not ready") {
  World world;
  world.AddServer();
  world.platform->SetOutage(Outage::kRefusing);
  const auto daemon = world.Start(0);
  world.Send(0, world.Syn(1000));
  CHECK_FALSE(world.Next(absl::Milliseconds(300)).has_value());
  CHECK(ReadyStatus(world.SettingsOf(0)) == 503);
  world.platform->SetOutage(Outage::kNone);
  CHECK(BecomesReady(world.SettingsOf(0)));
}

TEST_CASE("a daemon that the platform refuses hears changes from another one") {
  World world;
  world.AddServer();
  const auto first = world.Start(0);
  const auto second = world.Start(1);
  world.Open(1, 1000);
  world.platform->SetPartitioned(kDaemonIp + 1, true);
  absl::SleepFor(absl::Seconds(1));
  const std::size_t added = world.AddServer();
  CHECK(world.PlacesOn(added, 1, 2000, 2100));
}

TEST_CASE("history that is gone is read anew") {
  World world;
  world.AddServer();
  const auto daemon = world.Start(0);
  world.Open(0, 1000);
  world.platform->SetWatchStall(true);
  const std::size_t added = world.AddServer();
  world.platform->Compact();
  world.platform->SetWatchStall(false);
  CHECK(world.PlacesOn(added, 0, 2000, 2200));
}

TEST_CASE("an address without a route is answered with a reset") {
  World world;
  world.AddServer();
  const auto daemon = world.Start(0);
  world.Open(0, 1000);
  direct::Packet packet = world.Syn(1001);
  packet.flow.service.port = 1;
  world.Send(0, packet);
  CHECK(world.ResetArrives());
}

TEST_CASE("entries of other writers name no server, the others hold") {
  World world;
  world.AddServer();
  REQUIRE(world.platform->Put("servers/i-00ff", R"("noise")", 0).ok());
  REQUIRE(world.platform
              ->Put("servers/i-00fe", R"({"service":"s","state":"odd"})", 0)
              .ok());
  const auto daemon = world.Start(0);
  for (std::uint16_t port = 1000; port < 1010; ++port) {
    CHECK(world.Open(0, port).number == 1);
  }
}

TEST_CASE("a leaving daemon says so and carries packets until none come") {
  World world;
  world.AddServer();
  const auto daemon = world.Start(0);
  const World::Arrival first = world.Open(0, 1000);
  const absl::Time told = absl::Now();
  std::thread leave([&] { daemon->Shutdown(15); });
  absl::SleepFor(absl::Milliseconds(200));
  CHECK(ReadyStatus(world.SettingsOf(0)) == 503);
  direct::Packet packet = world.Syn(1000);
  packet.syn = false;
  packet.cookie = first.packet.cookie;
  world.Send(0, packet);
  CHECK(world.Next().has_value());
  leave.join();
  CHECK(absl::Now() - told < absl::Seconds(3));
  CHECK(absl::Now() - told > absl::Seconds(1));
}

TEST_CASE("metrics name packets, calls and servers") {
  World world;
  world.AddServer();
  const auto daemon = world.Start(0);
  world.Open(0, 1000);
  absl::SleepFor(absl::Milliseconds(1200));
  const Settings settings = world.SettingsOf(0);
  httplib::Client client(IpToString(settings.metrics.ip),
                         settings.metrics.port);
  const auto answer = client.Get("/metrics");
  REQUIRE(answer);
  CHECK(answer->body.find("gcw_packets_total{reason=\"placed\"} 1") !=
        std::string::npos);
  CHECK(answer->body.find("gcw_daemons 1") != std::string::npos);
  CHECK(answer->body.find("gcw_state_age_seconds{feed=\"servers\"}") !=
        std::string::npos);
  CHECK(answer->body.find("gcw_server_flows{server=\"i-0001\"") !=
        std::string::npos);
  CHECK(answer->body.find("gcw_platform_calls_total{call=\"list servers/\","
                          "result=\"ok\"}") != std::string::npos);
}

TEST_CASE("a taken port is an error that names it") {
  World world;
  const auto first = world.Start(0);
  const auto second = Daemon::Make(world.SettingsOf(0), "/nowhere");
  REQUIRE_FALSE(second.ok());
  CHECK(second.error().code == ResultCode::kBindFailed);
}

}  // namespace
}  // namespace gcw::direct_balancer
