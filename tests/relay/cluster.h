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

// Simulates a few relays that are connected by an unreliable network, and a
// platform with failures, in simulated time. After each input, a check compares
// the state of the relay with the history of the platform: the relay must hold
// exactly the objects of its revision, and its revision must never decrease.
class Cluster {
 public:
  // How the platform answers calls.
  enum class PlatformMode {
    kUp,
    kDown,          // Every call fails.
    kSilent,        // No call is ever answered.
    kStale,         // Calls are answered as of `stale_revision`.
    kWatchStalled,  // Lists are answered, watches never.
  };

  struct Node {
    std::string name;
    std::string zone;
    std::unique_ptr<VersionedRelay> relay;
    bool running = true;
    // The state at the last check.
    Version last_revision = 0;
    std::optional<Digest> last_digest;
    std::uint64_t bytes = 0;  // Sent to peers, signatures included.
    // How the platform answers this node while the cluster's `mode` is kUp.
    PlatformMode platform_mode = PlatformMode::kUp;
  };

  explicit Cluster(std::uint64_t seed) : random_(seed) {}

  Options base_options;  // Of nodes that start; their names are set here.
  FakePlatform platform;
  PlatformMode mode = PlatformMode::kUp;
  Version stale_revision = 0;
  double loss = 0;
  double duplication = 0;
  absl::Duration max_delay = absl::Milliseconds(5);
  std::vector<absl::Time> call_times;  // Of all calls to the platform.

  absl::Time now() const { return now_; }
  Node& node(std::size_t i) { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }

  // Starts `count` nodes in `zones` availability zones.
  void AddNodes(std::size_t count, std::size_t zones) {
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

  // Starts a new relay without state for `node`.
  void Start(Node& node) {
    Options options = base_options;
    options.name = node.name;
    options.zone = node.zone;
    auto made = VersionedRelay::Make(options, now_, random_());
    REQUIRE(made.ok());
    node.relay = std::move(made).value();
    node.running = true;
    node.last_revision = 0;
    node.last_digest.reset();
    ++generation_[node.name];
    ScheduleTick(node, now_ + absl::Microseconds(random_() % 50'000));
  }

  void Kill(Node& node) { node.running = false; }

  // Tells each relay which nodes run and can be reached from it.
  void UpdatePeers() {
    for (auto& node : nodes_) {
      std::vector<Peer> peers;
      for (auto& other : nodes_) {
        if (other != node && other->running && Connected(*node, *other)) {
          peers.push_back({other->name, other->zone});
        }
      }
      node->relay->SetPeers(peers, now_);
    }
  }

  // Lets only nodes of the same group reach each other.
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

  // Whether all running daemons have the last change of the platform, or the
  // change with `version`.
  bool Converged() { return Converged(platform.last_change()); }
  bool Converged(Version version) {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return !node->running || node->relay->revision() >= version;
    });
  }

  void HandleInput(Node& node,
                   const std::function<Actions(VersionedRelay&)>& input) {
    PerformActions(node, input(*node.relay));
  }

  void CountBytesFromNow() {
    for (auto& node : nodes_) {
      node->bytes = 0;
    }
  }

  std::size_t CallsSince(absl::Time start) const {
    return static_cast<std::size_t>(
        std::count_if(call_times.begin(), call_times.end(),
                      [&](absl::Time t) { return t >= start; }));
  }

 private:
  bool Connected(const Node& a, const Node& b) const {
    return !group_ || group_(a) == group_(b);
  }

  void Check(Node& node) {
    const Version revision = node.relay->revision();
    REQUIRE(revision >= node.last_revision);
    // The hash covers all keys and versions, so a state with the same revision
    // and hash was compared before.
    const bool unchanged = revision == node.last_revision &&
                           node.last_digest == node.relay->digest();
    if (unchanged) {
      return;
    }
    node.last_revision = revision;
    node.last_digest = node.relay->digest();
    const auto& expected = platform.At(revision);
    const std::vector<Object> actual = node.relay->objects();
    const bool matches = std::equal(
        actual.begin(), actual.end(), expected.begin(), expected.end(),
        [](const Object& a, const auto& b) { return a == b.second; });
    REQUIRE(matches);
  }

  void PerformActions(Node& node, Actions actions) {
    Check(node);
    for (OutgoingMessage& out : actions.messages) {
      Deliver(node, out);
    }
    if (actions.call) {
      call_times.push_back(now_);
      AnswerCall(node, *actions.call);
    }
  }

  // Calls `callback` after `delay`, unless the node is killed or restarted
  // before that.
  void Schedule(absl::Duration delay,
                Node& node,
                std::function<void()> callback) {
    const int generation = generation_[node.name];
    queue_.emplace(now_ + delay, [this, &node, generation, callback] {
      if (node.running && generation_[node.name] == generation) {
        callback();
      }
    });
  }

  void ScheduleTick(Node& node, absl::Time at) {
    Schedule(at - now_, node, [this, &node, at] {
      HandleInput(node, [&](VersionedRelay& r) { return r.OnTick(now_); });
      ScheduleTick(node, at + absl::Milliseconds(50));
    });
  }

  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  // Delivers a message with the configured loss, duplication and delay. The
  // messages from one node to another arrive in order, as on a stream. A lost
  // message stands for a lost connection.
  void Deliver(Node& from, const OutgoingMessage& out) {
    const std::vector<std::uint8_t> bytes = Encode(out.message);
    from.bytes += bytes.size() + auth::kSignedOverheadBytes;
    Node& to = *nodes_[index_.at(out.peer)];
    if (!to.running || !Connected(from, to) || RandomFraction() < loss) {
      return;
    }
    auto decoded = Decode(bytes);
    REQUIRE(decoded.ok());
    const absl::Duration age = now_ - from.relay->confirmed();
    const int copies = RandomFraction() < duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      absl::Time& last = last_delivery_[{from.name, out.peer}];
      last = std::max(
          last, now_ + absl::Milliseconds(1) + max_delay * RandomFraction());
      Schedule(last - now_, to,
               [this, &to, age, name = from.name, message = decoded.value()] {
                 HandleInput(to, [&](VersionedRelay& r) {
                   return r.OnMessage(name, message, age, now_);
                 });
               });
    }
  }

