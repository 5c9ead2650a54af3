#include "src/membership/gossip_queue.h"

#include <utility>

namespace gcw::membership {

std::size_t MaxEncodedBytes(const MemberUpdate& update) {
  // CBOR array header, two string headers, IP address, port, state and
  // incarnation.
  constexpr std::size_t kFixedBytes = 1 + 2 + 2 + 5 + 3 + 1 + 9;
  return update.name.size() + update.zone.size() + kFixedBytes;
}

void GossipQueue::Add(const MemberUpdate& update) {
  std::erase_if(items_, [&](const Item& item) {
    return item.update.name == update.name;
  });
  items_.push_front(Item{update, 0});
}

void GossipQueue::Take(std::size_t max_items,
                       std::size_t max_bytes,
                       int max_transmissions,
                       std::string_view excluded_member,
                       std::vector<MemberUpdate>& out) {
  std::size_t item_count = 0;
  std::size_t bytes = 0;
  for (std::size_t remaining = items_.size();
       remaining > 0 && item_count < max_items; --remaining) {
    const std::size_t size = MaxEncodedBytes(items_.front().update);
    if (bytes + size > max_bytes) {
      break;
    }
    Item item = std::move(items_.front());
    items_.pop_front();
    if (item.update.name != excluded_member) {
      out.push_back(item.update);
      ++item.transmissions;
      ++item_count;
      bytes += size;
    }
    if (item.transmissions < max_transmissions) {
      items_.push_back(std::move(item));
    }
  }
}

}  // namespace gcw::membership
