#include "src/direct/fleet_load.h"

#include <catch2/catch.hpp>

namespace gcw::direct {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

load::Figures Figures(std::uint32_t near, std::uint32_t far) {
  load::Figures figures;
  figures.zones = {{.service = load::HashName("board"),
                    .zone = load::HashName("near"),
                    .outstanding = near},
                   {.service = load::HashName("board"),
                    .zone = load::HashName("far"),
                    .outstanding = far}};
  return figures;
}

load::FleetFigures FleetFigures(std::uint32_t near, std::uint32_t far) {
  return {.sum = Figures(near, far),
          .coverage = {{load::HashName("near"), 10, absl::Milliseconds(400)},
                       {load::HashName("far"), 10, absl::Milliseconds(400)}}};
}

FleetLoad MakeLoad() {
  FleetLoad load("near");
  load.SetFleetPosition({20, 3, 10});
  return load;
}

// Guards against figures of another service or zone in the sum.
TEST_CASE("the load of a zone is that of all daemons") {
  FleetLoad load = MakeLoad();
  load.SetOwn(Figures(3, 1), kStart);
  load.SetFleet(FleetFigures(40, 20), kStart);
  CHECK(load.fresh(kStart));
  CHECK(load.Outstanding("board", "near", kStart) == 40);
  CHECK(load.Outstanding("board", "far", kStart) == 20);
  CHECK(load.Outstanding("board", kStart) == 60);
  CHECK(load.Outstanding("photos", "near", kStart) == 0);
}

// A daemon that is cut off from the others must neither use their old figures
// nor take its own requests for those of the whole fleet.
TEST_CASE("without recent figures the daemon's own load is scaled") {
  FleetLoad load = MakeLoad();
  load.SetFleet(FleetFigures(40, 20), kStart);
  const absl::Time later = kStart + absl::Seconds(2);
  load.SetOwn(Figures(3, 1), later);
  CHECK_FALSE(load.fresh(later));
  CHECK(load.Outstanding("board", "near", later) == 30);
  CHECK(load.Outstanding("board", "far", later) == std::nullopt);
  CHECK(load.Outstanding("board", later) == 80);
}

// Guards against a zone that seems to have room because some of its daemons are
// not heard from.
TEST_CASE("figures that lack daemons of the own zone are scaled up") {
  FleetLoad load = MakeLoad();
  load::FleetFigures figures = FleetFigures(32, 20);
  figures.coverage[0].daemons = 8;
  load.SetFleet(figures, kStart);
  CHECK(load.Outstanding("board", "near", kStart) == 40);
  figures.coverage[0].daemons = 5;
  load.SetFleet(figures, kStart);
  CHECK(load.Outstanding("board", "near", kStart) == 64);
}

// While few daemons of a fleet send their load, as during an upgrade, their sum
// would make the fleet look idle and switch admission control off.
TEST_CASE("figures of a minority of the daemons are not used") {
  FleetLoad load = MakeLoad();
  load.SetOwn(Figures(4, 1), kStart);
  load::FleetFigures figures = FleetFigures(8, 2);
  figures.coverage[0].daemons = 2;
  figures.coverage[1].daemons = 2;
  load.SetFleet(figures, kStart);
  CHECK_FALSE(load.fresh(kStart));
  CHECK(load.Outstanding("board", "near", kStart) == 40);
  CHECK(load.Outstanding("board", kStart) == 100);
}

// Figures of the fleet are half a second old, in which a burst fills the queues
// of all servers.
TEST_CASE("a sharp rise of the daemon's own load counts before it is told") {
  FleetLoad load = MakeLoad();
  load.SetOwn(Figures(3, 0), kStart);
  load.SetFleet(FleetFigures(30, 20), kStart + absl::Milliseconds(400));
  const absl::Time now = kStart + absl::Milliseconds(450);
  SECTION("chance") {
    load.SetOwn(Figures(6, 0), now);
    CHECK(load.OutstandingWithRise("board", "near", now) == 30);
  }
  SECTION("burst") {
    load.SetOwn(Figures(20, 0), now);
    CHECK(load.OutstandingWithRise("board", "near", now) == 30 + 17 * 10);
  }
}

}  // namespace
}  // namespace gcw::direct
