#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "tests/routing/fixtures.h"

namespace gcw::routing {
namespace {

using testing::ConfigBuilder;
using testing::MakeDeskConfig;
using testing::MakePacket;
using testing::TimeAt;

// A single daemon with the service "desk".
struct SingleDaemon {
  std::unique_ptr<RoutingPolicy> router;
  ConfigBuilder config;

  explicit SingleDaemon(int servers, std::uint32_t max_flows = 1000)
      : config(MakeDeskConfig(servers)) {
    RouterOptions options;
    options.self = std::string("b0");
    options.zone = std::string("a");
    options.max_flows = max_flows;
    router = RoutingPolicy::Make(options).value();
    router->ApplySnapshot(config.BuildSnapshot(), TimeAt(0));
    router->ApplyMembers({}, TimeAt(0));
    router->OnTick(TimeAt(0.05));
  }

  // Returns a reply of the server to `packet`.
  FlowPacket Reply(const FlowPacket& packet) const {
    FlowPacket reply = packet;
    reply.flags = TcpFlags{false, true, false, false};
    return reply;
  }
};

// A server may stop answering one flow while it answers others. Without a reset
// the caller would wait in vain.
TEST_CASE("a flow that gets no answers while others do is reset") {
  SingleDaemon daemon(1);
  const Decision first =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(2, true), TimeAt(1));
  Action last = Action::kForward;
  double reset_at = 0;
  for (int i = 0; i < 40 && last == Action::kForward; ++i) {
    const double now = 2 + 0.5 * i;
    last = daemon.router->OnPacket(MakePacket(1, false), TimeAt(now)).action;
    reset_at = now;
    const FlowPacket other = MakePacket(2, false);
    REQUIRE(daemon.router->OnPacket(other, TimeAt(now)).action ==
            Action::kForward);
    daemon.router->OnReply(first.server, daemon.Reply(other),
                           TimeAt(now + 0.01));
  }
  CHECK(last == Action::kReset);
  CHECK(reset_at >= 10);
  CHECK(reset_at <= 12);
  CHECK(daemon.router->Stats().silent_resets == 1);
}

// An unreachable server, or a flow that only sends bare acknowledgements, must
// not be mistaken for a server that lost the flow.
TEST_CASE(
    "a flow is not reset if its server is silent or it needs no answers") {
  SingleDaemon daemon(1);
  const Decision first =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(2, true), TimeAt(1));
  for (int i = 0; i < 40; ++i) {
    const double now = 2 + 0.5 * i;
    CHECK(daemon.router->OnPacket(MakePacket(1, false), TimeAt(now)).action ==
          Action::kForward);
  }
  // Bare acknowledgements, as the receiver of a feed sends them, need no
  // answer.
  FlowPacket bare = MakePacket(2, false);
  bare.payload = 0;
  const FlowPacket busy = MakePacket(3, false);
  daemon.router->OnPacket(MakePacket(3, true), TimeAt(30));
  for (int i = 0; i < 100; ++i) {
    const double now = 30 + i;
    CHECK(daemon.router->OnPacket(bare, TimeAt(now)).action ==
          Action::kForward);
    daemon.router->OnPacket(busy, TimeAt(now));
    daemon.router->OnReply(first.server, daemon.Reply(busy), TimeAt(now));
  }
  CHECK(daemon.router->Stats().silent_resets == 0);
}

// Guards against a reset of the flow that is answered last after a network cut:
// its unanswered packets from the time of the cut do not count.
TEST_CASE("packets sent while a server was unreachable reset no flow later") {
  SingleDaemon daemon(1);
  const Decision first =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(2, true), TimeAt(1));
  const FlowPacket one = MakePacket(1, false);
  const FlowPacket two = MakePacket(2, false);
  const auto exchange = [&](const FlowPacket& packet, double now) {
    const Decision decision = daemon.router->OnPacket(packet, TimeAt(now));
    daemon.router->OnReply(first.server, daemon.Reply(packet),
                           TimeAt(now + 0.01));
    return decision.action;
  };
  for (double now = 1; now < 3; now += 0.5) {
    REQUIRE(exchange(one, now) == Action::kForward);
    REQUIRE(exchange(two, now) == Action::kForward);
  }
  // During the cut both flows go on sending, and no replies arrive.
  for (double now = 3; now < 9; now += 0.5) {
    REQUIRE(daemon.router->OnPacket(one, TimeAt(now)).action ==
            Action::kForward);
    REQUIRE(daemon.router->OnPacket(two, TimeAt(now)).action ==
            Action::kForward);
  }
  // After the cut the second flow is answered at once, the first one 5 s later.
  for (double now = 9; now < 14; now += 0.5) {
    REQUIRE(exchange(two, now) == Action::kForward);
  }
  CHECK(exchange(one, 14) == Action::kForward);
  CHECK(daemon.router->Stats().silent_resets == 0);
}

