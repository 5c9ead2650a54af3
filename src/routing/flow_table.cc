#include "src/routing/flow_table.h"

#include <bit>
#include <cassert>

namespace gcw::routing {

FlowTable::FlowTable(std::uint32_t max_flows)
    : max_flows_(max_flows),
      mask_(std::bit_ceil(std::size_t{max_flows} * 4 / 3 + 1) - 1),
      slots_(mask_ + 1) {
  assert(max_flows > 0);
}

FlowEntry* FlowTable::Find(FlowKey key) {
  for (std::size_t i = HomeSlot(key);; i = (i + 1) & mask_) {
    if (slots_[i].key == key) {
      return &slots_[i];
    }
    if (slots_[i].key == 0) {
      return nullptr;
    }
  }
}

FlowEntry* FlowTable::Insert(FlowKey key) {
  for (std::size_t i = HomeSlot(key);; i = (i + 1) & mask_) {
    if (slots_[i].key == key) {
      return &slots_[i];
    }
    if (slots_[i].key != 0) {
      continue;
    }
    if (full()) {
      return nullptr;
    }
    slots_[i].key = key;
    ++size_;
    return &slots_[i];
  }
}

void FlowTable::Erase(FlowKey key) {
  for (std::size_t i = HomeSlot(key); slots_[i].key != 0; i = (i + 1) & mask_) {
    if (slots_[i].key == key) {
      EraseAt(i);
      return;
    }
  }
}

void FlowTable::EraseAt(std::size_t index) {
  std::size_t hole = index;
  for (std::size_t i = (hole + 1) & mask_; slots_[i].key != 0;
       i = (i + 1) & mask_) {
    // An entry may move back into the hole unless its home slot lies behind the
    // hole.
    const std::size_t distance = (i - HomeSlot(slots_[i].key)) & mask_;
    if (distance >= ((i - hole) & mask_)) {
      slots_[hole] = slots_[i];
      hole = i;
    }
  }
  slots_[hole] = FlowEntry{};
  --size_;
}

}  // namespace gcw::routing
