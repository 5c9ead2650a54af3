#include "src/membership/gossip_queue.h"

#include <algorithm>

namespace gcw::membership {

std::size_t EncodedBytes(const Gossip& gossip) {
  // Array header, two text headers, address, port, state and incarnation.
  constexpr std::size_t kFixedBytes = 1 + 2 + 2 + 5 + 3 + 1 + 9;
  return gossip.name.size() + gossip.zone.size() + kFixedBytes;
}

void GossipQueue::Add(const Gossip& gossip) {
  std::erase_if(items_, [&](const Item& item) {
    return item.gossip.name == gossip.name;
  });
  items_.push_back(Item{gossip, 0});
}

void GossipQueue::Take(std::size_t max_items,
                       std::size_t max_bytes,
                       int limit,
                       std::string_view skip,
                       std::vector<Gossip>& out) {
  std::stable_sort(
      items_.begin(), items_.end(),
      [](const Item& a, const Item& b) { return a.sent < b.sent; });
  std::size_t taken = 0;
  std::size_t bytes = 0;
  for (Item& item : items_) {
    const std::size_t size = EncodedBytes(item.gossip);
    if (taken == max_items || bytes + size > max_bytes) {
      break;
    }
    if (item.gossip.name == skip) {
      continue;
    }
    out.push_back(item.gossip);
    ++item.sent;
    ++taken;
    bytes += size;
  }
  std::erase_if(items_, [&](const Item& item) { return item.sent >= limit; });
}

}  // namespace gcw::membership
