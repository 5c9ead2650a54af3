#include <catch2/catch.hpp>

#include "tests/direct/router_fixture.h"

namespace gcw::direct {
namespace {

constexpr std::uint64_t kServersPerZone = 60;
// Time between two new flows: with it, a daemon would need seconds to try each
// server of a zone once.
constexpr absl::Duration kFlowInterval = absl::Milliseconds(20);

// The router of a daemon in zone "near" before three large zones of service
// "board", as in a fleet in which each daemon has flows on few servers.
struct LargeFixture : RouterFixture {
  LargeFixture() {
    servers.clear();
    std::uint64_t number = 0;
    for (const char* zone : {"near", "far", "farther"}) {
      for (std::uint64_t i = 0; i < kServersPerZone; ++i) {
        ++number;
        servers.push_back(
            Server(zone + std::to_string(number), number, "board", zone));
      }
    }
    Restart();
  }

  // Takes the daemon's own zone out of service, and runs load until its flows
  // are spread over the other zones.
  void TakeOwnZoneOut() {
    zones_out = {"near"};
    Restart();
    RunLoad(absl::Seconds(3));
  }

  // Makes all servers of `zone` silent.
  void Cut(std::string_view zone) {
    for (const BackendServer& server : servers) {
      if (server.zone == zone) {
        silent.push_back(server.address);
      }
    }
  }

  // Sends a new flow every kFlowInterval for `duration`, each with one request
  // that is answered at once if its server can be reached. Returns the number
  // of flows that reached a server.
  int RunLoad(absl::Duration duration) {
    int served = 0;
    const absl::Time until = now + duration;
    while (now < until) {
      const Decision decision = Send(Syn(++port));
      const bool reached = decision.action == Action::kForward &&
                           std::find(silent.begin(), silent.end(),
                                     decision.server) == silent.end();
      if (reached) {
        ++served;
        Send(Data(port, decision.cookie, 1001, 500, 100));
        Packet last = Data(port, decision.cookie, 1101, 900, 0);
        last.fin = true;
        Send(last);
      }
      AdvanceTime(kFlowInterval);
    }
    return served;
  }

  std::uint16_t port = 0;
};

// The daemon's own zone is out of service and all others are cut off. Its
// callers are served only once the routers move them to other daemons, and
// these see that the daemon cannot serve only by its readiness. It stayed ready
// for five seconds, in which it dropped every new flow.
TEST_CASE(
    "a daemon that is cut off from all zones in service is soon unready") {
  LargeFixture f;
  f.TakeOwnZoneOut();
  REQUIRE(f.router->can_serve());
  f.Cut("far");
  f.Cut("farther");
  const absl::Time cut = f.now;
  while (f.router->can_serve() && f.now - cut < absl::Seconds(10)) {
    f.RunLoad(kFlowInterval);
  }
  CHECK(f.now - cut < absl::Seconds(1));
  f.silent.clear();
  const absl::Time healed = f.now;
  while (!f.router->can_serve() && f.now - healed < absl::Seconds(10)) {
    f.RunLoad(kFlowInterval);
  }
  CHECK(f.now - healed < absl::Seconds(1));
  f.RunLoad(absl::Seconds(1));
  CHECK(f.RunLoad(absl::Seconds(2)) == 100);
}

// A daemon that drops new flows because other daemons may reach more servers
// must not be sent any.
TEST_CASE("a daemon that leaves new flows to others is not ready") {
  LargeFixture f;
  f.TakeOwnZoneOut();
  f.Cut("far");
  f.Cut("farther");
  const absl::Time cut = f.now;
  while (f.now - cut < absl::Seconds(4)) {
    const Decision decision = f.Send(f.Syn(++f.port));
    if (decision.reason == Reason::kLeftToOthers) {
      CHECK_FALSE(f.router->can_serve());
    }
    f.AdvanceTime(kFlowInterval);
  }
}

// While one of two zones in service is cut off, each new flow to it is lost. A
// daemon that found the servers of the zone one by one lost flows for seconds.
TEST_CASE("idle servers of a zone that is cut off get few new flows") {
  LargeFixture f;
  f.TakeOwnZoneOut();
  f.Cut("far");
  const int served = f.RunLoad(absl::Seconds(4));
  CHECK(served >= 180);  // Of 200; half of the flows of the first 0.4 s.
}

// Each server of a large service may fail at any time; one failure must not
// make every daemon probe its whole zone.
TEST_CASE("the loss of one server probes few others") {
  LargeFixture f;
  f.RunLoad(absl::Seconds(3));
  const Decision decision = f.Send(f.Syn(++f.port));
  f.silent = {decision.server};
  f.probes_made = 0;
  f.RunLoad(absl::Seconds(2));
  CHECK(f.probes_made >= 2);
  CHECK(f.probes_made <= 30);
}

// A daemon that has servers in its own zone sends no new flows elsewhere. If
// every daemon probed all servers of a zone that is cut off, the number of
// probes would be the product of daemons and servers.
TEST_CASE("a daemon whose own zone serves probes no idle servers elsewhere") {
  LargeFixture f;
  f.TakeOwnZoneOut();
  const FlowCookie cookie = f.Open(++f.port);
  const std::string zone = f.FindServer(f.NameOf(cookie)).zone;
  f.zones_out.clear();
  f.router->ApplyZonesOut(f.zones_out, ++f.revision, f.now);
  f.Cut(zone);
  f.probes_made = 0;
  f.Send(f.Data(f.port, cookie, 1001, 500, 100));
  f.AdvanceTime(absl::Milliseconds(200));
  f.Send(f.Data(f.port, cookie, 1001, 500, 100));  // A retransmission.
  f.RunLoad(absl::Seconds(3));
  CHECK(f.probes_made >= 2);
  CHECK(f.probes_made <= 30);
}

// Hundreds of servers may be lost for minutes. Probes of them must not take the
// place of the packets of callers.
TEST_CASE("lost servers without flows are probed at a bounded rate") {
  LargeFixture f;
  f.TakeOwnZoneOut();
  f.Cut("far");
  f.RunLoad(absl::Seconds(70));  // Longer than flows are kept.
  f.probes_made = 0;
  f.RunLoad(absl::Seconds(5));
  CHECK(f.probes_made <= 5 * 30);
}

}  // namespace
}  // namespace gcw::direct
