#include "gcw/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "src/membership/member_table.h"
#include "tests/membership/network.h"

namespace gcw::membership {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};

TEST_CASE("bad options are refused with their field") {
  Options options;
  options.zone = "a";
  options.advertise = Endpoint{1, 1};
  const auto field = [](const Options& o) {
    auto made = Membership::Make(o, absl::UnixEpoch(), 1);
    REQUIRE_FALSE(made.ok());
    return made.error().field;
  };
  CHECK(field(options) == "name");
  options.name = std::string(65, 'x');
  CHECK(field(options) == "name");
  options.name = "a";
  options.zone = "a b";
  CHECK(field(options) == "zone");
  options.zone = "a";
  options.advertise.port = 0;
  CHECK(field(options) == "advertise");
}

TEST_CASE("daemons that know one seed find each other") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    const auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(10));
    INFO("seed " << seed << " took " << took);
    CHECK(network.Agreed());
    CHECK(took < absl::Seconds(3));
  }
}

TEST_CASE("a platform seed is contacted and its removal removes nobody") {
  Network network(1);
  network.AddAll(2, 1);
  auto& extra = network.Add(1);
  extra.membership->SetSettingsSeeds({});
  network.node(0).membership->SetSettingsSeeds({});
  network.node(1).membership->SetSettingsSeeds({});
  const std::vector<Seed> vms = {
      {network.node(0).name, "zone-0", network.node(0).address},
      {network.node(1).name, "zone-0", network.node(1).address},
      {extra.name, "zone-0", extra.address}};
  network.Run(absl::Seconds(2));
  CHECK(network.node(0).membership->live_count() == 0);
  network.node(0).membership->SetPlatformSeeds(vms);
  network.Run(absl::Seconds(8));
  CHECK(network.Agreed());
  network.node(0).membership->SetPlatformSeeds({});
  network.Run(absl::Seconds(5));
  CHECK(network.Agreed());
}

TEST_CASE("a killed daemon is noticed in about two seconds") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.node(3).running = false;
    const auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(10));
    INFO("seed " << seed << " took " << took);
    CHECK(took < absl::Seconds(3));
    CHECK(network.CountEvents(EventType::kDied, "entry-3") == 3);
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
  }
}

TEST_CASE("two daemons killed at once are noticed") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.node(1).running = false;
    network.node(2).running = false;
    const auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(10));
    INFO("seed " << seed << " took " << took);
    CHECK(took < absl::Seconds(4));
  }
}

TEST_CASE("loss, delay and duplication throw nobody out") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.10;
    network.faults.duplication = 0.10;
    network.faults.max_delay = absl::Milliseconds(40);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(10));
    network.ClearCounters();
    network.Run(absl::Seconds(120));
    std::size_t died = 0;
    for (std::size_t i = 0; i < network.size(); ++i) {
      died += network.CountEvents(EventType::kDied, network.node(i).name);
    }
    INFO("seed " << seed);
    CHECK(died == 0);
    network.faults = {};
    network.Run(absl::Seconds(3));
    CHECK(network.Agreed());
  }
}

TEST_CASE("a daemon paused for a second is not thrown out") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.Pause(network.node(2));
    network.Run(absl::Seconds(1));
    network.Resume(network.node(2));
    network.Run(absl::Seconds(5));
    INFO("seed " << seed);
    CHECK(network.Agreed());
    CHECK(network.CountEvents(EventType::kDied, "entry-2") == 0);
    // Neither does it throw out the others on waking.
    CHECK(network.CountEvents(EventType::kDied, "entry-0") == 0);
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
  }
}

TEST_CASE("a daemon paused for long is thrown out and comes back") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.Pause(network.node(2));
    network.Run(absl::Seconds(8));
    CHECK(network.CountEvents(EventType::kDied, "entry-2") == 3);
    network.Resume(network.node(2));
    const auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(10));
    INFO("seed " << seed << " took " << took);
    CHECK(took < absl::Seconds(2));
    // It held nobody for dead because of its own absence.
    CHECK(network.CountEvents(EventType::kDied, "entry-0") == 0);
    // It has kept its state, which others may rely on.
    CHECK(network.CountEvents(EventType::kRestarted, "entry-2") == 0);
  }
}

