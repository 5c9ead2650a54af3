#include "src/relay/neighbours.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

#include "gcw/base/hash.h"

namespace gcw::relay {
namespace {

// Hash seeds, so that the orders of watchers and neighbours are independent.
constexpr std::uint64_t kWatcherSeed = 0x77617463;
constexpr std::uint64_t kNeighbourSeed = 0x6e656967;

// Returns the names of the watchers of this daemon's zone, chosen from `peers`
// and this daemon.
std::set<std::string, std::less<>> WatchersOfZone(const Options& options,
                                                  std::span<const Peer> peers) {
  struct Ranked {
    std::uint64_t rank = 0;
    std::string_view name;
    bool may_watch = true;
  };
  std::vector<Ranked> ranked;
  ranked.push_back(
      {StableHash(options.name, kWatcherSeed), options.name, true});
  for (const Peer& peer : peers) {
    if (peer.zone == options.zone) {
      ranked.push_back(
          {StableHash(peer.name, kWatcherSeed), peer.name, peer.may_watch});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return std::tie(a.rank, a.name) > std::tie(b.rank, b.name);
  });
  ranked.resize(std::min(ranked.size(), options.watchers_per_zone +
                                            options.backup_watchers_per_zone));
  std::set<std::string, std::less<>> watchers;
  for (const Ranked& member : ranked) {
    if (member.may_watch && watchers.size() < options.watchers_per_zone) {
      watchers.emplace(member.name);
    }
  }
  return watchers;
}

struct Candidate {
  const Peer* peer = nullptr;
  std::uint64_t rank = 0;
};

// Returns all peers in a random order that is specific to this daemon.
std::vector<Candidate> Ranked(const Options& options,
                              std::span<const Peer> peers) {
  const std::uint64_t own_hash = StableHash(options.name, kNeighbourSeed);
  std::vector<Candidate> ranked;
  ranked.reserve(peers.size());
  for (const Peer& peer : peers) {
    ranked.push_back({&peer, MixHash(own_hash, StableHash(peer.name))});
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
  return ranked;
}

}  // namespace

Roles AssignRoles(const Options& options, std::span<const Peer> peers) {
  Roles roles;
  const auto watchers = WatchersOfZone(options, peers);
  roles.watcher = watchers.contains(options.name);
  std::map<std::string_view, std::size_t> count_by_zone;
  std::vector<std::string> remaining;
  for (const Candidate& candidate : Ranked(options, peers)) {
    const Peer& peer = *candidate.peer;
    const std::size_t limit = peer.zone == options.zone
                                  ? options.zone_fanout
                                  : options.cross_zone_fanout;
    if (count_by_zone[peer.zone] < limit) {
      ++count_by_zone[peer.zone];
      roles.neighbours.push_back(peer.name);
    } else {
      remaining.push_back(peer.name);
    }
  }
  // If there are fewer neighbours than `zone_fanout`, which happens where the
  // own zone is small, further peers of other zones are added.
  for (const std::string& name : remaining) {
    if (roles.neighbours.size() >= options.zone_fanout) {
      break;
    }
    roles.neighbours.push_back(name);
  }
  std::sort(roles.neighbours.begin(), roles.neighbours.end());
  for (const Peer& peer : peers) {
    if (peer.zone != options.zone || watchers.contains(peer.name)) {
      roles.independently_informed.insert(peer.name);
    } else if (roles.watcher) {
      roles.dependents.push_back(peer.name);
    }
  }
  return roles;
}

}  // namespace gcw::relay
