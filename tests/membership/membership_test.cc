#include "gcw/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "src/membership/member_table.h"
#include "tests/membership/network.h"

namespace gcw::membership {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};

TEST_CASE("errors about invalid options name the field") {
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

TEST_CASE("daemons that share seeds find each other") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    const auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                          absl::Seconds(10));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(network.Converged());
    CHECK(elapsed < absl::Seconds(3));
  }
}

TEST_CASE("a platform seed is contacted and its removal removes no member") {
  Network network(1);
  network.AddNodes(2, 1);
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
  CHECK(network.Converged());
  network.node(0).membership->SetPlatformSeeds({});
  network.Run(absl::Seconds(5));
  CHECK(network.Converged());
}

TEST_CASE("a killed daemon is detected within three seconds") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.node(3).running = false;
    const auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                          absl::Seconds(10));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(3));
    CHECK(network.CountEvents(EventType::kDied, "entry-3") == 3);
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
  }
}

TEST_CASE("two daemons killed at once are detected within four seconds") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.node(1).running = false;
    network.node(2).running = false;
    const auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                          absl::Seconds(10));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(4));
  }
}

// Lost or late acks must not make the detector declare a running daemon dead.
TEST_CASE("loss, delay and duplication do not remove live daemons") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.10;
    network.faults.duplication = 0.10;
    network.faults.max_delay = absl::Milliseconds(40);
    network.AddNodes(4, 3);
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
    CHECK(network.Converged());
  }
}

// A paused daemon does not answer the probes of others. Its own probes expire
// although the answers wait in its socket.
TEST_CASE("a pause of one second does not remove a daemon") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.Pause(network.node(2));
    network.Run(absl::Seconds(1));
    network.Resume(network.node(2));
    network.Run(absl::Seconds(5));
    INFO("seed " << seed);
    CHECK(network.Converged());
    CHECK(network.CountEvents(EventType::kDied, "entry-2") == 0);
    // The paused daemon does not remove other daemons when it resumes.
    CHECK(network.CountEvents(EventType::kDied, "entry-0") == 0);
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
  }
}

TEST_CASE("a daemon that is paused for long is removed and joins again") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    network.Pause(network.node(2));
    network.Run(absl::Seconds(8));
    CHECK(network.CountEvents(EventType::kDied, "entry-2") == 3);
    network.Resume(network.node(2));
    const auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                          absl::Seconds(10));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(2));
    // The paused daemon did not declare another daemon dead.
    CHECK(network.CountEvents(EventType::kDied, "entry-0") == 0);
    // The daemon has kept its state, so it must not count as restarted.
    CHECK(network.CountEvents(EventType::kRestarted, "entry-2") == 0);
  }
}

// When links become slow, no message arrives for a while, and later refutations
// take seconds. A message from a member must then be enough to keep the member.
TEST_CASE("slow links remove live daemons only for a short time") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.faults.min_delay = absl::Milliseconds(1500);
    network.faults.max_delay = absl::Milliseconds(3000);
    // In the first seconds no message arrives, so daemons may be declared dead.
    // After that, messages arrive continuously, although late.
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
    CHECK(network.Converged());
  }
}

// A lost leave message must not lead to a death report, and late gossip must
// not bring the member back.
TEST_CASE("a graceful leave is known within 1.2 seconds and is permanent") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.2;
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& leaving_node = network.node(1);
    network.PerformActions(leaving_node,
                           leaving_node.membership->Leave(network.now()));
    network.Run(absl::Milliseconds(1200));
    leaving_node.running = false;
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->state == MemberState::kLeft);
    }
    CHECK(network.CountEvents(EventType::kLeft, "entry-1") == 3);
    network.faults.loss = 0;
    network.Run(absl::Seconds(10));
    CHECK(network.Converged());
    CHECK(network.CountEvents(EventType::kDied, "entry-1") == 0);
    CHECK(network.CountEvents(EventType::kJoined, "entry-1") == 0);
  }
}

TEST_CASE(
    "a daemon that begins to leave stays a live member until it is gone") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.faults.loss = 0.2;
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& leaving_node = network.node(1);
    leaving_node.membership->BeginLeave();
    network.Run(absl::Milliseconds(1500));
    INFO("seed " << seed);
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->live());
      CHECK(member->leaving());
    }
    CHECK(network.CountEvents(EventType::kLeaving, "entry-1") == 3);

    // Neither time nor a suspicion clears the leaving state.
    leaving_node.paused = true;
    network.Run(absl::Milliseconds(1500));
    leaving_node.paused = false;
    network.Run(absl::Seconds(5));
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->live());
      CHECK(member->leaving());
    }

    network.faults.loss = 0;
    network.PerformActions(leaving_node,
                           leaving_node.membership->Leave(network.now()));
    network.Run(absl::Milliseconds(1200));
    for (std::size_t i : {0, 2, 3}) {
      const auto member = network.node(i).membership->Find("entry-1");
      CHECK(member->state == MemberState::kLeft);
    }
  }
}

// Other daemons must learn that the state of the earlier process is lost, even
// if the restart is too quick to be detected as a death.
TEST_CASE("a restart under the same name is reported") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 3);
    network.Run(absl::Seconds(5));
    network.ClearCounters();
    auto& node = network.node(3);
    node.running = false;
    network.Run(absl::Milliseconds(300));
    network.Start(node);
    network.Run(absl::Seconds(4));
    INFO("seed " << seed);
    CHECK(network.Converged());
    CHECK(network.CountEvents(EventType::kRestarted, "entry-3") == 3);
  }
}

