#ifndef GCW_LOAD_TREE_H_
#define GCW_LOAD_TREE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gcw::load {

// This daemon's place in a tree over the daemons of its zone.
struct TreePosition {
  std::string parent;  // Empty at the root.
  std::vector<std::string> children;
  // The number of daemons in the subtree of each child, that child included.
  std::vector<std::size_t> child_sizes;
  std::size_t height = 0;  // Levels below this daemon.

  bool is_root() const { return parent.empty(); }
};

// The place of `name` in the tree over `names`, in which the daemon at index i
// has the parent (i - 1) / fanout. Preconditions: `names` contains `name` and
// has no duplicates; `fanout` is positive. Thread-safe.
TreePosition FindPosition(std::span<const std::string> names,
                          std::string_view name,
                          std::size_t fanout);

}  // namespace gcw::load

#endif  // GCW_LOAD_TREE_H_
