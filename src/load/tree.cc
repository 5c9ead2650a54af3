#include "src/load/tree.h"

#include <algorithm>
#include <cassert>

namespace gcw::load {
namespace {

// The number of daemons in the subtree at `index` of a tree of `count`. Adds
// the number of levels below `index` to `height`.
std::size_t SubtreeSize(std::size_t index,
                        std::size_t count,
                        std::size_t fanout,
                        std::size_t* height) {
  std::size_t size = 0;
  std::size_t levels = 0;
  std::size_t first = index;
  std::size_t last = index;  // Of one level of the subtree.
  while (first < count) {
    size += std::min(last, count - 1) - first + 1;
    first = fanout * first + 1;
    last = fanout * last + fanout;
    ++levels;
  }
  *height = levels - 1;
  return size;
}

}  // namespace

TreePosition FindPosition(std::span<const std::string> names,
                          std::string_view name,
                          std::size_t fanout) {
  const auto it = std::find(names.begin(), names.end(), name);
  assert(it != names.end() && fanout > 0);
  const auto index = static_cast<std::size_t>(it - names.begin());
  TreePosition position;
  if (index > 0) {
    position.parent = names[(index - 1) / fanout];
  }
  (void)SubtreeSize(index, names.size(), fanout, &position.height);
  const std::size_t first = fanout * index + 1;
  for (std::size_t child = first;
       child < std::min(first + fanout, names.size()); ++child) {
    std::size_t height = 0;
    position.children.push_back(names[child]);
    position.child_sizes.push_back(
        SubtreeSize(child, names.size(), fanout, &height));
  }
  return position;
}

}  // namespace gcw::load
