#ifndef GCW_TESTS_RELAY_CLUSTER_H_
#define GCW_TESTS_RELAY_CLUSTER_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gcw/auth/signer.h"
#include "gcw/relay/versioned_relay.h"
#include "tests/relay/fake_platform.h"

namespace gcw::relay {

// Some relays, joined by an unreliable network, and a platform that fails, in
// simulated time. After each input the relay's state is compared with the
// platform's history: it must be complete for its revision and never go back.
class Cluster {
 public:
  enum class PlatformMode {
    kUp,
    kDown,    // Every call fails.
    kSilent,  // No call is ever answered.
    kStale,   // Lists and watches answer as of `stale_revision`.
    kDeaf,    // Watches bring nothing, lists work.
  };

  struct Node {
    std::string name;
    std::string zone;
    std::unique_ptr<VersionedRelay> relay;
    bool running = true;
    Version seen = 0;
    std::optional<Digest> checked;
    std::uint64_t bytes = 0;
    PlatformMode platform = PlatformMode::kUp;
  };

  explicit Cluster(std::uint64_t seed) : random_(seed) {}

  FakePlatform platform;
  PlatformMode mode = PlatformMode::kUp;
  Version stale_revision = 0;
  double loss = 0;
  double duplication = 0;
  absl::Duration max_delay = absl::Milliseconds(5);
  std::vector<absl::Time> calls;

  absl::Time now() const { return now_; }
  Node& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }

  void AddAll(std::size_t count, std::size_t zones) {
    for (std::size_t i = 0; i < count; ++i) {
      auto node = std::make_unique<Node>();
      node->name = "entry-" + std::to_string(i);
      node->zone = "zone-" + std::to_string(i % zones);
      index_[node->name] = i;
      nodes_.push_back(std::move(node));
    }
    for (auto& node : nodes_) {
      Start(*node);
    }
    UpdatePeers();
  }

