#include "src/routing/control_message.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <random>
#include <vector>

namespace gcw::routing {
namespace {

ControlMessage MakeMessage() {
  ControlMessage message;
  message.session = 0x123456789abcdefULL;
  message.revision = 42;
  message.highest_known_revision = 43;
  message.view_hash = 0xfedcba98;
  message.records_complete = true;
  message.sync_request = 7;
  message.sync_all = true;
  message.clock_ms = 123456;
  message.echoed_clock_ms = 123400;
  message.sequence = 9;
  message.sync_done = 3;
  message.tables.push_back({11, {40, {{5, 100}, {9, 300}}, {6, 7}}});
  message.deviations.push_back({11, 9});
  message.records.push_back({11, 5, {1, 0xffffffffffffffffULL, 3}});
  message.closed = {17, 19};
  return message;
}

TEST_CASE("a control message is unchanged after encoding and decoding") {
  const ControlMessage message = MakeMessage();
  const auto decoded = Decode(Encode(message));
  REQUIRE(decoded.has_value());
  CHECK(*decoded == message);
  const ControlMessage empty;
  REQUIRE(Decode(Encode(empty)).has_value());
  CHECK(*Decode(Encode(empty)) == empty);
}

// A corrupted table that passes the checks must not crash the computation of
// the table.
TEST_CASE("a truncated message is refused, a corrupted one refused or usable") {
  const std::vector<std::uint8_t> bytes = Encode(MakeMessage());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(Decode(std::span(bytes).first(size)).has_value());
  }
  std::mt19937 random(5);
  int taken = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> changed = bytes;
    changed[random() % changed.size()] ^= 1U << (random() % 8);
    const auto decoded = Decode(changed);
    if (!decoded) {
      continue;
    }
    ++taken;
    for (const TableNotice& table : decoded->tables) {
      CHECK_FALSE(BuildTable(table.spec.weighted_servers).positions.empty());
    }
  }
  CHECK(taken > 0);
}

// Building a table needs the servers in order, and divides by the sum of the
// weights.
TEST_CASE("a table with unordered servers or a zero weight is refused") {
  ControlMessage message;
  message.tables.push_back({11, {40, {{9, 100}, {5, 100}}, {}}});
  CHECK_FALSE(Decode(Encode(message)).has_value());
  message.tables[0].spec.weighted_servers = {{5, 0}};
  CHECK_FALSE(Decode(Encode(message)).has_value());
}

}  // namespace
}  // namespace gcw::routing