// Guards against a server that sends packets in the name of another service, or
// into a flow that is not on it.
TEST_CASE("a server may reply only for its own service and its own flows") {
  SingleDaemon daemon(2);
  daemon.config.AddService("archive", Endpoint{testing::kServiceIp + 1, 80})
      .servers.push_back({"x0", 100});
  daemon.config.AddServer("x0", "a", 0x0a000900);
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(1));
  const FlowPacket packet = MakePacket(1, true);
  const Decision decision = daemon.router->OnPacket(packet, TimeAt(2));
  const FlowPacket reply = daemon.Reply(packet);
  CHECK(daemon.router->OnReply(decision.server, reply, TimeAt(2)).accept);
  const Endpoint other{decision.server.ip ^ 1U, decision.server.port};
  CHECK_FALSE(daemon.router->OnReply(other, reply, TimeAt(2)).accept);
  const ReplyDecision foreign =
      daemon.router->OnReply(Endpoint{0x0a000900, 9000}, reply, TimeAt(2));
  CHECK_FALSE(foreign.accept);
  CHECK(foreign.code == ResultCode::kUnknownService);
  CHECK(daemon.router->Stats().refused_replies == 2);
}

// The address of a deleted VM may be reused. Packets of the old flow must not
// reach the new server at the address, and the replies of that server must not
// reach the old caller.
TEST_CASE("a flow whose server's address is reused is reset") {
  SingleDaemon daemon(1);
  REQUIRE(daemon.router->OnPacket(MakePacket(1, true), TimeAt(1)).action ==
          Action::kForward);
  const Endpoint address = daemon.config.draft.servers["s0"].address;
  // The address of the VM is reused by a server of another service.
  daemon.config.draft.servers.erase("s0");
  daemon.config.AddServer("t0", "a", address.ip);
  daemon.config.AddServer("s1", "a", 0x0a000777);
  daemon.config.draft.services["desk"].servers = {{"s1", 100}};
  daemon.config.AddService("archive", Endpoint{testing::kServiceIp + 1, 80})
      .servers.push_back({"t0", 100});
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(2));
  daemon.router->OnTick(TimeAt(4));
  CHECK(daemon.router->OnPacket(MakePacket(1, false), TimeAt(5)).action ==
        Action::kReset);
  for (std::uint32_t flow = 10; flow < 200; ++flow) {
    const Decision decision =
        daemon.router->OnPacket(MakePacket(flow, true), TimeAt(5));
    REQUIRE(decision.action == Action::kForward);
    CHECK(decision.server_name == "s1");
  }
  CHECK_FALSE(
      daemon.router
          ->OnReply(address, daemon.Reply(MakePacket(1, false)), TimeAt(5))
          .accept);
}

// Two daemons that exchange control messages.
struct DaemonPair {
  std::array<std::unique_ptr<RoutingPolicy>, 2> routers;
  ConfigBuilder config = MakeDeskConfig(6);
  double now = 0;

  DaemonPair() {
    const std::vector<Member> members{{"b0", "a", MemberState::kAlive, 1},
                                      {"b1", "b", MemberState::kAlive, 1}};
    for (std::size_t i = 0; i < routers.size(); ++i) {
      RouterOptions options;
      options.self = members[i].name;
      options.zone = members[i].zone;
      options.max_flows = 1000;
      routers[i] = RoutingPolicy::Make(options).value();
    }
    ApplyConfig();
    for (std::size_t i = 0; i < routers.size(); ++i) {
      const std::vector<Member> others{members[1 - i]};
      routers[i]->ApplyMembers(others, TimeAt(now));
    }
    AdvanceTime(6);
  }

  void ApplyConfig() {
    const config::SnapshotPtr snapshot = config.BuildSnapshot();
    for (const auto& router : routers) {
      router->ApplySnapshot(snapshot, TimeAt(now));
    }
  }

  // Advances the time in ticks of 50 ms and delivers all control messages.
  void AdvanceTime(double seconds) {
    for (const double end = now + seconds; now < end; now += 0.05) {
      for (std::size_t i = 0; i < routers.size(); ++i) {
        routers[i]->NoteConfigurationCurrent(TimeAt(now));
        routers[i]->OnTick(TimeAt(now));
        for (const OutgoingMessage& message : routers[i]->TakeMessages()) {
          routers[1 - i]->OnMessage(i == 0 ? "b0" : "b1", message.bytes,
                                    TimeAt(now));
        }
      }
    }
  }
};

