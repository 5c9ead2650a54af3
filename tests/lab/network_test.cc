#include "src/lab/network.h"

#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include "absl/time/clock.h"
#include "src/lab/loopback_claim.h"
#include "src/lab/peer_proxy.h"
#include "tests/lab/fixture.h"

namespace gcw::lab {
namespace {

constexpr std::uint16_t kMembership = 7005;
constexpr std::uint16_t kControl = 7006;

int CountDelivered(Fixture& f, LinkKind kind, int sent) {
  int delivered = 0;
  for (int i = 0; i < sent; ++i) {
    f.network.Carry(kind, 0, 1, [&] { ++delivered; });
  }
  f.scheduler.Advance(absl::Seconds(1));
  return delivered;
}

TEST_CASE(
    "loss, duplication and partitions affect only the links they are set for") {
  Fixture f;
  CHECK(CountDelivered(f, LinkKind::kPeers, 1000) == 1000);
  LinkRule rule;
  rule.kind = LinkKind::kPeers;
  rule.faults.loss = 0.5;
  f.network.AddRule(rule);
  CHECK(CountDelivered(f, LinkKind::kPeers, 1000) < 600);
  CHECK(CountDelivered(f, LinkKind::kServers, 1000) == 1000);
  rule.faults = LinkFaults();
  rule.faults.duplicate = 1;
  f.network.AddRule(rule);
  CHECK(CountDelivered(f, LinkKind::kPeers, 1000) == 2000);
  f.network.ClearRules();
  f.world.Cut({1});
  CHECK(CountDelivered(f, LinkKind::kPeers, 1000) == 0);
  f.world.Heal(f.scheduler.now());
  CHECK(CountDelivered(f, LinkKind::kPeers, 1000) == 1000);
}

TEST_CASE("a rule for one pair of zones does not affect other pairs") {
  Fixture f;
  LinkRule rule;
  rule.kind = LinkKind::kPeers;
  rule.zones = std::pair<ZoneIndex, ZoneIndex>(0, 2);
  rule.faults.loss = 1;
  f.network.AddRule(rule);
  CHECK(CountDelivered(f, LinkKind::kPeers, 10) == 10);  // From zone 0 to 1.
}

TEST_CASE("packets arrive after the delay of the deployment") {
  Fixture f;
  bool arrived = false;
  f.network.Carry(LinkKind::kCallers, 0, 0, [&] { arrived = true; });
  f.scheduler.Advance(absl::Microseconds(2999));
  CHECK_FALSE(arrived);
  f.scheduler.Advance(absl::Microseconds(1));
  CHECK(arrived);
}

TEST_CASE(
    "the fabric sends packets only to daemons on the caller's side of a "
    "partition") {
  Fixture f;
  f.world.Cut({1});
  std::vector<int> hits(f.topology.daemons.size());
  for (int i = 0; i < 300; ++i) {
    ++hits[*f.fabric.Spray(1, Bytes(40))];
    ++hits[*f.fabric.Spray(0, Bytes(40))];
  }
  CHECK(hits[1] == 300);  // entry-2 is the only daemon in the cut zone.
  CHECK(hits[0] + hits[2] + hits[3] == 300);
  f.fabric.SetSprayed(1, false);
  CHECK_FALSE(f.fabric.Spray(1, Bytes(40)).has_value());
}

// A proxy on real sockets. Tests open the sockets of the two daemons
// themselves.
class ProxyFixture {
 public:
  ProxyFixture()
      : claim(std::move(LoopbackClaim::Make().value())),
        loop(std::move(EventLoop::Make().value())),
        topology(MakeTopology("valtellina", claim->octet(), 2)),
        world(topology),
        network(*loop, world, 1),
        proxy(std::move(PeerProxy::Make(*loop, world, network).value())) {}

  void Run(int ms) { loop->RunUntil(absl::Now() + absl::Milliseconds(ms)); }

  std::unique_ptr<LoopbackClaim> claim;
  std::unique_ptr<EventLoop> loop;
  Topology topology;
  World world;
  Network network;
  std::unique_ptr<PeerProxy> proxy;
};

TEST_CASE(
    "the proxy forwards datagrams with the sender's advertised address as "
    "source") {
  ProxyFixture f;
  const DaemonInfo& a = f.topology.daemons[0];
  const DaemonInfo& b = f.topology.daemons[1];
  std::vector<Endpoint> sources;
  auto receiver = UdpPort::Make(
      *f.loop, {b.bind, kMembership},
      [&](std::span<const std::uint8_t> bytes, const Endpoint& from) {
        CHECK(bytes.size() == 100);
        sources.push_back(from);
      });
  auto sender =
      UdpPort::Make(*f.loop, {a.bind, kMembership}, [](auto, auto) {});
  REQUIRE(receiver.ok());
  REQUIRE(sender.ok());
  sender.value()->Send(Bytes(100), {b.advertise, kMembership});
  f.Run(50);
  REQUIRE(sources.size() == 1);
  CHECK(sources[0] == Endpoint{a.advertise, kMembership});
  // The total control.bytes_per_s is computed from these counts.
  CHECK(f.proxy->traffic()[0].control_sent == 100);
  CHECK(f.proxy->traffic()[1].control_received == 100);
  f.world.Cut({b.zone});
  sender.value()->Send(Bytes(100), {b.advertise, kMembership});
  f.Run(50);
  CHECK(sources.size() == 1);
}

TEST_CASE(
    "the proxy forwards streams, holds them back in a partition and closes "
    "them") {
  ProxyFixture f;
  const DaemonInfo& a = f.topology.daemons[0];
  const DaemonInfo& b = f.topology.daemons[1];
  const auto address = [](std::uint32_t ip, std::uint16_t port) {
    return Endpoint{ip, port}.ToSockaddr();
  };
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in listen_at = address(b.bind, kControl);
  REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&listen_at),
               sizeof(listen_at)) == 0);
  REQUIRE(listen(listener, 1) == 0);
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in from = address(a.bind, 0);
  const sockaddr_in to = address(b.advertise, kControl);
  REQUIRE(bind(client, reinterpret_cast<const sockaddr*>(&from),
               sizeof(from)) == 0);
  REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) ==
          0);
  f.Run(50);
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  const int server =
      accept(listener, reinterpret_cast<sockaddr*>(&peer), &size);
  CHECK(Endpoint::FromSockaddr(peer).ip == a.advertise);

  char buffer[64];
  REQUIRE(send(client, "one", 3, 0) == 3);
  f.Run(50);
  CHECK(recv(server, buffer, sizeof(buffer), MSG_DONTWAIT) == 3);
  CHECK(f.proxy->traffic()[0].control_sent == 3);
  f.world.Cut({b.zone});
  REQUIRE(send(client, "two", 3, 0) == 3);
  f.Run(100);
  CHECK(recv(server, buffer, sizeof(buffer), MSG_DONTWAIT) == -1);
  f.world.Heal(absl::Now());
  f.Run(150);
  CHECK(recv(server, buffer, sizeof(buffer), MSG_DONTWAIT) == 3);
  close(client);
  f.Run(50);
  CHECK(recv(server, buffer, sizeof(buffer), MSG_DONTWAIT) == 0);
  close(server);
  close(listener);
  f.Run(50);
}

}  // namespace
}  // namespace gcw::lab
