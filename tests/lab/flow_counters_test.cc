#include <catch2/catch.hpp>

#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

LoadSettings FlowsOnly(double per_s = 100) {
  LoadSettings load;
  load.flows_per_s = per_s;
  load.request_load = 0;
  return load;
}

// Routes all packets of a caller to the same server of its service.
ServerIndex StickyRoute(const Fixture& f, const InnerPacket& packet) {
  const auto& service =
      f.topology.services[f.topology.FindServiceByAddress(packet.destination)];
  return service.servers[packet.source.port % service.servers.size()];
}

TEST_CASE("flows that stay with their server are opened and never broken") {
  Fixture f(FlowsOnly());
  f.route = [&](const InnerPacket& p, DaemonIndex) {
    return StickyRoute(f, p);
  };
  f.flows.Start(f.scheduler.now() + absl::Seconds(10));
  f.scheduler.Advance(absl::Seconds(13));
  f.flows.Finish();
  CHECK(f.ledger.flows().opened > 800);
  CHECK(f.ledger.flows().broken == 0);
  CHECK(f.ledger.flows().not_opened == 0);
  CHECK(f.flows.open_flows() == 0);
}

TEST_CASE(
    "flows.broken increases when a daemon sends packets to a wrong server") {
  Fixture f(FlowsOnly());
  f.route = [&](const InnerPacket& p, DaemonIndex daemon) {
    const bool first = (p.flags & kTcpSyn) != 0;
    const ServerIndex own = StickyRoute(f, p);
    if (daemon != 2 || first || own > 13) {
      return own;
    }
    return (own + 3) % 14;  // Another server of the main service.
  };
  f.flows.Start(f.scheduler.now() + absl::Seconds(5));
  f.scheduler.Advance(absl::Seconds(6));
  CHECK(f.ledger.flows().broken > 50);
}

TEST_CASE("flows.broken increases when a flow gets no more answers") {
  Fixture f(FlowsOnly(0));
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
  f.scheduler.Advance(absl::Seconds(2));
  REQUIRE(f.ledger.flows().opened == 1);
  LinkRule rule;
  rule.kind = LinkKind::kCallers;
  rule.faults.loss = 1;
  f.network.AddRule(rule);
  f.scheduler.Advance(absl::Seconds(12));
  CHECK(f.ledger.flows().broken == 1);
}

TEST_CASE("a flow without a path to its server waits and then continues") {
  Fixture f(FlowsOnly(0));
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.flows.Open(0, 1, f.scheduler.now() + absl::Seconds(60));
  f.scheduler.Advance(absl::Seconds(2));
  f.world.Cut({1});
  f.route = nullptr;
  f.scheduler.Advance(absl::Seconds(20));
  CHECK(f.ledger.flows().broken == 0);
  f.world.Heal(f.scheduler.now());
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.scheduler.Advance(absl::Seconds(20));
  CHECK(f.ledger.flows().broken == 0);
  CHECK(f.flows.open_flows() == 1);
}

TEST_CASE(
    "flows.given_up increases when the server is lost, and its resets "
    "break no flow") {
  Fixture f(FlowsOnly(0));
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
  f.scheduler.Advance(absl::Seconds(1));
  f.flows.GiveUpFlowsOf(0);
  f.servers[0]->Restart({}, false);
  f.scheduler.Advance(absl::Seconds(10));
  CHECK(f.ledger.flows().given_up == 1);
  CHECK(f.ledger.flows().broken == 0);
  CHECK(f.flows.open_flows() == 0);
}

TEST_CASE("a flow that is established in a zone that is out is given up") {
  Fixture f(FlowsOnly(0));
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
  f.world.set_zone_out_since(f.topology.servers[0].zone, f.scheduler.now());
  f.scheduler.Advance(absl::Seconds(1));
  CHECK(f.ledger.flows().opened == 1);
  CHECK(f.ledger.flows().given_up == 1);
  f.servers[0]->Restart({}, false);
  f.scheduler.Advance(absl::Seconds(10));
  CHECK(f.ledger.flows().broken == 0);
}

TEST_CASE("flows.silent_stuck increases unless a silent flow is reset") {
  for (const bool reset : {false, true}) {
    Fixture f(FlowsOnly(0));
    f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
    f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
    f.scheduler.Advance(absl::Seconds(1));
    Endpoint caller;
    f.servers[0]->SilenceFlows(1, [&](const Endpoint& endpoint) {
      caller = endpoint;
      f.flows.OnFlowSilenced(endpoint);
    });
    REQUIRE(f.ledger.flows().silent == 1);
    f.scheduler.Advance(absl::Seconds(5));
    if (reset) {
      InnerPacket packet;
      packet.source = f.topology.services[0].address;
      packet.destination = caller;
      packet.flags = kTcpRst;
      f.flows.OnPacket(packet);
    }
    f.scheduler.Advance(absl::Seconds(30));
    CHECK(f.ledger.flows().silent_stuck == (reset ? 0 : 1));
    CHECK(f.ledger.flows().broken == 0);
  }
}

TEST_CASE("a reset of a healthy flow by a daemon breaks it") {
  Fixture f(FlowsOnly(0));
  f.route = [&](const InnerPacket&, DaemonIndex) { return ServerIndex{0}; };
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
  f.scheduler.Advance(absl::Seconds(1));
  InnerPacket packet;
  packet.source = f.topology.services[0].address;
  packet.destination = DecodePacket(f.from_callers[0])->source;
  packet.flags = kTcpRst;
  f.flows.OnPacket(packet);
  CHECK(f.ledger.flows().broken == 1);
}

TEST_CASE(
    "flows.second_server increases when a first packet reaches two servers") {
  Fixture f(FlowsOnly(0));
  LinkRule rule;
  rule.kind = LinkKind::kCallers;
  rule.faults.duplicate = 1;
  f.network.AddRule(rule);
  ServerIndex next = 0;
  f.route = [&](const InnerPacket& p, DaemonIndex) {
    return (p.flags & kTcpSyn) != 0 ? next++ % 2 : ServerIndex{0};
  };
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(1));
  f.scheduler.Advance(absl::Seconds(1));
  CHECK(f.ledger.flows().second_server > 0);
}

TEST_CASE("flows.not_opened increases when nobody answers") {
  Fixture f(FlowsOnly(0));
  f.flows.Open(0, 0, f.scheduler.now() + absl::Seconds(60));
  f.scheduler.Advance(absl::Seconds(20));
  CHECK(f.ledger.flows().not_opened == 1);
  CHECK(f.ledger.flows().broken == 0);
}

}  // namespace
}  // namespace gcw::lab
