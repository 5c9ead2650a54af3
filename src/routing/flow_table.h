#ifndef GCW_SRC_ROUTING_FLOW_TABLE_H_
#define GCW_SRC_ROUTING_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "src/routing/flow_key.h"
#include "src/routing/server_registry.h"

namespace gcw::routing {

// Time in units of 100 ms since an origin of the owner's; 0 is "never".
using Tick = std::uint32_t;

inline constexpr Tick kTicksPerSecond = 10;

// One flow on one daemon.
struct FlowEntry {
  // Its server differs from what the base table says, or may come to: it can
  // not be derived again.
  static constexpr std::uint8_t kRecord = 1;
  // More than the first packet was seen.
  static constexpr std::uint8_t kConfirmed = 2;
  // FIN or RST was seen.
  static constexpr std::uint8_t kClosed = 4;
  // Reset because its server fell silent.
  static constexpr std::uint8_t kReset = 8;

  FlowKey key = 0;  // 0: the slot is empty.
  ServerIndex server = kNoServer;
  std::uint32_t service = 0;
  Tick last_packet = 0;
  Tick first_unanswered = 0;
  // When its other holder last saw a packet through this one.
  Tick last_mirrored = 0;
  std::uint8_t unanswered = 0;
  std::uint8_t flags = 0;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
  void set(std::uint8_t flag) { flags |= flag; }
};

static_assert(sizeof(FlowEntry) <= 32);

// A hash table of flows of fixed capacity: open addressing, linear probing,
// deletion by shifting back, so that neither growth nor tombstones make one
// packet wait. Not thread-safe.
class FlowTable {
 public:
  // Precondition: `max_flows` > 0.
  explicit FlowTable(std::uint32_t max_flows);

  // The entry of `key`, or null. Valid until the next Insert or Erase.
  FlowEntry* Find(FlowKey key);

  // The entry of `key`, added empty if it was not there; null when full.
  FlowEntry* Insert(FlowKey key);

  // Removes the entry of `key` if there is one.
  void Erase(FlowKey key);

  // Asks `evict(entry)` for the next `steps` slots in turn and erases where it
  // answers true. Returns the number erased.
  template <typename Evict>
  std::uint32_t Sweep(std::uint32_t steps, Evict&& evict) {
    std::uint32_t erased = 0;
    for (std::uint32_t i = 0; i < steps; ++i) {
      FlowEntry& entry = slots_[sweep_position_];
      if (entry.key != 0 && evict(entry)) {
        EraseAt(sweep_position_);
        ++erased;
        continue;  // Another entry may have moved into this slot.
      }
      sweep_position_ = (sweep_position_ + 1) & mask_;
    }
    return erased;
  }

  // All slots; those whose key is 0 are empty.
  std::span<FlowEntry> slots() { return slots_; }
  std::span<const FlowEntry> slots() const { return slots_; }

  std::uint32_t size() const { return size_; }
  std::uint32_t max_flows() const { return max_flows_; }
  bool full() const { return size_ >= max_flows_; }
  std::size_t bytes() const { return slots_.size() * sizeof(FlowEntry); }

 private:
  std::size_t HomeSlot(FlowKey key) const {
    return static_cast<std::size_t>(MixHash(key, 0)) & mask_;
  }
  void EraseAt(std::size_t index);

  std::uint32_t max_flows_;
  std::uint32_t size_ = 0;
  std::size_t mask_;
  std::size_t sweep_position_ = 0;
  std::vector<FlowEntry> slots_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_FLOW_TABLE_H_
