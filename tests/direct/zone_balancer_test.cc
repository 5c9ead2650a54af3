#include "src/direct/zone_balancer.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace gcw::direct {
namespace {

constexpr std::array<const char*, 3> kZones{"a", "b", "c"};
constexpr char kService[] = "board";
constexpr std::uint32_t kSlots = 2;
constexpr int kServersPerZone = 40;
constexpr double kZoneSlots = kSlots * kServersPerZone;
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

// Three zones with forty servers each.
class Servers {
 public:
  Servers() : table_(absl::Seconds(2), absl::Seconds(10), &events_) {
    std::vector<ServerReportPtr> reports;
    for (std::uint32_t i = 0; i < kZones.size() * kServersPerZone; ++i) {
      BackendServer server;
      server.name = "s" + std::to_string(i);
      server.number = i + 1;
      server.service = kService;
      server.address = {0x0a000000 + i, 8080};
      server.zone = kZones[i % kZones.size()];
      server.slots = kSlots;
      reports.push_back(std::make_shared<ServerReport>(
          ServerReport{1, server.name, true, server}));
    }
    table_.ApplyList(reports, 1, kStart);
  }

  ServerTable& table() { return table_; }

 private:
  std::vector<Event> events_;
  ServerTable table_;
};

load::FleetFigures FiguresOf(const std::array<double, 3>& outstanding,
                             absl::Duration age = absl::Milliseconds(500)) {
  load::FleetFigures figures;
  figures.sum.daemons = 30;
  for (std::size_t i = 0; i < kZones.size(); ++i) {
    const load::NameHash zone = load::HashName(kZones[i]);
    figures.sum.zones.push_back(
        {.service = load::HashName(kService),
         .zone = zone,
         .outstanding = static_cast<std::uint32_t>(outstanding[i])});
    figures.coverage.push_back({zone, 10, age});
  }
  return figures;
}

// The share of new flows that daemons of zone "a" send to each zone at steady
// utilisations of the three zones.
class SteadyLoad {
 public:
  explicit SteadyLoad(const std::array<double, 3>& utilisation) {
    std::array<double, 3> outstanding{};
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      outstanding[i] = utilisation[i] * kZoneSlots;
    }
    load_.SetFleetPosition({30, 0, 10});
    load_.SetFleet(FiguresOf(outstanding), kStart);
  }

  std::array<double, 3> Shares(absl::Duration after = absl::ZeroDuration()) {
    balancer_.OnTick(servers_.table(), load_, zones_out_, kStart + after);
    constexpr int kDraws = 10'000;
    std::array<double, 3> shares{};
    for (int i = 0; i < kDraws; ++i) {
      const std::string_view zone = balancer_.ChooseZone(kService);
      shares[static_cast<std::size_t>(zone[0] - 'a')] += 1.0 / kDraws;
    }
    return shares;
  }

  Servers& servers() { return servers_; }
  FleetLoad& load() { return load_; }
  std::set<std::string, std::less<>>& zones_out() { return zones_out_; }

 private:
  Servers servers_;
  FleetLoad load_{"a"};
  std::set<std::string, std::less<>> zones_out_;
  ZoneBalancer balancer_{"a", 3};
};

// Flows between zones cost bytes and break when the zones are separated.
TEST_CASE("new flows stay in their zone while it has room") {
  CHECK(SteadyLoad({0.5, 0.1, 0.1}).Shares()[0] == Approx(1));
}

// Without overflow the callers of the busy zone wait and are rejected although
// other zones have room.
TEST_CASE("new flows beyond the capacity of their zone go to other zones") {
  const auto shares = SteadyLoad({1.2, 0.1, 0.5}).Shares();
  // The mean utilisation is 0.6, and the own zone may be 0.1 above it.
  CHECK(shares[0] == Approx(0.7 / 1.2).epsilon(0.05));
  // 0.75 and 0.35 of the slots are free up to a utilisation of 0.85.
  CHECK(shares[1] / shares[2] == Approx(0.75 / 0.35).epsilon(0.1));
}

// Guards against zones that exchange flows although neither has more room.
TEST_CASE("a zone that is hardly less utilised gets no overflow") {
  CHECK(SteadyLoad({0.8, 0.75, 0.75}).Shares()[0] == Approx(1));
  CHECK(SteadyLoad({3.0, 2.95, 2.9}).Shares()[0] == Approx(1));
}

// Guards against flows to zones whose servers may be lost or full.
TEST_CASE("a zone that is out of service or not heard from gets no overflow") {
  SteadyLoad load({1.2, 0.1, 0.1});
  SECTION("out of service") {
    load.zones_out().insert("b");
  }
  SECTION("its daemons are not heard from") {
    load::FleetFigures figures = FiguresOf({96, 8, 8});
    figures.coverage.erase(figures.coverage.begin() + 1);
    load.load().SetFleet(figures, kStart);
  }
  SECTION("its figures are too old") {
    load::FleetFigures figures = FiguresOf({96, 8, 8});
    figures.coverage[1].age = absl::Seconds(2);
    load.load().SetFleet(figures, kStart);
  }
  SECTION("its servers are not reachable") {
    for (const auto& entry : load.servers().table().entries()) {
      if (entry->server.zone == "b") {
        entry->reach.OnUnanswered(kStart);
      }
    }
  }
  const auto shares = load.Shares();
  CHECK(shares[1] == 0);
  CHECK(shares[2] > 0.3);
}

// Guards against a split that ignores how much room each other zone has.
TEST_CASE("without servers in their zone new flows go where there is room") {
  SteadyLoad load({0, 0.8, 0.3});
  load.zones_out().insert("a");
  const auto shares = load.Shares();
  CHECK(shares[0] == 0);
  CHECK(shares[2] > 5 * shares[1]);
}

