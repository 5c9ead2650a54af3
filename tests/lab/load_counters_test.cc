#include <fmt/format.h>
#include <catch2/catch.hpp>

#include "src/lab/config_watch.h"
#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

// Overload of a server in its cold start counts only after daemons have had
// time to notice the restart; this is a little more than that time.
constexpr absl::Duration kRestartNoticeTime = absl::Milliseconds(150);

TEST_CASE("imbalance.<service> is largest over mean, by time in service") {
  Fixture f;
  std::vector<ServerLoad> loads(f.servers.size(), {1, 3, false});
  f.meter.Sample(loads, absl::Seconds(10));
  for (ServerIndex i = 0; i < 14; ++i) {
    f.meter.NewFlow(0, i);
  }
  CHECK(f.meter.FlowImbalance(0) == Approx(1));
  CHECK(f.meter.SlotImbalance(0) == Approx(1));
  for (int i = 0; i < 14; ++i) {
    f.meter.NewFlow(0, 5);
  }
  CHECK(f.meter.FlowImbalance(0) == Approx(15.0 / 2));
  loads[3].running = 3;
  f.meter.Sample(loads, absl::Seconds(10));
  CHECK(f.meter.SlotImbalance(0) > 1.5);
}

TEST_CASE("the imbalance counts a drained server by its time in service") {
  Fixture f;
  std::vector<ServerLoad> loads(f.servers.size(), {0, 3, false});
  for (int second = 0; second < 10; ++second) {
    if (second == 5) {
      f.world.server(0).leaving_since = f.scheduler.now();
    }
    f.meter.Sample(loads, absl::Seconds(1));
    for (ServerIndex i = 0; i < 14; ++i) {
      f.meter.NewFlow(0, i);
    }
  }
  CHECK(f.meter.FlowImbalance(0) == Approx(1));
}

TEST_CASE(
    "cold.overload increases when a server known as cold gets more than its "
    "capacity") {
  Fixture f;
  f.servers[0]->Restart({absl::Seconds(10), 0.34}, false);
  CHECK(f.servers[0]->load().capacity == 1);
  f.SendRequest(0, "a", "a/1");
  f.SendRequest(0, "b", "b/1");
  // No daemon can know of the restart yet.
  CHECK(f.meter.cold_overload() == 0);
  f.SendFlow(0, kTcpAck);  // The reset in reply reveals the restart.
  f.scheduler.Advance(kRestartNoticeTime);
  f.SendRequest(0, "c", "c/1");
  f.SendRequest(0, "d", "d/1");
  CHECK(f.meter.cold_overload() > 1);
}

TEST_CASE("cold.overload stays at 1 for one request at a time") {
  Fixture f;
  f.servers[0]->Restart({absl::Seconds(10), 0.34}, true);
  f.scheduler.Advance(kRestartNoticeTime);
  f.SendRequest(0, "a", "a/1");
  f.scheduler.Advance(absl::Seconds(1));
  f.SendRequest(0, "b", "b/1");
  CHECK(f.meter.cold_overload() == 1);
}

TEST_CASE(
    "cold.overload increases when a cold server gets too many new flows") {
  Fixture f;
  f.servers[0]->set_flow_rate(20);
  f.servers[0]->Restart({absl::Seconds(10), 0.3}, true);
  f.scheduler.Advance(kRestartNoticeTime);
  for (std::uint16_t port = 1; port <= 6; ++port) {
    f.SendFlow(0, kTcpSyn, 0, port);
  }
  CHECK(f.meter.cold_overload() <= 1);
  for (std::uint16_t port = 7; port <= 14; ++port) {
    f.SendFlow(0, kTcpSyn, 0, port);
  }
  CHECK(f.meter.cold_overload() > 1);
}

TEST_CASE("a false or outdated load report does not reveal a restart") {
  Fixture f;
  ServerBehavior lying;
  lying.load_reporting = LoadReporting::kClaimsIdle;
  f.servers[0]->set_behavior(lying);
  f.SendRequest(0, "a", "a/1");
  f.servers[0]->OnDatagram(Encode(LoadQuery{1}), f.DaemonAddress(0), 0);
  REQUIRE(f.Sent<LoadReport>().size() == 1);
  CHECK(f.Sent<LoadReport>()[0].used == 0);
  ServerBehavior lagging;
  lagging.load_lag = absl::Seconds(10);
  f.servers[0]->set_behavior(lagging);
  f.servers[0]->Restart({absl::Seconds(10), 0.34}, false);
  f.servers[0]->OnDatagram(Encode(LoadQuery{2}), f.DaemonAddress(0), 0);
  CHECK(f.Sent<LoadReport>()[1].incarnation == 1);
  CHECK(f.servers[0]->incarnation() == 2);
}

TEST_CASE("a full server sheds, and a cancel or a deadline frees its slot") {
  Fixture f;
  ServerBehavior slow;
  slow.slow_factor = 100;
  f.servers[0]->set_behavior(slow);
  for (const char* id : {"r0", "r1", "r2", "r3"}) {
    f.SendRequest(0, id, fmt::format("{}/1", id));
  }
  CHECK(f.Sent<ShedMessage>().size() == 1);
  CHECK(f.servers[0]->load().running == 3);
  f.servers[0]->OnDatagram(Encode(CancelMessage{"r0", "r0/1"}),
                           f.DaemonAddress(0), 0);
  CHECK(f.servers[0]->load().running == 2);
  f.scheduler.Advance(absl::Milliseconds(1001));
  CHECK(f.servers[0]->load().running == 0);
  CHECK(f.Sent<AnswerMessage>().empty());
}

TEST_CASE("config.in_force_s and config.reverts come from reported revisions") {
  Fixture f;
  ConfigWatch watch(f.scheduler, f.world, f.ledger);
  for (DaemonIndex i = 0; i < 4; ++i) {
    watch.OnRevisionReported(i, 5);
  }
  watch.OnWriteAccepted(7);
  f.scheduler.Advance(absl::Seconds(2));
  for (DaemonIndex i = 0; i < 3; ++i) {
    watch.OnRevisionReported(i, 7);
  }
  CHECK(watch.longest() == absl::ZeroDuration());
  f.scheduler.Advance(absl::Seconds(1));
  watch.OnRevisionReported(3, 8);
  CHECK(watch.longest() == absl::Seconds(3));
  CHECK(watch.reverts() == 0);
  watch.OnRevisionReported(3, 6);
  CHECK(watch.reverts() == 1);
  watch.ForgetRevision(3);
  watch.OnRevisionReported(3, 1);
  CHECK(watch.reverts() == 1);  // A new process has no earlier revision.
}

TEST_CASE("a configuration write that never takes effect counts with its age") {
  Fixture f;
  ConfigWatch watch(f.scheduler, f.world, f.ledger);
  for (DaemonIndex i = 0; i < 4; ++i) {
    watch.OnRevisionReported(i, 5);
  }
  watch.OnWriteAccepted(9);
  f.scheduler.Advance(absl::Seconds(8));
  watch.Finish();
  CHECK(watch.longest() == absl::Seconds(8));
}

}  // namespace
}  // namespace gcw::lab
