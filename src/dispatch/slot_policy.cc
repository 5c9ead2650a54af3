#include "src/dispatch/slot_policy.h"

#include <algorithm>
#include <tuple>

#include "gcw/base/hash.h"

namespace gcw::dispatch {
namespace {

// The server with the smallest share of its slots in use; among equals the one
// with the lower average usage.
ServerState* LeastUsed(std::span<ServerState* const> servers) {
  return *std::min_element(
      servers.begin(), servers.end(),
      [](const ServerState* a, const ServerState* b) {
        const double slots_a = std::max<std::uint32_t>(a->config().slots, 1);
        const double slots_b = std::max<std::uint32_t>(b->config().slots, 1);
        return std::tuple(a->in_flight() / slots_a, a->usage()) <
               std::tuple(b->in_flight() / slots_b, b->usage());
      });
}

// Each server has one home daemon, which alone sends requests to it and so
// knows how many of its slots are in use.
class HomePolicy : public SlotPolicy {
 public:
  bool coordinated() const override { return true; }

  bool Manages(const config::BackendServer& server,
               const MemberView& members) const override {
    return members.joined() &&
           members.HomeOf(server.name, server.zone) == members.self();
  }

  bool HasCapacity(const ServerState& server,
                   const MemberView&,
                   absl::Time now) const override {
    return server.Available(now);
  }

  ServerState* Choose(std::span<ServerState* const> servers,
                      std::mt19937_64&) const override {
    return LeastUsed(servers);
  }
};

// Each daemon sends to any server at random, without coordination or slot
// limits.
class RandomPolicy : public SlotPolicy {
 public:
  bool coordinated() const override { return false; }

  bool Manages(const config::BackendServer&, const MemberView&) const override {
    return true;
  }

  bool HasCapacity(const ServerState& server,
                   const MemberView&,
                   absl::Time) const override {
    return server.accepts_new_work();
  }

  ServerState* Choose(std::span<ServerState* const> servers,
                      std::mt19937_64& random) const override {
    return servers[random() % servers.size()];
  }
};

// As RandomPolicy, but chooses the server with the fewest requests of this
// daemon in progress, relative to its slots; at random among equals.
class LeastLoadedPolicy : public RandomPolicy {
 public:
  ServerState* Choose(std::span<ServerState* const> servers,
                      std::mt19937_64& random) const override {
    const ServerState* least = LeastUsed(servers);
    std::vector<ServerState*> equals;
    for (ServerState* server : servers) {
      if (server->in_flight() == least->in_flight()) {
        equals.push_back(server);
      }
    }
    return equals[random() % equals.size()];
  }
};

// Each daemon may use a fixed part of the slots of each server. Slots that
// cannot be divided evenly go to different daemons on different servers.
class DividedPolicy : public LeastLoadedPolicy {
 public:
  bool HasCapacity(const ServerState& server,
                   const MemberView& members,
                   absl::Time) const override {
    const auto daemons = static_cast<std::uint32_t>(members.size());
    const std::uint32_t slots = server.config().slots;
    const auto position = static_cast<std::uint32_t>(
        (members.Rank() + StableHash(server.name())) % daemons);
    const std::uint32_t share =
        slots / daemons + (position < slots % daemons ? 1 : 0);
    return server.accepts_new_work() && server.in_flight() < share;
  }
};

}  // namespace

std::unique_ptr<SlotPolicy> SlotPolicy::Make(std::string_view name) {
  if (name == "home") {
    return std::make_unique<HomePolicy>();
  }
  if (name == "random") {
    return std::make_unique<RandomPolicy>();
  }
  if (name == "least_loaded") {
    return std::make_unique<LeastLoadedPolicy>();
  }
  if (name == "divided") {
    return std::make_unique<DividedPolicy>();
  }
  return nullptr;
}

}  // namespace gcw::dispatch
