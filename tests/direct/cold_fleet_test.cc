#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "gcw/direct/direct_router.h"
#include "src/direct/cold_limiter.h"

namespace gcw::direct {
namespace {

constexpr Endpoint kRoute{0xc6120001, 8443};
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// The largest number of `times` within any span of one second. Precondition:
// `times` is sorted.
std::size_t MostInASecond(const std::vector<absl::Time>& times) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= absl::Seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Daemons that all receive new flows all the time and share a single server,
// which is cold (in slow start).
class ColdFleet {
 public:
  ColdFleet(std::uint32_t daemons, double flows_per_second) {
    BackendServer server;
    server.name = "cold";
    server.number = 1;
    server.service = "board";
    server.address = {0x0a000001, 8080};
    server.zone = "near";
    server.cold_for = absl::Seconds(60);
    const std::vector<ServerReportPtr> reports{std::make_shared<ServerReport>(
        ServerReport{1, server.name, true, server})};
    Configuration configuration;
    configuration.routes = {{kRoute, "board", {{"board", 1}}}};
    configuration.services = {{"board", 2000, flows_per_second}};
    for (std::uint32_t i = 0; i < daemons; ++i) {
      auto made = DirectRouter::Make({.zone = "near", .seed = i + 1});
      REQUIRE(made.ok());
      made.value()->ApplyConfiguration(configuration, 1, kStart);
      made.value()->ApplyZonesOut({}, 1, absl::UnixEpoch());
      made.value()->ApplyServerList(reports, 1, kStart);
      made.value()->SetFleetPosition({daemons, i}, kStart);
      routers_.push_back(std::move(made).value());
    }
  }

  // Opens a new flow at each daemon every 20 ms. Returns the times at which
  // flows were placed on the server.
  std::vector<absl::Time> OpenFlows(absl::Duration duration) {
    std::vector<absl::Time> placed;
    std::uint16_t port = 1;
    for (absl::Time now = kStart; now < kStart + duration;
         now += absl::Milliseconds(20)) {
      for (const auto& router : routers_) {
        Packet packet;
        packet.flow = {{0x64400007, port++}, kRoute};
        packet.syn = true;
        if (router->OnPacket(packet, now).action == Action::kForward) {
          placed.push_back(now);
        }
        router->TakeEvents();
      }
    }
    return placed;
  }

 private:
  std::vector<std::unique_ptr<DirectRouter>> routers_;
};

// New flows per second to a cold server that the users tolerate: one and a half
// times the configured rate, plus five.
std::size_t Tolerated(double flows_per_second) {
  return static_cast<std::size_t>(1.5 * flows_per_second + 5);
}

// Each daemon counts only its own flows, so the rate limit of a cold server
// holds only if the quotas of all daemons add up to it.
TEST_CASE("a fleet keeps the rate limit of a cold server in any second") {
  for (const std::uint32_t daemons : {1U, 4U, 26U, 100U}) {
    for (const double rate : {0.0, 4.0, 10.0, 40.0}) {
      CAPTURE(daemons, rate);
      ColdFleet fleet(daemons, rate);
      const auto placed = fleet.OpenFlows(absl::Seconds(5));
      CHECK(MostInASecond(placed) <= Tolerated(rate));
    }
  }
}

TEST_CASE("a cold server gets most of its rate limit") {
  for (const std::uint32_t daemons : {1U, 4U, 26U}) {
    CAPTURE(daemons);
    ColdFleet fleet(daemons, 10);
    const auto placed = fleet.OpenFlows(absl::Seconds(10));
    CHECK(placed.size() >= 80);
  }
}

// A daemon that does not know the other daemons yet would use the whole rate
// limit of a cold server itself.
TEST_CASE("cold servers get no flows before the fleet is known") {
  ColdFleet fleet(26, 10);
  CHECK(fleet.OpenFlows(absl::Milliseconds(900)).empty());
}

TEST_CASE("daemons' quotas of a server add up and differ by at most one") {
  constexpr std::uint32_t kDaemons = 26;
  for (const FlowCookie server : {7U, 1000U, 4'000'000'000U}) {
    std::size_t total = 0;
    for (std::uint32_t rank = 0; rank < kDaemons; ++rank) {
      ColdLimiter limiter;
      limiter.SetFleetPosition({kDaemons, rank}, kStart);
      const absl::Time now = kStart + absl::Seconds(2);
      std::size_t part = 0;
      while (limiter.CanAccept(server, 30, now)) {
        limiter.RecordFlow(server, now);
        ++part;
      }
      CHECK((part == 1 || part == 2));
      total += part;
    }
    CHECK(total == 30);
  }
}

}  // namespace
}  // namespace gcw::direct