TEST_CASE("links that turn slow part nobody for long") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.faults.min_delay = absl::Milliseconds(1500);
    network.faults.max_delay = absl::Milliseconds(3000);
    // The silence of the first seconds looks like death; after it messages
    // arrive all the time, if late.
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    for (int step = 0; step < 200; ++step) {
      network.Run(absl::Milliseconds(100));
      for (std::size_t i = 0; i < network.size(); ++i) {
        REQUIRE(network.node(i).membership->live_count() == 3);
      }
    }
    network.faults = {};
    network.Run(absl::Seconds(5));
    CHECK(network.Agreed());
  }
}

TEST_CASE("a graceful leave is known at once and lasts") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.2;
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& leaver = network.node(1);
    network.Send(leaver, leaver.membership->Leave(network.now()));
    network.Run(absl::Milliseconds(1200));
    leaver.running = false;
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->state == MemberState::kLeft);
    }
    CHECK(network.CountEvents(EventType::kLeft, "entry-1") == 3);
    network.faults.loss = 0;
    network.Run(absl::Seconds(10));
    CHECK(network.Agreed());
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
    CHECK(network.CountEvents(EventType::kJoined, "entry-1") == 0);
  }
}

TEST_CASE(
    "a daemon that begins to leave stays a live member until it is gone") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.2;
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& leaver = network.node(1);
    leaver.membership->BeginLeave();
    network.Run(absl::Milliseconds(1500));
    INFO("seed " << seed);
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->live());
      CHECK(member->leaving());
    }
    CHECK(network.CountEvents(EventType::kLeaving, "entry-1") == 3);

    // Neither time nor a suspicion makes it stay.
    leaver.paused = true;
    network.Run(absl::Milliseconds(1500));
    leaver.paused = false;
    network.Run(absl::Seconds(5));
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->live());
      CHECK(member->leaving());
    }

    network.faults.loss = 0;
    network.Send(leaver, leaver.membership->Leave(network.now()));
    network.Run(absl::Milliseconds(1200));
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->state == MemberState::kLeft);
    }
  }
}

TEST_CASE("a daemon restarted under its name is seen as new") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& node = network.node(3);
    node.running = false;
    network.Run(absl::Milliseconds(300));
    network.Start(node);
    network.Run(absl::Seconds(4));
    INFO("seed " << seed);
    CHECK(network.Agreed());
    CHECK(network.CountEvents(EventType::kRestarted, "entry-3") == 3);
  }
}

TEST_CASE("a name whose last process had a clock ahead comes back") {
  Network network(1);
  network.AddAll(3, 3);
  network.Run(absl::Seconds(3));
  auto& node = network.node(2);
  // The earlier process numbered itself from a clock that is a day ahead.
  Options options;
  options.name = node.name;
  options.zone = node.zone;
  options.advertise = node.address;
  node.membership = std::move(
      Membership::Make(options, network.now() + absl::Hours(24), 9).value());
  const std::vector<Seed> seeds = {{"", "", network.node(0).address}};
  node.membership->SetSettingsSeeds(seeds);
  network.Run(absl::Seconds(3));
  node.running = false;
  network.Run(absl::Seconds(5));
  const auto old_start =
      network.node(0).membership->Find(node.name)->incarnation;
  network.Start(node);
  network.Run(absl::Seconds(5));
  CHECK(network.Agreed());
  const auto member = network.node(0).membership->Find(node.name);
  CHECK(ProcessStart(member->incarnation) > ProcessStart(old_start));
}

TEST_CASE("a partition splits and heals") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(6, 3);
    network.Run(absl::Seconds(5));
    network.Partition(
        [](const Network::Node& n) { return n.zone == "zone-0" ? 0 : 1; });
    network.Run(absl::Seconds(20));
    // Each side knows itself whole.
    CHECK(network.node(0).membership->live_count() == 1);
    CHECK(network.node(1).membership->live_count() == 3);
    network.ClearCounters();
    network.Heal();
    const auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(30));
    INFO("seed " << seed << " took " << took);
    CHECK(took < absl::Seconds(5));
    for (std::size_t i = 0; i < network.size(); ++i) {
      CHECK(network.CountEvents(EventType::kRestarted, network.node(i).name) ==
            0);
    }
  }
}