// The first daemon places flows on servers of a zone that goes out of service
// before the SYNs arrive. The callers repeat the SYNs at the second daemon,
// which places the flows on other servers. Later packets that reach the first
// daemon must follow that placement, and must not be reset because of its own
// entry with the lost server. `deviating` selects flows that were placed on
// another server than the base server, so that the entry of the first daemon is
// a record.
void OpenFlowsAtOtherDaemon(DaemonPair& pair, bool deviating) {
  std::vector<std::uint32_t> lost;
  for (std::uint32_t flow = 1; flow < 200; ++flow) {
    const Decision placed =
        pair.routers[0]->OnPacket(MakePacket(flow, true), TimeAt(pair.now));
    const std::string server(placed.server_name);
    if (!server.empty() && placed.deviates_from_table == deviating &&
        pair.config.draft.servers[server].zone == "c") {
      lost.push_back(flow);
    }
  }
  REQUIRE(lost.size() > 5);
  pair.config.draft.zones["c"].state = config::ZoneState::kOut;
  pair.ApplyConfig();
  pair.AdvanceTime(0.9);
  std::vector<std::string> chosen;
  for (const std::uint32_t flow : lost) {
    const Decision repeated =
        pair.routers[1]->OnPacket(MakePacket(flow, true), TimeAt(pair.now));
    REQUIRE(repeated.action != Action::kReset);
    chosen.emplace_back(repeated.server_name);
  }
  pair.AdvanceTime(3);
  for (std::size_t i = 0; i < lost.size(); ++i) {
    const Decision later =
        pair.routers[0]->OnPacket(MakePacket(lost[i], false), TimeAt(pair.now));
    CHECK(later.action != Action::kReset);
    if (later.action == Action::kForward && !chosen[i].empty()) {
      CHECK(later.server_name == chosen[i]);
    }
  }
}

TEST_CASE("a flow placed again by another daemon is not reset") {
  DaemonPair pair;
  OpenFlowsAtOtherDaemon(pair, false);
}

TEST_CASE("a flow placed again is not reset if the first choice was recorded") {
  DaemonPair pair;
  // Share limits make the daemons place flows of busy servers on other servers,
  // which are recorded.
  const std::vector<ServerShareLimit> limits{{"s0", 0.1}, {"s1", 0.1}};
  for (const auto& router : pair.routers) {
    router->SetServerShareLimits(limits, TimeAt(pair.now));
  }
  pair.AdvanceTime(5);
  OpenFlowsAtOtherDaemon(pair, true);
}

// Packets of flows of the old service must not reach servers of the new one,
// whether or not this daemon knows the flow.
TEST_CASE("moving a service address resets the flows of the old service") {
  SingleDaemon daemon(1);
  REQUIRE(daemon.router->OnPacket(MakePacket(1, true), TimeAt(1)).action ==
          Action::kForward);
  const Endpoint address = daemon.config.draft.services["desk"].addresses[0];
  daemon.config.draft.services["desk"].addresses.clear();
  daemon.config.AddServer("x0", "a", 0x0a000900);
  daemon.config.AddService("archive", address).servers.push_back({"x0", 100});
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(2));
  daemon.router->OnTick(TimeAt(4));
  // Flow 1 has an entry in this daemon, flow 2 has none.
  CHECK(daemon.router->OnPacket(MakePacket(1, false), TimeAt(5)).action ==
        Action::kReset);
  CHECK(daemon.router->OnPacket(MakePacket(2, false), TimeAt(5)).action ==
        Action::kReset);
  REQUIRE(daemon.router->OnPacket(MakePacket(3, true), TimeAt(5)).action ==
          Action::kForward);
  CHECK(daemon.router->OnPacket(MakePacket(3, false), TimeAt(5)).server_name ==
        "x0");
}

TEST_CASE("a server removed from a service keeps its established flows") {
  SingleDaemon daemon(3);
  const Decision placed =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(1, false), TimeAt(1));
  const std::string name(placed.server_name);
  std::erase_if(
      daemon.config.draft.services["desk"].servers,
      [&](const config::ServiceMember& m) { return m.server == name; });
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(2));
  daemon.router->OnTick(TimeAt(4));
  const Decision next =
      daemon.router->OnPacket(MakePacket(1, false), TimeAt(5));
  CHECK(next.action == Action::kForward);
  CHECK(next.server == placed.server);
  for (std::uint32_t flow = 10; flow < 300; ++flow) {
    CHECK(daemon.router->OnPacket(MakePacket(flow, true), TimeAt(5))
              .server_name != name);
  }
}

