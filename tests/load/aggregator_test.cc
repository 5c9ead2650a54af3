#include "gcw/load/aggregator.h"

#include <catch2/catch.hpp>

#include "tests/load/fleet_fixture.h"

namespace gcw::load {
namespace {

// Guards against trees that lose or count a daemon twice at some size.
TEST_CASE("every daemon knows the load of the whole fleet") {
  for (const auto& [zones, daemons] :
       std::vector<std::pair<std::size_t, std::size_t>>{
           {1, 1}, {3, 1}, {2, 2}, {3, 10}, {3, 27}, {4, 75}}) {
    CAPTURE(zones, daemons);
    Fleet fleet(zones, daemons);
    fleet.Run(absl::Seconds(4));
    for (const Peer& peer : fleet.peers()) {
      CHECK(fleet.Outstanding(peer.name) == 2 * zones * daemons);
      CHECK(fleet.Total(peer.name).coverage.size() == zones);
      CHECK(fleet.Age(peer.name) < absl::Milliseconds(1200));
    }
    CHECK(fleet.ignored() == 0);
  }
}

// Guards against figures that wait for a round at each level of a tree.
TEST_CASE("a change of load is known everywhere within a second") {
  Fleet fleet(3, 27);
  fleet.Run(absl::Seconds(4));
  for (int i = 0; i < 27; ++i) {
    fleet.SetLoad("daemon-" + std::to_string(1000 + i), 8);
  }
  fleet.Run(absl::Milliseconds(1000));
  for (const Peer& peer : fleet.peers()) {
    CHECK(fleet.Outstanding(peer.name) == 27 * 8 + 54 * 2);
  }
}

// The mean of a server's answers would otherwise mix several zones, whose
// callers have other delays.
TEST_CASE("figures of single servers stay in the zone of their daemons") {
  Fleet fleet(3, 10);
  fleet.Run(absl::Seconds(5));
  const auto servers = fleet.Total("daemon-1007").sum.servers;
  REQUIRE(servers.size() == 1);
  CHECK(servers[0].outstanding == 10);
  CHECK(servers[0].answers == 20);
}

// With one tree, the loss of its root would leave a zone without figures until
// the failure is noticed.
TEST_CASE("a daemon that dies removes only its own load from the sum") {
  for (const char* name : {"daemon-1000", "daemon-1009", "daemon-1004"}) {
    CAPTURE(name);
    Fleet fleet(3, 10);
    fleet.Run(absl::Seconds(4));
    fleet.Stop(name);
    // Before the others have noticed: one of the trees goes on.
    fleet.Run(absl::Seconds(2));
    for (const Peer& peer : fleet.peers()) {
      if (peer.name != name) {
        CHECK(fleet.Outstanding(peer.name) >= 50);
        CHECK(fleet.Outstanding(peer.name) <= 60);
      }
    }
    fleet.RemoveStopped();
    fleet.Run(absl::Seconds(3));
    for (const Peer& peer : fleet.peers()) {
      CHECK(fleet.Outstanding(peer.name) == 58);
    }
  }
}

// Guards against figures of a lost zone that stay in the sum.
TEST_CASE("a zone that is cut off disappears from the sum and comes back") {
  Fleet fleet(3, 10);
  fleet.Run(absl::Seconds(4));
  fleet.Separate("zone-1");
  fleet.Run(absl::Seconds(2));
  CHECK(fleet.Outstanding("daemon-1003") == 40);
  CHECK(fleet.Total("daemon-1003").coverage.size() == 2);
  CHECK(fleet.Outstanding("daemon-1013") == 20);
  fleet.Separate("");
  fleet.Run(absl::Seconds(2));
  CHECK(fleet.Outstanding("daemon-1003") == 60);
  CHECK(fleet.Outstanding("daemon-1013") == 60);
}

// One daemon with a fault must not send the callers of the whole fleet away.
TEST_CASE("a daemon that reports a thousand times its load counts as a few") {
  for (const char* name : {"daemon-1000", "daemon-1002", "daemon-1007"}) {
    CAPTURE(name);
    Fleet fleet(3, 10);
    fleet.SetLoad(name, 2000);
    fleet.Run(absl::Seconds(4));
    for (const Peer& peer : fleet.peers()) {
      // The daemon with the fault itself knows no better.
      if (peer.name != name) {
        CHECK(fleet.Outstanding(peer.name) <= 400);
      }
    }
  }
}

// Guards against loops and wrong sums while daemons have different lists of
// members.
TEST_CASE("messages of daemons without a part in the tree are ignored") {
  auto daemon = Aggregator::Make({.name = "a", .zone = "zone"}).value();
  const std::vector<Peer> peers{{"b", "zone"}, {"c", "zone"}};
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  daemon->SetPeers(peers, now);
  const Message message{.type = MessageType::kTotal};
  CHECK(daemon->OnMessage("b", message, now).empty());
  CHECK(daemon->OnMessage("unknown", message, now).empty());
  CHECK(daemon->ignored_messages() == 2);
}

// Each change of the members put off the next round of the second tree by a
// quarter of a second, so that it had none while members changed often.
TEST_CASE("frequent changes of the members delay no round") {
  auto daemon = Aggregator::Make({.name = "z", .zone = "zone"}).value();
  const std::vector<Peer> peers{{"a", "zone"}, {"b", "zone"}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  int rounds = 0;
  for (int i = 0; i < 60; ++i, now += absl::Milliseconds(50)) {
    daemon->SetPeers(
        std::span(peers).first(1 + static_cast<std::size_t>(i % 2)), now);
    daemon->SetOwn({.zones = {{.service = 1, .zone = 2, .outstanding = 1}}},
                   now);
    for (const OutgoingMessage& out : daemon->OnTick(now)) {
      rounds +=
          out.message.type == MessageType::kTotal && out.to == "a" ? 1 : 0;
    }
  }
  CHECK(rounds >= 5);  // In 3 s.
}

// Control traffic has 4 KB/s for each daemon, of which members and state
// take 1.
TEST_CASE("the cost of a daemon does not grow with the fleet") {
  for (const std::size_t daemons : {10U, 27U, 100U}) {
    CAPTURE(daemons);
    Fleet fleet(3, daemons);
    fleet.Run(absl::Seconds(4));
    fleet.sent_bytes().clear();
    fleet.Run(absl::Seconds(10));
    std::size_t most = 0;
    std::size_t total = 0;
    for (const auto& [name, bytes] : fleet.sent_bytes()) {
      most = std::max(most, bytes / 10);
      total += bytes / 10;
    }
    CAPTURE(total / fleet.peers().size(), most);
    CHECK(most < 2500);
    CHECK(total / fleet.peers().size() < 1000);
  }
}

// Guards against constant control traffic of a fleet without load.
TEST_CASE("an idle fleet sends less") {
  Fleet busy(3, 10);
  Fleet idle(3, 10);
  for (const Peer& peer : idle.peers()) {
    idle.SetLoad(peer.name, 0);
  }
  const auto total = [](Fleet& fleet) {
    fleet.Run(absl::Seconds(4));
    fleet.sent_bytes().clear();
    fleet.Run(absl::Seconds(10));
    double bytes = 0;
    for (const auto& [name, sent] : fleet.sent_bytes()) {
      bytes += static_cast<double>(sent);
    }
    return bytes;
  };
  CHECK(total(idle) < 0.7 * total(busy));
}

TEST_CASE("invalid options are refused") {
  CHECK_FALSE(Aggregator::Make({.name = "", .zone = "z"}).ok());
  CHECK_FALSE(Aggregator::Make({.name = "a", .zone = "z", .fanout = 0}).ok());
}

}  // namespace
}  // namespace gcw::load
