#ifndef GCW_SRC_ROUTING_FLOW_TABLE_H_
#define GCW_SRC_ROUTING_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "src/routing/flow_key.h"
#include "src/routing/server_registry.h"

namespace gcw::routing {

// Time in units of 100 ms since an origin that the owner of the table chose; 0
// means never.
using Tick = std::uint32_t;

inline constexpr Tick kTicksPerSecond = 10;

// State of one flow on one daemon.
struct FlowEntry {
  // Flag: the flow is recorded at its holders, since its server is not the base
  // server of its bucket, or may come to differ from it, and so cannot be
  // derived from the tables.
  static constexpr std::uint8_t kRecord = 1;
  // Flag: a packet after the first one was seen.
  static constexpr std::uint8_t kConfirmed = 2;
  // Flag: FIN or RST was seen, or the flow was reset.
  static constexpr std::uint8_t kClosed = 4;
  // Flag: the flow was reset because its server stopped answering it.
  static constexpr std::uint8_t kReset = 8;

  FlowKey key = 0;  // 0 if the slot is empty.
  ServerIndex server = kNoServer;
  // ServiceTables::index of the service.
  std::uint32_t service = 0;
  Tick last_packet = 0;
  // When the first of the `unanswered` packets was sent.
  Tick first_unanswered = 0;
  // When this daemon last sent the record to another holder, with a packet of
  // the flow, or received it.
  Tick last_mirrored = 0;
  // Packets with payload that were sent to the server since its last answer.
  std::uint8_t unanswered = 0;
  std::uint8_t flags = 0;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
  void set(std::uint8_t flag) { flags |= flag; }
};

static_assert(sizeof(FlowEntry) <= 32);

// A hash table of flows with fixed capacity. It uses open addressing with
// linear probing, and deletion shifts later entries back, so that no packet is
// delayed by a rehash or by tombstones. Not thread-safe.
class FlowTable {
 public:
  // Precondition: `max_flows` > 0.
  explicit FlowTable(std::uint32_t max_flows);

  // Returns the entry of `key`, or null. Valid until the next Insert or Erase.
  FlowEntry* Find(FlowKey key);

  // Returns the entry of `key`, which is added empty if it was missing. Returns
  // null if the table is full.
  FlowEntry* Insert(FlowKey key);

  // Removes the entry of `key` if there is one.
  void Erase(FlowKey key);

  // Examines the next `steps` slots, continuing after the previous call, and
  // erases each entry for which `evict(entry)` returns true. Returns the number
  // of erased entries.
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
  // The slot where the search for `key` begins.
  std::size_t HomeSlot(FlowKey key) const {
    return static_cast<std::size_t>(MixHash(key, 0)) & mask_;
  }
  void EraseAt(std::size_t index);

  std::uint32_t max_flows_;
  std::uint32_t size_ = 0;
  std::size_t mask_;
  // The slot that Sweep examines next.
  std::size_t sweep_position_ = 0;
  std::vector<FlowEntry> slots_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_FLOW_TABLE_H_