// Guards against an attacker who fills the flow table: half-open flows must be
// evicted before records of established flows.
TEST_CASE("a SYN flood evicts no record of an established flow") {
  SingleDaemon daemon(4, 2000);
  daemon.config.draft.servers["s1"].state = config::ServerState::kDraining;
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(1));
  daemon.router->OnTick(TimeAt(3));
  std::vector<std::pair<std::uint32_t, Endpoint>> established;
  for (std::uint32_t flow = 0; flow < 400; ++flow) {
    const Decision decision =
        daemon.router->OnPacket(MakePacket(flow, true), TimeAt(4));
    REQUIRE(decision.action == Action::kForward);
    daemon.router->OnPacket(MakePacket(flow, false), TimeAt(4));
    established.emplace_back(flow, decision.server);
  }
  for (std::uint32_t flow = 10'000; flow < 60'000; ++flow) {
    const double now = 5 + (flow - 10'000) * 0.0005;
    daemon.router->OnPacket(MakePacket(flow, true), TimeAt(now));
    if (flow % 100 == 0) {
      daemon.router->OnTick(TimeAt(now));
    }
  }
  CHECK(daemon.router->Stats().flows <= 2000);
  for (const auto& [flow, server] : established) {
    const Decision decision =
        daemon.router->OnPacket(MakePacket(flow, false), TimeAt(40));
    CHECK(decision.action == Action::kForward);
    CHECK(decision.server == server);
  }
}

TEST_CASE("when all servers drain, new flows are refused and old ones go on") {
  SingleDaemon daemon(2);
  const Decision first =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  REQUIRE(first.action == Action::kForward);
  const Endpoint server = first.server;
  for (auto& [name, backend] : daemon.config.draft.servers) {
    backend.state = config::ServerState::kDraining;
  }
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(2));
  for (int i = 0; i < 60; ++i) {
    daemon.router->OnTick(TimeAt(2 + 0.05 * i));
  }
  const Decision old = daemon.router->OnPacket(MakePacket(1, false), TimeAt(5));
  CHECK(old.action == Action::kForward);
  CHECK(old.server == server);
  for (std::uint32_t flow = 2; flow < 50; ++flow) {
    const Decision fresh =
        daemon.router->OnPacket(MakePacket(flow, true), TimeAt(5));
    CHECK(fresh.action == Action::kReset);
    CHECK(fresh.code == ResultCode::kNoServer);
  }

  for (auto& [name, backend] : daemon.config.draft.servers) {
    backend.state = config::ServerState::kIn;
  }
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(6));
  for (int i = 0; i < 60; ++i) {
    daemon.router->OnTick(TimeAt(6 + 0.05 * i));
  }
  const Decision again =
      daemon.router->OnPacket(MakePacket(60, true), TimeAt(10));
  CHECK(again.action == Action::kForward);
  CHECK(daemon.router->OnPacket(MakePacket(1, false), TimeAt(10)).server ==
        server);
}

// A connection without packets for hours must keep its server.
TEST_CASE("an idle flow is kept for hours") {
  SingleDaemon daemon(2);
  const Decision placed =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(1, false), TimeAt(1));
  for (double now = 2; now < 6 * 3600; now += 1) {
    daemon.router->OnTick(TimeAt(now));
  }
  const Decision next =
      daemon.router->OnPacket(MakePacket(1, false), TimeAt(6 * 3600));
  CHECK(next.action == Action::kForward);
  CHECK(next.server == placed.server);
}

TEST_CASE("a server with a share limit of 0 gets no new flows") {
  SingleDaemon daemon(4, 20'000);
  const ServerShareLimit limit{"s2", 0.0};
  daemon.router->SetServerShareLimits(std::span(&limit, 1), TimeAt(1));
  daemon.router->OnTick(TimeAt(1.1));
  int before = 0;
  int after = 0;
  for (std::uint32_t flow = 0; flow < 4000; ++flow) {
    const double now = flow < 2000 ? 1.2 : 4.0;
    const Decision decision =
        daemon.router->OnPacket(MakePacket(flow, true), TimeAt(now));
    REQUIRE(decision.action == Action::kForward);
    if (decision.server_name == "s2") {
      ++(flow < 2000 ? before : after);
    }
    CHECK(
        daemon.router->OnPacket(MakePacket(flow, false), TimeAt(now)).server ==
        decision.server);
  }
  // The limit applies only when every daemon can have heard of it.
  CHECK(before > 300);
  CHECK(after == 0);
}

}  // namespace
}  // namespace gcw::routing
