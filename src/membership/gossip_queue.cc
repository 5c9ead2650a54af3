#include "src/membership/gossip_queue.h"

#include <utility>

namespace gcw::membership {

std::size_t EncodedBytes(const MemberUpdate& gossip) {
  // Array header, two text headers, address, port, state and incarnation.
  constexpr std::size_t kFixedBytes = 1 + 2 + 2 + 5 + 3 + 1 + 9;
  return gossip.name.size() + gossip.zone.size() + kFixedBytes;
}

void GossipQueue::Add(const MemberUpdate& gossip) {
  std::erase_if(items_, [&](const Item& item) {
    return item.gossip.name == gossip.name;
  });
  items_.push_front(Item{gossip, 0});
}

void GossipQueue::Take(std::size_t max_items,
                       std::size_t max_bytes,
                       int limit,
                       std::string_view skip,
                       std::vector<MemberUpdate>& out) {
  std::size_t taken = 0;
  std::size_t bytes = 0;
  for (std::size_t left = items_.size(); left > 0 && taken < max_items;
       --left) {
    const std::size_t size = EncodedBytes(items_.front().gossip);
    if (bytes + size > max_bytes) {
      break;
    }
    Item item = std::move(items_.front());
    items_.pop_front();
    if (item.gossip.name != skip) {
      out.push_back(item.gossip);
      ++item.sent;
      ++taken;
      bytes += size;
    }
    if (item.sent < limit) {
      items_.push_back(std::move(item));
    }
  }
}

}  // namespace gcw::membership
