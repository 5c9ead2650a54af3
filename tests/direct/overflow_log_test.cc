#include "src/direct/overflow_log.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gcw::direct {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr char kService[] = "board";
constexpr std::uint32_t kSlots = 10;

// A daemon of zone "a" that knows one server in each of the zones "a" and "b".
class Daemon {
 public:
  Daemon() : servers_(absl::Seconds(2), absl::Seconds(10), &table_events_) {
    std::vector<ServerReportPtr> reports;
    for (const char* zone : {"a", "b"}) {
      BackendServer server;
      server.name = std::string("server-") + zone;
      server.number = reports.size() + 1;
      server.service = kService;
      server.address = {0x0a000000 + static_cast<std::uint32_t>(server.number),
                        8080};
      server.zone = zone;
      server.slots = kSlots;
      reports.push_back(std::make_shared<ServerReport>(
          ServerReport{1, server.name, true, server}));
    }
    servers_.ApplyList(reports, 1, kStart);
    load_.SetFleetPosition({4, 0, 2});
  }

  // Lets `duration` pass with this utilisation of zone "a". Figures of the
  // fleet arrive four times a second if `figures` is true.
  void Run(absl::Duration duration, double utilisation, bool figures = true) {
    for (const absl::Time end = now_ + duration; now_ < end;
         now_ += absl::Milliseconds(50), ++ticks_) {
      if (figures && ticks_ % 5 == 0) {
        load_.SetFleet(FiguresOf(utilisation), now_);
      }
      load_.SetOwn({}, now_);
      balancer_.OnTick(servers_, load_, zones_out_, now_);
      log_.OnTick(balancer_, load_, now_);
    }
  }

  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

 private:
  static load::FleetFigures FiguresOf(double utilisation) {
    load::FleetFigures figures;
    const load::NameHash service = load::HashName(kService);
    figures.sum.zones = {
        {.service = service,
         .zone = load::HashName("a"),
         .outstanding = static_cast<std::uint32_t>(utilisation * kSlots)},
        {.service = service, .zone = load::HashName("b"), .outstanding = 1}};
    figures.coverage = {{load::HashName("a"), 2, absl::Milliseconds(300)},
                        {load::HashName("b"), 2, absl::Milliseconds(300)}};
    return figures;
  }

  std::vector<Event> table_events_;
  std::vector<Event> events_;
  ServerTable servers_;
  FleetLoad load_{"a"};
  std::set<std::string, std::less<>> zones_out_;
  ZoneBalancer balancer_{"a", 3};
  OverflowLog log_{&events_};
  absl::Time now_ = kStart;
  int ticks_ = 0;
};

// Without the event, an operator cannot tell why flows went to another zone.
TEST_CASE("an overflow is reported when it begins and when it ends") {
  Daemon daemon;
  daemon.Run(absl::Seconds(3), 0.4);
  CHECK(daemon.TakeEvents().empty());
  daemon.Run(absl::Seconds(3), 1.2);
  const std::vector<Event> begun = daemon.TakeEvents();
  REQUIRE(begun.size() == 1);
  const auto& first = std::get<OverflowChanged>(begun[0]);
  CHECK(first.service == kService);
  CHECK(first.active);
  CHECK(first.share > 0);
  REQUIRE(first.zones.size() == 2);
  CHECK(first.zones[0].zone == "a");
  CHECK(first.zones[0].utilisation > 0.55);
  CHECK(first.zones[1].utilisation == Approx(0.1));
  CHECK(first.load_age == absl::Milliseconds(300));
  daemon.Run(OverflowLog::kEndAfter + absl::Seconds(3), 0.4);
  const std::vector<Event> ended = daemon.TakeEvents();
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(std::get<OverflowChanged>(ended[0]).active);
  CHECK(std::get<OverflowChanged>(ended[0]).share == 0);
}

// A zone whose load varies around the limit begins and ceases to overflow
// several times a second; a line for each would flood the log.
TEST_CASE("a load that varies around the limit is reported once") {
  Daemon daemon;
  for (int i = 0; i < 20; ++i) {
    daemon.Run(absl::Seconds(1), 1.0);
    daemon.Run(absl::Seconds(2), 0.3);
  }
  CHECK(daemon.TakeEvents().size() == 1);
}

// Without the event, decisions that a daemon made without figures of the fleet
// cannot be told from others afterwards.
TEST_CASE("figures that are too old and recent again are reported") {
  Daemon daemon;
  daemon.Run(absl::Seconds(5), 0.4, false);
  CHECK(daemon.TakeEvents().empty());  // It never had any figures.
  daemon.Run(absl::Seconds(3), 0.4);
  CHECK(daemon.TakeEvents().empty());
  // A gap that is shorter than kSettled is not reported.
  daemon.Run(absl::Seconds(2), 0.4, false);
  daemon.Run(absl::Seconds(3), 0.4);
  CHECK(daemon.TakeEvents().empty());
  daemon.Run(absl::Seconds(5), 0.4, false);
  const std::vector<Event> lost = daemon.TakeEvents();
  REQUIRE(lost.size() == 1);
  CHECK_FALSE(std::get<FleetLoadChanged>(lost[0]).recent);
  CHECK(std::get<FleetLoadChanged>(lost[0]).age > FleetLoad::kMaxAge);
  daemon.Run(absl::Seconds(3), 0.4);
  const std::vector<Event> back = daemon.TakeEvents();
  REQUIRE(back.size() == 1);
  CHECK(std::get<FleetLoadChanged>(back[0]).recent);
}

}  // namespace
}  // namespace gcw::direct
