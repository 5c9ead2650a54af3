#ifndef GCW_TESTS_MEMBERSHIP_NETWORK_H_
#define GCW_TESTS_MEMBERSHIP_NETWORK_H_

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gcw/auth/signer.h"
#include "gcw/membership/membership.h"

namespace gcw::membership {

// Simulates several daemons' memberships, connected by an unreliable network,
// in simulated time.
class Network {
 public:
  // The probabilities of loss and duplication, and the range of the delay.
  struct Faults {
    double loss = 0;
    double duplication = 0;
    absl::Duration min_delay = absl::Milliseconds(1);
    absl::Duration max_delay = absl::Milliseconds(3);
  };

  struct Node {
    std::string name;
    std::string zone;
    Endpoint address;
    std::unique_ptr<Membership> membership;
    std::vector<MemberEvent> events;
    std::vector<ReceivedPayload> payloads;
    bool running = true;  // False if killed.
    // A paused node gets no ticks; its messages are queued until it resumes.
    bool paused = false;
    std::vector<Message> pending_messages;
    // Bytes, signatures included, and messages that the node has sent.
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
  };

  explicit Network(std::uint64_t seed) : random_(seed) {}

  Faults faults;

  absl::Time now() const { return now_; }
  Node& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }

  // Starts a node in one of `zones` availability zones. Its seeds are the
  // addresses of the first two nodes.
  Node& Add(std::size_t zones) {
    auto node = std::make_unique<Node>();
    const std::size_t i = nodes_.size();
    node->name = "entry-" + std::to_string(i);
    node->zone = "zone-" + std::to_string(i % zones);
    node->address = Endpoint{static_cast<std::uint32_t>(0x0a000001 + i), 7005};
    Start(*node);
    by_address_[node->address] = i;
    nodes_.push_back(std::move(node));
    return *nodes_.back();
  }

  void AddNodes(std::size_t count, std::size_t zones) {
    for (std::size_t i = 0; i < count; ++i) {
      Add(zones);
    }
  }

  // Starts a new process under the name of the node.
  void Start(Node& node) {
    Options options;
    options.name = node.name;
    options.zone = node.zone;
    options.advertise = node.address;
    auto made = Membership::Make(options, now_, random_());
    REQUIRE(made.ok());
    node.membership = std::move(made).value();
    node.running = true;
    node.paused = false;
    const std::vector<Seed> seeds = {{"", "", Endpoint{0x0a000001, 7005}},
                                     {"", "", Endpoint{0x0a000002, 7005}}};
    node.membership->SetSettingsSeeds(seeds);
    // A random first tick keeps the daemons from ticking at the same time.
    ScheduleTick(node.address, now_ + absl::Microseconds(random_() % 50'000));
  }

  // Messages between nodes of different groups are lost.
  void Partition(std::function<int(const Node&)> group) { group_ = group; }
  void Heal() { group_ = nullptr; }

  // Messages between the two nodes are lost, in both directions.
  void CutLink(const Node& a, const Node& b) {
    cut_links_.insert({a.address, b.address});
    cut_links_.insert({b.address, a.address});
  }

  void Pause(Node& node) { node.paused = true; }
  void Resume(Node& node) {
    node.paused = false;
    for (const Message& message : std::exchange(node.pending_messages, {})) {
      Receive(node, message);
    }
  }

  void PerformActions(Node& from, Actions actions) {
    for (MemberEvent& event : actions.events) {
      from.events.push_back(std::move(event));
    }
    for (ReceivedPayload& payload : actions.payloads) {
      from.payloads.push_back(std::move(payload));
    }
    for (const OutgoingMessage& out : actions.messages) {
      const std::vector<std::uint8_t> bytes = Encode(out.message);
      REQUIRE(bytes.size() <= kMaxMessageBytes);
      from.bytes += bytes.size() + auth::kSignedOverheadBytes;
      ++from.messages;
      Deliver(from, out.to, bytes);
    }
  }

  void Run(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto event = queue_.extract(queue_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  // Runs until `done` returns true, at most for `limit`. Returns the simulated
  // time that passed.
  absl::Duration RunUntil(const std::function<bool()>& done,
                          absl::Duration limit) {
    const absl::Time start = now_;
    while (!done() && now_ - start < limit) {
      Run(absl::Milliseconds(10));
    }
    return now_ - start;
  }

  // Returns whether every running node considers exactly the running nodes
  // alive.
  bool Converged() {
    std::size_t running = 0;
    for (const auto& node : nodes_) {
      running += node->running ? 1 : 0;
    }
    for (const auto& node : nodes_) {
      if (node->running && !HasConverged(*node, running)) {
        return false;
      }
    }
    return true;
  }

  std::size_t CountEvents(EventType type, std::string_view about) {
    std::size_t count = 0;
    for (const auto& node : nodes_) {
      for (const MemberEvent& event : node->events) {
        count += event.type == type && event.member.name == about ? 1 : 0;
      }
    }
    return count;
  }

  void ClearCounters() {
    for (auto& node : nodes_) {
      node->bytes = 0;
      node->messages = 0;
      node->events.clear();
    }
  }

 private:
  bool HasConverged(Node& node, std::size_t running) {
    if (node.membership->live_count() + 1 != running) {
      return false;
    }
    for (const Member& member : node.membership->members()) {
      const bool runs = nodes_[by_address_.at(member.address)]->running;
      if (runs != (member.state == MemberState::kAlive)) {
        return false;
      }
    }
    return true;
  }

  void ScheduleTick(Endpoint address, absl::Time at) {
    queue_.emplace(at, [this, address, at] {
      Node& node = *nodes_[by_address_.at(address)];
      if (!node.running) {
        return;
      }
      if (!node.paused) {
        PerformActions(node, node.membership->OnTick(now_));
      }
      ScheduleTick(address, at + absl::Milliseconds(50));
    });
  }

  void Deliver(const Node& from,
               Endpoint to,
               const std::vector<std::uint8_t>& bytes) {
    const auto target = by_address_.find(to);
    if (target == by_address_.end()) {
      return;
    }
    Node& receiver = *nodes_[target->second];
    if (group_ && group_(from) != group_(receiver)) {
      return;
    }
    if (cut_links_.contains({from.address, to})) {
      return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < faults.loss) {
      return;
    }
    const int copies = chance(random_) < faults.duplication ? 2 : 1;
    auto decoded = Decode(bytes);
    REQUIRE(decoded.ok());
    for (int i = 0; i < copies; ++i) {
      const absl::Duration spread = faults.max_delay - faults.min_delay;
      const absl::Time at = now_ + faults.min_delay + spread * chance(random_);
      queue_.emplace(at, [this, &receiver, message = decoded.value()] {
        if (!receiver.running) {
          return;
        }
        if (receiver.paused) {
          receiver.pending_messages.push_back(message);
          return;
        }
        Receive(receiver, message);
      });
    }
  }

  void Receive(Node& node, const Message& message) {
    PerformActions(node, node.membership->OnMessage(message.sender.address,
                                                    message, now_));
  }

  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Endpoint, std::size_t> by_address_;
  std::multimap<absl::Time, std::function<void()>> queue_;
  std::function<int(const Node&)> group_;
  std::set<std::pair<Endpoint, Endpoint>> cut_links_;
};

}  // namespace gcw::membership

#endif  // GCW_TESTS_MEMBERSHIP_NETWORK_H_
