#include "src/routing/flow_table.h"

#include <catch2/catch.hpp>
#include <random>
#include <unordered_set>
#include <vector>

namespace gcw::routing {
namespace {

// Guards against entries that become unreachable when an erasure shifts others
// back, also across the end of the slots.
TEST_CASE(
    "a flow table has the same keys as a set after inserts and erasures") {
  FlowTable table(500);
  std::unordered_set<FlowKey> model;
  std::mt19937_64 random(3);
  for (int i = 0; i < 100'000; ++i) {
    const FlowKey key = (random() % 700) * 2 + 1;
    if (random() % 2 == 0) {
      table.Erase(key);
      model.erase(key);
    } else if (table.Insert(key) != nullptr) {
      model.insert(key);
    } else {
      CHECK(model.size() == 500);
    }
  }
  CHECK(table.size() == model.size());
  for (FlowKey key = 1; key < 1400; key += 2) {
    CHECK((table.Find(key) != nullptr) == model.contains(key));
  }
}

// Guards against a sweep that skips the entry that an erasure shifts into the
// current slot.
TEST_CASE("a sweep erases exactly the entries that the predicate selects") {
  FlowTable table(1000);
  for (FlowKey key = 1; key <= 999; key += 2) {
    table.Insert(key)->service = static_cast<std::uint32_t>(key % 10);
  }
  const std::uint32_t erased = table.Sweep(
      8192, [](const FlowEntry& entry) { return entry.service == 3; });
  CHECK(erased == 100);
  CHECK(table.size() == 400);
  for (FlowKey key = 1; key <= 999; key += 2) {
    CHECK((table.Find(key) == nullptr) == (key % 10 == 3));
  }
}

}  // namespace
}  // namespace gcw::routing