// A daemon that hears from no other daemon must not send its callers away on
// the evidence of a few requests.
TEST_CASE("without figures new flows leave only an overloaded zone") {
  SteadyLoad load({0, 0, 0});
  load.load().SetFleet({}, kStart);
  load::Figures own;
  own.zones.push_back({.service = load::HashName(kService),
                       .zone = load::HashName("a"),
                       .outstanding = 7});
  load.load().SetOwn(own, kStart);
  CHECK(load.Shares()[0] == Approx(1));
  own.zones[0].outstanding = 20;
  load.load().SetOwn(own, kStart);
  CHECK(load.Shares(absl::Seconds(5))[0] < 0.01);
}

// Three zones whose callers ask at different rates, with one balancer for the
// daemons of each zone. Figures arrive every 250 ms. A part of the demand stays
// on flows that are open already.
class Fleet {
 public:
  Fleet(bool overflow, int delay_steps)
      : overflow_(overflow), delay_steps_(delay_steps) {
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      loads_.emplace_back(kZones[i]);
      loads_[i].SetFleetPosition({30, 0, 10});
      balancers_.emplace_back(kZones[i], i + 1);
    }
  }

  // Runs for `duration` with `demand` slots' worth of requests from the callers
  // of each zone, of which `pinned` are on flows that are open already.
  void Run(absl::Duration duration,
           const std::array<double, 3>& demand,
           const std::array<double, 3>& pinned) {
    for (const absl::Time end = now_ + duration; now_ < end;
         now_ += absl::Milliseconds(50)) {
      Step(demand, pinned);
    }
  }

  // The utilisation of each zone, and over the last second the difference
  // between the most and the least utilisation of the first zone.
  double utilisation(std::size_t zone) const {
    return outstanding_[zone] / kZoneSlots;
  }
  double swing() const {
    const auto [least, most] = std::minmax_element(
        first_zone_.end() -
            std::min<std::ptrdiff_t>(60, std::ssize(first_zone_)),
        first_zone_.end());
    return *most - *least;
  }

 private:
  void Step(const std::array<double, 3>& demand,
            const std::array<double, 3>& pinned) {
    std::array<double, 3> placed = pinned;
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      balancers_[i].OnTick(servers_.table(), loads_[i], {}, now_);
      constexpr int kDraws = 2000;
      for (int draw = 0; draw < kDraws; ++draw) {
        const std::string_view zone =
            overflow_ ? balancers_[i].ChooseZone(kService) : kZones[i];
        placed[static_cast<std::size_t>(zone[0] - 'a')] +=
            (demand[i] - pinned[i]) / kDraws;
      }
    }
    outstanding_ = placed;
    first_zone_.push_back(utilisation(0));
    history_.push_back(outstanding_);
    if (std::ssize(history_) > delay_steps_) {
      history_.pop_front();
    }
    if (++steps_ % 5 == 0) {
      for (FleetLoad& load : loads_) {
        load.SetFleet(
            FiguresOf(history_.front(), delay_steps_ * absl::Milliseconds(50)),
            now_);
      }
    }
  }

  const bool overflow_;
  const int delay_steps_;  // Age of the figures, in steps of 50 ms.
  Servers servers_;
  std::vector<FleetLoad> loads_;
  std::vector<ZoneBalancer> balancers_;
  std::array<double, 3> outstanding_{};
  std::deque<std::array<double, 3>> history_;
  std::vector<double> first_zone_;
  absl::Time now_ = kStart;
  int steps_ = 0;
};

// The callers of one zone ask for 1.3 times its capacity for a while, two
// thirds of it on new flows, and the fleet as a whole has room. Figures that
// arrive later than usual must not let the load swing between the zones.
TEST_CASE("a busy zone uses the room of the others during a burst") {
  const int delay_steps = GENERATE(6, 10, 16);
  CAPTURE(delay_steps);
  Fleet fleet(true, delay_steps);
  const std::array<double, 3> calm{0.4 * kZoneSlots, 0.4 * kZoneSlots,
                                   0.3 * kZoneSlots};
  const std::array<double, 3> calm_pinned{0.15 * kZoneSlots, 0.15 * kZoneSlots,
                                          0.1 * kZoneSlots};
  const std::array<double, 3> busy{1.3 * kZoneSlots, calm[1], calm[2]};
  const std::array<double, 3> busy_pinned{0.45 * kZoneSlots, calm_pinned[1],
                                          calm_pinned[2]};
  fleet.Run(absl::Seconds(5), calm, calm_pinned);
  CHECK(fleet.utilisation(0) == Approx(0.4));
  fleet.Run(absl::Seconds(3), busy, busy_pinned);
  CHECK(fleet.utilisation(0) < 0.9);
  CHECK(fleet.utilisation(1) < 0.85);
  CHECK(fleet.utilisation(2) < 0.85);
  fleet.Run(absl::Seconds(9), busy, busy_pinned);
  CHECK(fleet.utilisation(0) < 0.9);
  // The load must not swing back and forth between the zones.
  CHECK(fleet.swing() < 0.15);
  fleet.Run(absl::Seconds(5), calm, calm_pinned);
  CHECK(fleet.utilisation(0) == Approx(0.4).epsilon(0.03));

  Fleet without(false, delay_steps);
  without.Run(absl::Seconds(3), busy, busy_pinned);
  CHECK(without.utilisation(0) > 1.2);
}

}  // namespace
}  // namespace gcw::direct
