#ifndef GCW_SRC_RELAY_NEIGHBOURS_H_
#define GCW_SRC_RELAY_NEIGHBOURS_H_

#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "gcw/relay/versioned_relay.h"

namespace gcw::relay {

// The roles of this daemon and its peers in the relay. They depend only on the
// live members, so daemons that see the same members assign the same watchers.
struct Roles {
  bool watcher = false;  // Whether this daemon watches the platform.
  // The peers that get changes from this daemon directly, sorted by name.
  std::vector<std::string> neighbours;
  // If this daemon is a watcher: the daemons of its zone that are none.
  std::vector<std::string> dependents;
  // Peers that normally learn of a change without this daemon: the watchers of
  // its zone, and members of other zones, which have watchers of their own.
  std::set<std::string, std::less<>> independently_informed;
};

// Assigns the roles of the daemon that `options` describe. The watchers of a
// zone are its first daemons in rendezvous-hash order, so a membership change
// replaces few of them. Each daemon ranks its neighbours in a random order of
// its own, so the graph of all neighbour links is well connected. Has no side
// effects; thread-safe.
Roles AssignRoles(const Options& options, std::span<const Peer> peers);

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_NEIGHBOURS_H_
