#ifndef GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
#define GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "gcw/membership/message.h"

namespace gcw::membership {

// Returns the largest size that `update` can have in an encoded message.
std::size_t MaxEncodedBytes(const MemberUpdate& update);

// Queues the member updates that are still to be gossiped. Each update is sent
// a bounded number of times, new updates first and then in rotation. Holds at
// most one update per member. Not thread-safe.
class GossipQueue {
 public:
  // Adds an update and removes an older one about the same member.
  void Add(const MemberUpdate& update);

  // Appends up to `max_items` updates of at most `max_bytes` in total to `out`
  // and counts one transmission for each. Removes an update after
  // `max_transmissions`. Skips updates about `excluded_member`, the receiver.
  void Take(std::size_t max_items,
            std::size_t max_bytes,
            int max_transmissions,
            std::string_view excluded_member,
            std::vector<MemberUpdate>& out);

  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    MemberUpdate update;
    int transmissions = 0;
  };

  std::deque<Item> items_;
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
