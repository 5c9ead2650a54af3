// Guards against taking the order in which the store executed the reports of a
// server for the order in which the server made them: the store may execute a
// report seconds late, also after the server has ended and started again.

#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

constexpr std::uint64_t kN1 = 1;  // BackendServer::number of n1.
constexpr absl::Duration kInterval = absl::Milliseconds(1200);

// A flow that the daemon placed on n1.
struct TestFlow {
  std::uint16_t port = 0;  // Of the caller.
  FlowCookie cookie = 0;
};

// Reports of the server n1, of which each start begins its numbers anew.
struct ReportsFixture : RouterFixture {
  // The report that n1 makes in the incarnation with this number.
  BackendServer Report(std::int64_t incarnation, std::uint64_t number) {
    BackendServer report = FindServer("n1");
    report.incarnation = incarnation;
    report.report_number = number;
    return report;
  }
  // Starts the daemon, which finds n1 running in `incarnation`.
  void Begin(std::int64_t incarnation) {
    FindServer("n1") = Report(incarnation, 1);
    Restart();
    ReportRegularly(incarnation, 2, 2);
  }
  // Lets n1 start anew in `incarnation` and get past its slow start.
  void RestartN1(std::int64_t incarnation) {
    ReportRegularly(incarnation, 1, 10);
  }
  // The store executes `report`, and the daemon reads it.
  void Execute(const BackendServer& report) {
    FindServer("n1") = report;
    SendServerList();
    AdvanceTime(absl::Milliseconds(100));
  }
  // Executes `count` reports, one in each interval.
  void ReportRegularly(std::int64_t incarnation,
                       std::uint64_t number,
                       int count) {
    for (int i = 0; i < count; ++i) {
      Execute(Report(incarnation, number + static_cast<std::uint64_t>(i)));
      AdvanceTime(kInterval - absl::Milliseconds(100));
    }
  }
  // Opens a flow on n1, which answers it, and returns its cookie. The flow's
  // port is `port`.
  FlowCookie OpenOnN1() { return OpenOn(kN1, port); }
  bool N1GetsFlows() { return OpenOnN1() != 0; }
  // The same, for a flow that is followed. Fails if n1 gets none.
  TestFlow OpenFlow() {
    const FlowCookie cookie = OpenOnN1();
    REQUIRE(cookie != 0);
    return {port, cookie};
  }
  // Whether the daemon resets the flow, by itself or when its caller sends.
  bool IsReset(const TestFlow& flow) {
    const bool reset = std::any_of(
        resets.begin(), resets.end(),
        [&](const FlowReset& r) { return r.flow.caller.port == flow.port; });
    return reset || Send(Data(flow.port, flow.cookie, 1101, 500, 0)).action ==
                        Action::kReset;
  }
  std::size_t SlowStarts() { return router->Stats(now).slow_starts.size(); }

  std::uint16_t port = 100;
};

// A late report of an ended start was taken for a restart: all flows of the
// living start were reset, and it got no new ones any more.
TEST_CASE("a late report of an ended incarnation changes nothing") {
  ReportsFixture f;
  f.Begin(100);
  f.RestartN1(200);
  const TestFlow flow = f.OpenFlow();
  f.resets.clear();
  f.Execute(f.Report(100, 4));
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.N1GetsFlows());
  f.ReportRegularly(200, 11, 5);
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
  CHECK(f.resets.empty());
  const auto deferred = f.EventsOf<ServerReportDeferred>();
  REQUIRE(deferred.size() == 1);
  CHECK(deferred[0].incarnation == 100);
  CHECK(deferred[0].held_incarnation == 200);
}

// Several reports of the ended start may have been under way.
TEST_CASE("late reports between those of the living incarnation are ignored") {
  ReportsFixture f;
  f.Begin(100);
  f.RestartN1(200);
  const TestFlow flow = f.OpenFlow();
  f.resets.clear();
  for (std::uint64_t i = 0; i < 5; ++i) {
    f.Execute(f.Report(100, 4 + i));
    f.ReportRegularly(200, 11 + i, 1);
  }
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
}

