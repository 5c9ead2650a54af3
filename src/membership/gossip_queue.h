#ifndef GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
#define GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "gcw/membership/message.h"

namespace gcw::membership {

// The size of `gossip` in a message, at most.
std::size_t EncodedBytes(const MemberUpdate& gossip);

// News that still has to be passed on, each a bounded number of times, the
// newest first and then in turn. One item for each member. Not thread-safe.
class GossipQueue {
 public:
  // Replaces older news of the same member.
  void Add(const MemberUpdate& gossip);

  // Appends news to `out` within the bounds and counts it as passed on once.
  // News that was passed on `limit` times is dropped. Skips the member `skip`,
  // which knows its own news.
  void Take(std::size_t max_items,
            std::size_t max_bytes,
            int limit,
            std::string_view skip,
            std::vector<MemberUpdate>& out);

  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    MemberUpdate gossip;
    int sent = 0;
  };

  std::deque<Item> items_;
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