  void Start(Node& node) {
    Options options;
    options.name = node.name;
    options.zone = node.zone;
    auto made = VersionedRelay::Make(options, now_, random_());
    REQUIRE(made.ok());
    node.relay = std::move(made).value();
    node.running = true;
    node.seen = 0;
    node.checked.reset();
    ++generation_[node.name];
    ScheduleTick(node, now_ + absl::Microseconds(random_() % 50'000));
  }

  void Kill(Node& node) { node.running = false; }

  // What a perfect membership would say.
  void UpdatePeers() {
    for (auto& node : nodes_) {
      std::vector<Peer> peers;
      for (auto& other : nodes_) {
        if (other != node && other->running && Joined(*node, *other)) {
          peers.push_back({other->name, other->zone});
        }
      }
      node->relay->SetPeers(peers, now_);
    }
  }

  void Partition(std::function<int(const Node&)> group) {
    group_ = std::move(group);
    UpdatePeers();
  }
  void Heal() {
    group_ = nullptr;
    UpdatePeers();
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

  absl::Duration RunUntil(const std::function<bool()>& done,
                          absl::Duration limit) {
    const absl::Time start = now_;
    while (!done() && now_ - start < limit) {
      Run(absl::Milliseconds(10));
    }
    return now_ - start;
  }

  // Whether all running daemons hold the platform's last change.
  bool InForce() { return InForce(platform.last_change()); }
  bool InForce(Version version) {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return !node->running || node->relay->revision() >= version;
    });
  }

  void Input(Node& node, const std::function<Actions(VersionedRelay&)>& input) {
    Perform(node, input(*node.relay));
  }

  void CountBytesFromNow() {
    for (auto& node : nodes_) {
      node->bytes = 0;
    }
  }

  std::size_t CallsSince(absl::Time start) const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [&](absl::Time t) { return t >= start; }));
  }

 private:
  bool Joined(const Node& a, const Node& b) const {
    return !group_ || group_(a) == group_(b);
  }

  void Check(Node& node) {
    const Version revision = node.relay->revision();
    REQUIRE(revision >= node.seen);
    // The hash covers every key and version, so an unchanged one needs no
    // second look.
    const bool same =
        revision == node.seen && node.checked == node.relay->digest();
    if (same) {
      return;
    }
    node.seen = revision;
    node.checked = node.relay->digest();
    const auto& truth = platform.At(revision);
    const std::vector<Object> held = node.relay->objects();
    const bool complete = std::equal(
        held.begin(), held.end(), truth.begin(), truth.end(),
        [](const Object& a, const auto& b) { return a == b.second; });
    REQUIRE(complete);
  }

  void Perform(Node& node, Actions actions) {
    Check(node);
    for (OutgoingMessage& out : actions.messages) {
      Deliver(node, out);
    }
    if (actions.call) {
      calls.push_back(now_);
      Answer(node, *actions.call);
    }
  }

  void Later(absl::Duration delay, Node& node, std::function<void()> what) {
    const int generation = generation_[node.name];
    queue_.emplace(now_ + delay, [this, &node, generation, what] {
      if (node.running && generation_[node.name] == generation) {
        what();
      }
    });
  }

  void ScheduleTick(Node& node, absl::Time at) {
    Later(at - now_, node, [this, &node, at] {
      Input(node, [&](VersionedRelay& r) { return r.OnTick(now_); });
      ScheduleTick(node, at + absl::Milliseconds(50));
    });
  }

  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  // A stream keeps the order of a pair's messages, so the delay of a pair only
  // grows; a lost message stands for a lost connection.
  void Deliver(Node& from, const OutgoingMessage& out) {
    const std::vector<std::uint8_t> bytes = Encode(out.message);
    from.bytes += bytes.size() + auth::kSignedOverheadBytes;
    Node& to = *nodes_[index_.at(out.peer)];
    if (!to.running || !Joined(from, to) || Chance() < loss) {
      return;
    }
    auto decoded = Decode(bytes);
    REQUIRE(decoded.ok());
    const int copies = Chance() < duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      absl::Time& last = last_delivery_[{from.name, out.peer}];
      last =
          std::max(last, now_ + absl::Milliseconds(1) + max_delay * Chance());
      Later(last - now_, to,
            [this, &to, name = from.name, message = decoded.value()] {
              Input(to, [&](VersionedRelay& r) {
                return r.OnMessage(name, message, now_);
              });
            });
    }
  }

  void Answer(Node& node, const PlatformCall& call) {
    const PlatformMode how = mode == PlatformMode::kUp ? node.platform : mode;
    if (how == PlatformMode::kSilent) {
      return;
    }
    if (how == PlatformMode::kDown) {
      Later(absl::Milliseconds(3), node, [this, &node, call] {
        Input(node, [&](VersionedRelay& r) {
          return r.OnCallFailed(call.id, ResultCode::kPlatformUnavailable,
                                now_);
        });
      });
      return;
    }
    if (call.type == CallType::kList) {
      AnswerList(node, call, how);
      return;
    }
    AnswerWatch(node, call, how, now_ + call.wait);
  }

  void AnswerList(Node& node, const PlatformCall& call, PlatformMode how) {
    const Version at =
        how == PlatformMode::kStale ? stale_revision : platform.revision();
    Later(absl::Milliseconds(3), node,
          [this, &node, call, at, objects = platform.ListAt(at)] {
            Input(node, [&](VersionedRelay& r) {
              return r.OnList(call.id, at, objects, now_);
            });
          });
  }

  void AnswerWatch(Node& node,
                   const PlatformCall& call,
                   PlatformMode how,
                   absl::Time until) {
    Later(absl::Milliseconds(3), node, [this, &node, call, how, until] {
      // An outage that begins takes waiting calls with it.
      if (mode == PlatformMode::kDown || mode == PlatformMode::kSilent) {
        return;
      }
      const Version at =
          how == PlatformMode::kStale ? stale_revision : platform.revision();
      const auto events = how == PlatformMode::kDeaf
                              ? std::vector<Object>()
                              : platform.Changes(call.after, at);
      if (events.empty() && now_ < until) {
        AnswerWatch(node, call, how, until);
        return;
      }
      if (how == PlatformMode::kDeaf) {
        return;
      }
      Input(node, [&](VersionedRelay& r) {
        return r.OnWatch(call.id, at, events, now_);
      });
    });
  }

  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::size_t> index_;
  std::map<std::string, int> generation_;
  std::map<std::pair<std::string, std::string>, absl::Time> last_delivery_;
  std::multimap<absl::Time, std::function<void()>> queue_;
  std::function<int(const Node&)> group_;
};

}  // namespace gcw::relay

#endif  // GCW_TESTS_RELAY_CLUSTER_H_