// The earlier process has the higher incarnation, so updates about it would
// always replace those about the new process.
TEST_CASE("a daemon whose earlier process had a fast clock joins again") {
  Network network(1);
  network.AddNodes(3, 3);
  network.Run(absl::Seconds(3));
  auto& node = network.node(2);
  // The clock of the earlier process is a day ahead.
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
  const auto old_incarnation =
      network.node(0).membership->Find(node.name)->incarnation;
  network.Start(node);
  network.Run(absl::Seconds(5));
  CHECK(network.Converged());
  const auto member = network.node(0).membership->Find(node.name);
  CHECK(ProcessStart(member->incarnation) > ProcessStart(old_incarnation));
}

TEST_CASE("a partition splits the members and heals") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(6, 3);
    network.Run(absl::Seconds(5));
    network.Partition(
        [](const Network::Node& n) { return n.zone == "zone-0" ? 0 : 1; });
    network.Run(absl::Seconds(20));
    // Each daemon still sees all members on its own side.
    CHECK(network.node(0).membership->live_count() == 1);
    CHECK(network.node(1).membership->live_count() == 3);
    network.ClearCounters();
    network.Heal();
    const auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                          absl::Seconds(30));
    INFO("seed " << seed << " took " << elapsed);
    CHECK(elapsed < absl::Seconds(5));
    for (std::size_t i = 0; i < network.size(); ++i) {
      CHECK(network.CountEvents(EventType::kRestarted, network.node(i).name) ==
            0);
    }
  }
}

// Indirect probes through other members must prevent a false death.
TEST_CASE("two daemons that cannot reach each other directly stay members") {
  for (std::uint64_t seed : kSeeds) {
    Network network(seed);
    network.AddNodes(4, 1);
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
  network.AddNodes(4, 3);
  network.Run(absl::Seconds(5));
  const std::vector<std::uint8_t> payload = {9, 8, 7};
  network.node(0).membership->SetRevision(42);
  network.node(0).membership->SetPayload(payload);
  const auto all_have_revision = [&] {
    for (std::size_t i = 1; i < network.size(); ++i) {
      if (network.node(i).membership->Find("entry-0")->revision != 42) {
        return false;
      }
    }
    return true;
  };
  CHECK(network.RunUntil(all_have_revision, absl::Seconds(5)) <
        absl::Milliseconds(400));
  const auto& payloads = network.node(1).payloads;
  CHECK(std::any_of(payloads.begin(), payloads.end(), [&](const auto& p) {
    return p.member == "entry-0" && p.bytes == payload;
  }));
}

TEST_CASE("frequent revisions cause little traffic") {
  Network network(3);
  network.AddNodes(4, 3);
  network.Run(absl::Seconds(5));
  network.ClearCounters();
  for (std::uint64_t revision = 1; revision <= 100; ++revision) {
    for (std::size_t i = 0; i < network.size(); ++i) {
      network.node(i).membership->SetRevision(revision);
    }
    network.Run(absl::Milliseconds(200));
  }
  // The loop runs for 20 s. Without changes, each of 4 daemons sends about 420
  // bytes per second.
  for (std::size_t i = 0; i < network.size(); ++i) {
    CHECK(network.node(i).bytes < 20 * 1100);
  }
}

TEST_CASE("each live member is heard from at least every three seconds") {
  Network network(4);
  network.AddNodes(4, 3);
  network.Run(absl::Seconds(5));
  absl::Duration longest_silence = absl::ZeroDuration();
  for (int step = 0; step < 600; ++step) {
    network.Run(absl::Milliseconds(100));
    for (std::size_t i = 0; i < network.size(); ++i) {
      for (const Member& m : network.node(i).membership->members()) {
        longest_silence =
            std::max(longest_silence, network.now() - m.last_heard);
      }
    }
  }
  INFO("longest silence " << longest_silence);
  CHECK(longest_silence < absl::Seconds(3));
}

TEST_CASE("a message under the daemon's own name is ignored") {
  Network network(5);
  network.AddNodes(2, 1);
  network.Run(absl::Seconds(3));
  Message message;
  message.sender = ToUpdate(network.node(0).membership->self());
  message.sender.state = MemberState::kDead;
  const auto actions = network.node(0).membership->OnMessage(
      network.node(1).address, message, network.now());
  CHECK(actions.messages.empty());
  CHECK(actions.events.empty());
}

TEST_CASE("64 daemons in 3 zones agree after the start and after a death") {
  for (std::uint64_t seed : {1, 2}) {
    Network network(seed);
    network.AddNodes(64, 3);
    auto elapsed = network.RunUntil([&] { return network.Converged(); },
                                    absl::Seconds(60));
    INFO("seed " << seed << " joined after " << elapsed);
    CHECK(elapsed < absl::Seconds(20));
    network.Run(absl::Seconds(5));
    network.node(10).running = false;
    elapsed = network.RunUntil([&] { return network.Converged(); },
                               absl::Seconds(60));
    INFO("death known after " << elapsed);
    CHECK(elapsed < absl::Seconds(10));
  }
}

TEST_CASE("48 daemons agree again after a third of them was cut off") {
  Network network(6);
  network.AddNodes(48, 3);
  network.RunUntil([&] { return network.Converged(); }, absl::Seconds(60));
  network.Partition(
      [](const Network::Node& n) { return n.zone == "zone-2" ? 0 : 1; });
  network.Run(absl::Seconds(30));
  CHECK(network.node(2).membership->live_count() == 15);
  CHECK(network.node(0).membership->live_count() == 31);
  network.Heal();
  const auto elapsed =
      network.RunUntil([&] { return network.Converged(); }, absl::Seconds(60));
  INFO("healed after " << elapsed);
  CHECK(elapsed < absl::Seconds(20));
}

}  // namespace
}  // namespace gcw::membership
