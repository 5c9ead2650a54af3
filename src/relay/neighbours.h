#ifndef GCW_SRC_RELAY_NEIGHBOURS_H_
#define GCW_SRC_RELAY_NEIGHBOURS_H_

#include <functional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "gcw/relay/versioned_relay.h"

namespace gcw::relay {

// The roles that follow from who is there, equal on all daemons that see the
// same members.
struct Roles {
  bool watcher = false;
  std::vector<std::string> neighbours;  // In order of name.
  // Those of the neighbours that hear of a change by themselves as a rule:
  // watchers, and members of other zones, which have watchers of their own.
  std::set<std::string, std::less<>> informed;
};

// Watchers are the first of each zone in rendezvous order, so that few change
// when members do. Neighbours come from an order of each daemon's own, so the
// graph of all daemons is well mixed. Pure.
Roles AssignRoles(const Options& options, std::span<const Peer> peers);

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_NEIGHBOURS_H_