  void AnswerCall(Node& node, const PlatformCall& call) {
    const PlatformMode platform_mode =
        mode == PlatformMode::kUp ? node.platform_mode : mode;
    if (platform_mode == PlatformMode::kSilent) {
      return;
    }
    if (platform_mode == PlatformMode::kDown) {
      Schedule(absl::Milliseconds(3), node, [this, &node, call] {
        HandleInput(node, [&](VersionedRelay& r) {
          return r.OnCallFailed(call.id, ResultCode::kPlatformUnavailable,
                                now_);
        });
      });
      return;
    }
    if (call.type == CallType::kList) {
      AnswerList(node, call, platform_mode);
      return;
    }
    AnswerWatch(node, call, platform_mode, now_ + call.wait);
  }

  void AnswerList(Node& node,
                  const PlatformCall& call,
                  PlatformMode platform_mode) {
    const Version at = platform_mode == PlatformMode::kStale
                           ? stale_revision
                           : platform.revision();
    Schedule(absl::Milliseconds(3), node,
             [this, &node, call, at, objects = platform.ListAt(at)] {
               HandleInput(node, [&](VersionedRelay& r) {
                 return r.OnList(call.id, at, objects, now_);
               });
             });
  }

  // Answers a watch call when there are events, at the latest at `until`. Polls
  // the platform every 3 ms.
  void AnswerWatch(Node& node,
                   const PlatformCall& call,
                   PlatformMode platform_mode,
                   absl::Time until) {
    Schedule(
        absl::Milliseconds(3), node, [this, &node, call, platform_mode, until] {
          // Watch calls that are waiting when an outage begins are never
          // answered.
          if (mode == PlatformMode::kDown || mode == PlatformMode::kSilent) {
            return;
          }
          const Version at = platform_mode == PlatformMode::kStale
                                 ? stale_revision
                                 : platform.revision();
          if (EpochOf(at) > EpochOf(call.after)) {
            HandleInput(node, [&](VersionedRelay& r) {
              return r.OnCallFailed(call.id, ResultCode::kPlatformCompacted,
                                    now_);
            });
            return;
          }
          const auto events = platform_mode == PlatformMode::kWatchStalled
                                  ? std::vector<Object>()
                                  : platform.Changes(call.after, at);
          if (events.empty() && now_ < until) {
            AnswerWatch(node, call, platform_mode, until);
            return;
          }
          if (platform_mode == PlatformMode::kWatchStalled) {
            return;
          }
          HandleInput(node, [&](VersionedRelay& r) {
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