// The server may have ended twice while reports of both starts were under way.
TEST_CASE("late reports of two ended incarnations change nothing") {
  ReportsFixture f;
  f.Begin(100);
  f.ReportRegularly(200, 1, 2);
  f.RestartN1(300);
  const TestFlow flow = f.OpenFlow();
  f.resets.clear();
  f.Execute(f.Report(200, 3));
  f.Execute(f.Report(100, 4));
  CHECK_FALSE(f.IsReset(flow));
  f.ReportRegularly(300, 11, 5);
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 300);
  CHECK(f.resets.empty());
}

// The clock was ahead during the ended start, so its late report seems to be
// the later one.
TEST_CASE(
    "a late report of an ended incarnation with a later start is ignored") {
  ReportsFixture f;
  f.Begin(300);
  f.ReportRegularly(200, 1, 6);
  f.AdvanceTime(absl::Seconds(10));
  const TestFlow flow = f.OpenFlow();
  f.resets.clear();
  f.Execute(f.Report(300, 4));
  f.ReportRegularly(200, 7, 3);
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
}

// A start by a clock that was set back looks like a late report, but goes on.
TEST_CASE("a restart counts although the server's clock was set back") {
  ReportsFixture f;
  f.Begin(200);
  const TestFlow flow_before = f.OpenFlow();
  f.ReportRegularly(200, 4, 2);
  f.Execute(f.Report(50, 1));
  const TestFlow flow_between = f.OpenFlow();
  CHECK(f.IncarnationOf("n1") == 200);
  f.ReportRegularly(50, 2, 6);
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 50);
  CHECK(f.IsReset(flow_before));
  CHECK_FALSE(f.IsReset(flow_between));
  // A daemon that does not know the flow leaves it to the server, too.
  CHECK(f.Send(f.Data(9000, flow_between.cookie, 1001, 500, 0)).action ==
        Action::kForward);
  SECTION("and a late report of the ended incarnation does not undo it") {
    f.Execute(f.Report(200, 4));
    f.ReportRegularly(50, 8, 3);
    CHECK(f.N1GetsFlows());
    CHECK(f.IncarnationOf("n1") == 50);
    CHECK_FALSE(f.IsReset(flow_between));
  }
}

// A daemon that has just started cannot know that the only report it finds is
// late. It takes an ended incarnation for the living one until the server
// reports again.
TEST_CASE("flows opened by a late report of the first list go on") {
  ReportsFixture f;
  f.FindServer("n1") = f.Report(100, 8);
  f.Restart();
  const TestFlow flow = f.OpenFlow();
  f.ReportRegularly(200, 9, 1);
  CHECK_FALSE(f.IsReset(flow));
  const Decision decision = f.Send(f.Data(9000, flow.cookie, 1001, 500, 0));
  CHECK(decision.action == Action::kForward);
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
  CHECK(f.Send(f.Data(flow.port, flow.cookie, 1101, 500, 0)).server_number ==
        kN1);
  CHECK(f.SlowStarts() == 0);
  f.ReportRegularly(200, 10, 5);
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.resets.empty());
}

// If the first reports of a restarted server are lost, it has been running for
// some time when its restart becomes known.
TEST_CASE("flows opened since a restart that became known late go on") {
  ReportsFixture f;
  // In ms, like the time that passes until the restart.
  constexpr std::int64_t kRestarted = 100 + 12'000;
  f.Begin(100);
  const TestFlow dead = f.OpenFlow();
  f.ReportRegularly(100, 4, 8);
  const TestFlow alive = f.OpenFlow();
  REQUIRE(f.IncarnationOf("n1") == 100);
  SECTION("when the first report was late") {
    f.Execute(f.Report(kRestarted, 1));
  }
  SECTION("when reports were lost") {
    f.AdvanceTime(absl::Seconds(4));
    f.Execute(f.Report(kRestarted, 2));
  }
  SECTION("when the server was missing meanwhile") {
    const BackendServer first = f.Report(kRestarted, 1);
    f.RemoveServer("n1");
    f.AdvanceTime(absl::Seconds(1));
    f.servers.push_back(first);
    f.Execute(first);
  }
  CHECK(f.IsReset(dead));
  CHECK_FALSE(f.IsReset(alive));
}