TEST_CASE("two daemons that cannot reach each other directly stay members") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddAll(4, 1);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.CutLink(network.node(0), network.node(1));
    network.Run(absl::Seconds(30));
    INFO("seed " << seed);
    CHECK(network.CountEvents(EventType::kDied, "entry-0") == 0);
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
  }
}

TEST_CASE("revisions and payloads arrive with messages") {
  Network network(3);
  network.AddAll(4, 3);
  network.Run(absl::Seconds(5));
  const std::vector<std::uint8_t> payload = {9, 8, 7};
  network.node(0).membership->SetRevision(42);
  network.node(0).membership->SetPayload(payload);
  const auto all_know = [&] {
    for (std::size_t i = 1; i < network.size(); ++i) {
      if (network.node(i).membership->Find("entry-0")->revision != 42) {
        return false;
      }
    }
    return true;
  };
  CHECK(network.RunUntil(all_know, absl::Seconds(5)) < absl::Milliseconds(400));
  const auto& payloads = network.node(1).payloads;
  CHECK(std::any_of(payloads.begin(), payloads.end(), [&](const auto& p) {
    return p.member == "entry-0" && p.bytes == payload;
  }));
}

TEST_CASE("a stream of revisions costs little") {
  Network network(3);
  network.AddAll(4, 3);
  network.Run(absl::Seconds(5));
  network.ClearCounters();
  for (std::uint64_t revision = 1; revision <= 100; ++revision) {
    for (std::size_t i = 0; i < network.size(); ++i) {
      network.node(i).membership->SetRevision(revision);
    }
    network.Run(absl::Milliseconds(200));
  }
  // 20 s at 4 daemons; without changes each sends about 420 bytes a second.
  for (std::size_t i = 0; i < network.size(); ++i) {
    CHECK(network.node(i).bytes < 20 * 1100);
  }
}

TEST_CASE("every live member is heard from within seconds") {
  Network network(4);
  network.AddAll(4, 3);
  network.Run(absl::Seconds(5));
  absl::Duration worst = absl::ZeroDuration();
  for (int step = 0; step < 600; ++step) {
    network.Run(absl::Milliseconds(100));
    for (std::size_t i = 0; i < network.size(); ++i) {
      for (const Member& m : network.node(i).membership->members()) {
        worst = std::max(worst, network.now() - m.last_heard);
      }
    }
  }
  INFO("worst " << worst);
  CHECK(worst < absl::Seconds(3));
}

TEST_CASE("a message under this daemon's own name changes nothing") {
  Network network(5);
  network.AddAll(2, 1);
  network.Run(absl::Seconds(3));
  Message message;
  message.sender = ToGossip(network.node(0).membership->self());
  message.sender.state = MemberState::kDead;
  const auto actions = network.node(0).membership->OnMessage(
      network.node(1).address, message, network.now());
  CHECK(actions.messages.empty());
  CHECK(actions.events.empty());
}

TEST_CASE("64 daemons in 3 zones join, lose one and agree") {
  for (std::uint64_t seed : {1, 2}) {
    Network network(seed);
    network.AddAll(64, 3);
    auto took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(60));
    INFO("seed " << seed << " joined after " << took);
    CHECK(took < absl::Seconds(20));
    network.Run(absl::Seconds(5));
    network.node(10).running = false;
    took =
        network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(60));
    INFO("death known after " << took);
    CHECK(took < absl::Seconds(10));
  }
}

TEST_CASE("a third of 48 daemons is cut off and comes back") {
  Network network(6);
  network.AddAll(48, 3);
  network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(60));
  network.Partition(
      [](const Network::Node& n) { return n.zone == "zone-2" ? 0 : 1; });
  network.Run(absl::Seconds(30));
  CHECK(network.node(2).membership->live_count() == 15);
  CHECK(network.node(0).membership->live_count() == 31);
  network.Heal();
  const auto took =
      network.RunUntil([&] { return network.Agreed(); }, absl::Seconds(60));
  INFO("healed after " << took);
  CHECK(took < absl::Seconds(20));
}

}  // namespace
}  // namespace gcw::membership
