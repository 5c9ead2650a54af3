#include <catch2/catch.hpp>

#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

// Just after the end of the grace period.
const absl::Duration kLate = kOperatorChangeGrace + absl::Milliseconds(1);

TEST_CASE(
    "packets.misdelivered counts a flow packet for a service of other "
    "servers") {
  Fixture f;
  const ServerIndex archive = f.topology.FindServer("archive-1");
  f.SendFlow(0, kTcpSyn);
  CHECK(f.ledger.packets().misdelivered == 0);
  f.SendFlow(archive, kTcpSyn);
  CHECK(f.ledger.packets().misdelivered == 1);
  CHECK(f.SentPackets().size() == 1);  // The wrong server sends no reply.
  CHECK(f.ledger.notes().at(0).kind == "packets.misdelivered");
}

TEST_CASE(
    "packets.misdelivered counts a flow packet of another organisation's "
    "service") {
  Fixture f;
  const ServiceIndex shelf = f.topology.FindService("shelf");
  f.SendFlow(f.topology.FindServer("dispatch-1"), kTcpSyn, shelf);
  CHECK(f.ledger.packets().misdelivered == 0);
  f.SendFlow(f.topology.FindServer("dispatch-9"), kTcpSyn, shelf);
  CHECK(f.ledger.packets().misdelivered == 1);
}

TEST_CASE(
    "packets.misdelivered counts a request for a service of other servers") {
  Fixture f;
  f.SendRequest(0, "a", "a/1", 1);
  CHECK(f.ledger.packets().misdelivered == 1);
  CHECK(f.Sent<ShedMessage>().empty());
}

TEST_CASE(
    "packets for the former service of a reassigned server count as "
    "misdelivered") {
  Fixture f;
  f.SendFlow(3, kTcpSyn);
  f.servers[3]->Reassign(1);
  f.SendFlow(3, kTcpAck);
  CHECK(f.ledger.packets().misdelivered == 1);
}

TEST_CASE(
    "packets.to_out_zone_late counts packets only after the grace period") {
  Fixture f;
  f.world.set_zone_out_since(f.topology.servers[2].zone, f.scheduler.now());
  f.scheduler.Advance(kOperatorChangeGrace);
  f.SendFlow(2, kTcpSyn);
  CHECK(f.ledger.packets().to_out_zone_late == 0);
  f.scheduler.Advance(absl::Milliseconds(1));
  f.SendFlow(2, kTcpSyn);
  CHECK(f.ledger.packets().to_out_zone_late == 1);
  f.SendFlow(0, kTcpSyn);  // A server of another zone.
  CHECK(f.ledger.packets().to_out_zone_late == 1);
}

TEST_CASE(
    "the grace period of a daemon that was cut off starts when the partition "
    "heals") {
  Fixture f;
  f.world.set_zone_out_since(f.topology.servers[2].zone, f.scheduler.now());
  f.world.Cut({f.topology.daemons[0].zone});
  f.scheduler.Advance(kLate);
  f.SendFlow(2, kTcpSyn);
  CHECK(f.ledger.packets().to_out_zone_late == 0);
  f.world.Heal(f.scheduler.now());
  f.scheduler.Advance(kLate);
  f.SendFlow(2, kTcpSyn);
  CHECK(f.ledger.packets().to_out_zone_late == 1);
}

TEST_CASE("work.to_leaving_late counts new flows and requests only") {
  Fixture f;
  f.SendFlow(4, kTcpSyn, 0, 5001);
  f.world.server(4).leaving_since = f.scheduler.now();
  f.scheduler.Advance(kLate);
  f.SendFlow(4, kTcpSyn, 0, 5001);  // A retransmitted SYN of an open flow.
  f.SendFlow(4, kTcpAck, 0, 5001);
  CHECK(f.ledger.work().to_leaving_late == 0);
  f.SendFlow(4, kTcpSyn, 0, 5002);
  CHECK(f.ledger.work().to_leaving_late == 1);
  f.SendRequest(4, "a", "a/1");
  CHECK(f.ledger.work().to_leaving_late == 2);
}

TEST_CASE(
    "packets.malformed counts bytes that are neither a packet nor a message") {
  Fixture f;
  const Bytes garbage = {0x45, 1, 2, 3};
  const Bytes no_message = {0xa1, 0x61};
  f.servers[0]->OnDatagram(garbage, f.DaemonAddress(0), 0);
  f.servers[0]->OnDatagram(no_message, f.DaemonAddress(0), 0);
  CHECK(f.ledger.packets().malformed == 2);
}

TEST_CASE("a server answers packets of unknown connections with a reset") {
  Fixture f;
  f.SendFlow(0, kTcpAck);
  REQUIRE(f.SentPackets().size() == 1);
  CHECK((f.SentPackets()[0].flags & kTcpRst) != 0);
  f.SendFlow(0, kTcpSyn);
  f.SendFlow(0, kTcpAck);
  CHECK((f.SentPackets()[2].flags & kTcpRst) == 0);
  f.servers[0]->Restart({}, false);
  f.SendFlow(0, kTcpAck);
  CHECK((f.SentPackets()[3].flags & kTcpRst) != 0);
}

}  // namespace
}  // namespace gcw::lab