// Without knowledge of the ended start, a report with a later start is
// believed. The living start then has to be taken up again as it was.
TEST_CASE("a server that was wrongly taken for restarted is as before") {
  ReportsFixture f;
  f.Begin(200);
  REQUIRE(f.N1GetsFlows());
  f.Execute(f.Report(300, 1));
  const TestFlow flow = f.OpenFlow();
  REQUIRE(f.IncarnationOf("n1") == 300);
  f.ReportRegularly(200, 4, 6);
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
  CHECK_FALSE(f.IsReset(flow));
  CHECK(f.Send(f.Data(9000, flow.cookie, 1001, 500, 0)).server_number == kN1);
  CHECK(f.SlowStarts() == 0);
  for (const ServerStats& server : f.router->Stats(f.now).servers) {
    if (server.name == "n1" && server.state == "listed") {
      CHECK(server.open_flows > 0);
    }
  }
  // Its flows are reset once more when it really restarts.
  f.ReportRegularly(200, 10, 1);
  f.resets.clear();
  f.ReportRegularly(200 + 20'000, 1, 1);
  CHECK(f.resets.size() > 0);
}

// As long as it is not known whether the server has restarted, it may be cold,
// about to leave or somewhere else.
TEST_CASE("a deferred report limits new flows until it is settled") {
  ReportsFixture f;
  f.Begin(200);
  BackendServer late = f.Report(100, 9);
  SECTION("if it is cold") {
    late.cold_for = absl::Seconds(20);
  }
  SECTION("if it drains") {
    late.draining = true;
  }
  SECTION("if it is at another address") {
    late.address.port = 9;
  }
  const BackendServer living = f.Report(200, 4);
  f.Execute(late);
  CHECK_FALSE(f.N1GetsFlows());
  f.Execute(living);
  CHECK(f.N1GetsFlows());
}

// A cold server has one limit, whatever is known of its incarnations.
TEST_CASE("a cold server keeps its limit when its incarnation changes") {
  ReportsFixture f;
  f.configuration.version = 2;
  f.configuration.services[0].cold_flows_per_second = 4;
  f.router->ApplyConfiguration(f.configuration, ++f.revision, f.now);
  f.router->SetFleetPosition({.daemons = 1, .rank = 0}, f.now);
  std::erase_if(f.servers, [](const BackendServer& s) {
    return s.service == "board" && s.name != "n1";
  });
  f.FindServer("n1").cold_for = absl::Seconds(20);
  f.SendServerList();
  f.AdvanceTime(absl::Seconds(5));
  int placed = 0;
  const auto open = [&] {
    for (int i = 0; i < 20; ++i) {
      placed += f.Send(f.Syn(++f.port)).action == Action::kForward ? 1 : 0;
    }
  };
  f.Execute(f.Report(100, 1));
  open();
  CHECK(placed == 4);
  f.Execute(f.Report(200, 1));
  open();
  CHECK(placed == 4);
}

// The entry of a server that has ended expires, also if a late report has
// brought it back.
TEST_CASE("a late report does not bring back a server that has left") {
  ReportsFixture f;
  f.Begin(100);
  BackendServer last = f.Report(200, 2);
  last.draining = true;
  f.Execute(f.Report(200, 1));
  f.Execute(last);
  f.RemoveServer("n1");
  f.servers.push_back(last);
  BackendServer late = f.Report(100, 4);
  late.draining = false;
  f.Execute(late);
  f.AdvanceTime(3 * kInterval);
  CHECK_FALSE(f.N1GetsFlows());
  f.RemoveServer("n1");
  CHECK_FALSE(f.N1GetsFlows());
}

// A late report from before the drain made a draining server usable again.
TEST_CASE("a late report of a draining server does not undo the drain") {
  ReportsFixture f;
  f.Begin(100);
  const BackendServer late = f.Report(100, 4);
  BackendServer draining = f.Report(100, 5);
  draining.draining = true;
  const TestFlow flow = f.OpenFlow();
  f.Execute(draining);
  REQUIRE_FALSE(f.N1GetsFlows());
  f.Execute(late);
  CHECK_FALSE(f.N1GetsFlows());
  CHECK_FALSE(f.IsReset(flow));
  SECTION("while it goes on draining") {
    draining.report_number = 6;
    f.Execute(draining);
    CHECK_FALSE(f.N1GetsFlows());
    CHECK_FALSE(f.IsReset(flow));
  }
  SECTION("when it has left, its flows are reset at once") {
    f.RemoveServer("n1");
    f.AdvanceTime(absl::Milliseconds(100));
    CHECK(f.IsReset(flow));
    f.servers.push_back(late);
    f.Execute(late);
    CHECK_FALSE(f.N1GetsFlows());
  }
}

// A late report also has an older time for which the server stays cold.
TEST_CASE("a late report does not make a warm server cold") {
  ReportsFixture f;
  f.Begin(100);
  BackendServer late = f.Report(100, 2);
  late.cold_for = absl::Seconds(30);
  f.Execute(late);
  CHECK(f.N1GetsFlows());
}

// If another writer had left a report with a high number, all reports of the
// server would seem late.
TEST_CASE("reports with lower numbers count in the end if they go on") {
  ReportsFixture f;
  f.Begin(100);
  f.Execute(f.Report(100, 1'000'000));
  f.ReportRegularly(100, 4, 4);
  BackendServer draining = f.Report(100, 8);
  draining.draining = true;
  f.Execute(draining);
  f.AdvanceTime(2 * kInterval);
  CHECK_FALSE(f.N1GetsFlows());
}

// Peers that lost the store at different times know different incarnations of a
// server that the restored store lacks. Only the one that was told first was
// known, and flows of the other one were reset.
TEST_CASE("flows of each incarnation that peers tell of go on") {
  ReportsFixture f;
  const BackendServer earlier = f.Report(100, 3);
  const BackendServer later = f.Report(200, 2);
  std::erase_if(f.servers,
                [](const BackendServer& s) { return s.name == "n1"; });
  f.Restart();
  const auto tell = [&](const BackendServer& server) {
    const std::vector<ServerReportPtr> told{std::make_shared<ServerReport>(
        ServerReport{1, server.name, true, server})};
    f.router->AddMissingServers(told, f.now);
  };
  SECTION("in the order of the server") {
    tell(earlier);
    tell(later);
  }
  SECTION("in the other order") {
    tell(later);
    tell(earlier);
  }
  std::uint16_t flow = 9000;
  for (const BackendServer& server : {earlier, later}) {
    const Packet packet = f.Data(++flow, CookieOf(server), 1001, 500, 0);
    CHECK(f.Send(packet).action == Action::kForward);
  }
  tell(later);
  f.AdvanceTime(absl::Seconds(1));
  CHECK(f.resets.empty());
  // The server reports again.
  f.servers.push_back(later);
  f.Execute(f.Report(200, 3));
  f.AdvanceTime(absl::Seconds(12));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
  // So does the store, late.
  f.Execute(f.Report(100, 4));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
}

// While the store is away nothing tells whether the server goes on reporting.
TEST_CASE("a deferred report waits while the store is away") {
  ReportsFixture f;
  f.Begin(200);
  REQUIRE(f.N1GetsFlows());
  f.Execute(f.Report(100, 4));
  f.store_answers = false;
  f.AdvanceTime(absl::Seconds(20));
  CHECK(f.N1GetsFlows());
  CHECK(f.IncarnationOf("n1") == 200);
}

TEST_CASE("the ended incarnations that are kept of a server are bounded") {
  ReportsFixture f;
  for (std::int64_t i = 1; i <= 500; ++i) {
    f.Execute(f.Report(100 + i, 1));
  }
  f.AdvanceTime(absl::Seconds(2));
  CHECK(f.router->Stats(f.now).servers.size() < 50);
}

}  // namespace
}  // namespace gcw::direct
