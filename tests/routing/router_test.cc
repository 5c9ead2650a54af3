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

// One daemon alone, with the service "desk".
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

  FlowPacket Reply(const FlowPacket& packet) const {
    FlowPacket reply = packet;
    reply.flags = TcpFlags{false, true, false, false};
    return reply;
  }
};

TEST_CASE("a flow that goes silent while others are answered is reset") {
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

TEST_CASE("no flow is reset when its whole server is silent, or it is quiet") {
  SingleDaemon daemon(1);
  const Decision first =
      daemon.router->OnPacket(MakePacket(1, true), TimeAt(1));
  daemon.router->OnPacket(MakePacket(2, true), TimeAt(1));
  for (int i = 0; i < 40; ++i) {
    const double now = 2 + 0.5 * i;
    CHECK(daemon.router->OnPacket(MakePacket(1, false), TimeAt(now)).action ==
          Action::kForward);
  }
  // Bare acknowledgements of a feed need no answer.
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

TEST_CASE(
    "packets sent while a server was out of reach reset no flow after it") {
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
  // Cut off: both flows go on sending, and nothing comes back.
  for (double now = 3; now < 9; now += 0.5) {
    REQUIRE(daemon.router->OnPacket(one, TimeAt(now)).action ==
            Action::kForward);
    REQUIRE(daemon.router->OnPacket(two, TimeAt(now)).action ==
            Action::kForward);
  }
  // Healed: the second flow is heard first, the first one a while later.
  for (double now = 9; now < 14; now += 0.5) {
    REQUIRE(exchange(two, now) == Action::kForward);
  }
  CHECK(exchange(one, 14) == Action::kForward);
  CHECK(daemon.router->Stats().silent_resets == 0);
}

TEST_CASE("a server answers only for its own service and its own flows") {
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

TEST_CASE("a flow whose server's address is reused is given up") {
  SingleDaemon daemon(1);
  REQUIRE(daemon.router->OnPacket(MakePacket(1, true), TimeAt(1)).action ==
          Action::kForward);
  const Endpoint address = daemon.config.draft.servers["s0"].address;
  // The VM becomes a server of another service, under the same address.
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

// Two daemons that hear each other.
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

// First packets that one daemon placed in a zone a moment before it went out,
// and that reached nobody. Their callers repeat them at the other daemon, where
// the flows open; then the first daemon gets packets of them again.
void OpenFlowsAtOtherDaemon(DaemonPair& pair, bool exceptions) {
  std::vector<std::uint32_t> lost;
  for (std::uint32_t flow = 1; flow < 200; ++flow) {
    const Decision placed =
        pair.routers[0]->OnPacket(MakePacket(flow, true), TimeAt(pair.now));
    const std::string server(placed.server_name);
    if (!server.empty() && placed.deviates_from_table == exceptions &&
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

TEST_CASE("a flow that another daemon opened is not reset for a lost server") {
  DaemonPair pair;
  OpenFlowsAtOtherDaemon(pair, false);
}

TEST_CASE("nor if this daemon recorded its choice of that server") {
  DaemonPair pair;
  // New flows of a busy server are placed elsewhere, which is recorded.
  const std::vector<ServerShareLimit> limits{{"s0", 0.1}, {"s1", 0.1}};
  for (const auto& router : pair.routers) {
    router->SetServerShareLimits(limits, TimeAt(pair.now));
  }
  pair.AdvanceTime(5);
  OpenFlowsAtOtherDaemon(pair, true);
}

TEST_CASE("a service address that moves gives up the old service's flows") {
  SingleDaemon daemon(1);
  REQUIRE(daemon.router->OnPacket(MakePacket(1, true), TimeAt(1)).action ==
          Action::kForward);
  const Endpoint address = daemon.config.draft.services["desk"].addresses[0];
  daemon.config.draft.services["desk"].addresses.clear();
  daemon.config.AddServer("x0", "a", 0x0a000900);
  daemon.config.AddService("archive", address).servers.push_back({"x0", 100});
  daemon.router->ApplySnapshot(daemon.config.BuildSnapshot(), TimeAt(2));
  daemon.router->OnTick(TimeAt(4));
  // Known here, and unknown here: neither reaches the archive.
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

TEST_CASE("a flood of first packets evicts no record of an established flow") {
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

TEST_CASE("a quiet flow survives hours") {
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

TEST_CASE("a server with a hint gets its part of new flows only") {
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
  CHECK(before > 300);  // Not before every daemon can have heard of it.
  CHECK(after == 0);
}

}  // namespace
}  // namespace gcw::routing
