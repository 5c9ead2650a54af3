#include "src/routing/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace gcw::routing {
namespace {

std::vector<Share> MakeShares(std::size_t count, std::uint32_t weight = 100) {
  std::vector<Share> shares;
  for (std::size_t i = 0; i < count; ++i) {
    shares.push_back({StableHash(fmt::format("server{}", i)) | 1, weight});
  }
  std::sort(shares.begin(), shares.end(),
            [](const Share& a, const Share& b) { return a.server < b.server; });
  return shares;
}

std::vector<std::size_t> Counts(const Table& table, std::size_t servers) {
  std::vector<std::size_t> counts(servers);
  for (const std::uint16_t position : table.positions) {
    ++counts.at(position);
  }
  return counts;
}

TEST_CASE("equal servers get equal parts of the buckets") {
  for (const std::size_t servers : {1, 2, 3, 4, 14, 40, 200}) {
    const Table table = BuildTable(MakeShares(servers));
    const std::vector<std::size_t> counts = Counts(table, servers);
    const double mean = static_cast<double>(table.positions.size()) / servers;
    const auto most = *std::max_element(counts.begin(), counts.end());
    INFO(servers << " servers");
    CHECK(static_cast<double>(most) / mean <= 1.05);
    CHECK(*std::min_element(counts.begin(), counts.end()) > 0);
  }
}

TEST_CASE("weights are respected") {
  std::vector<Share> shares = MakeShares(10);
  shares[3].weight = 300;
  shares[7].weight = 50;
  const Table table = BuildTable(shares);
  const std::vector<std::size_t> counts = Counts(table, shares.size());
  const double unit = static_cast<double>(table.positions.size()) / 1150;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const double share = static_cast<double>(counts[i]) / unit;
    CHECK(share == Approx(shares[i].weight).epsilon(0.10));
  }
}

TEST_CASE("a table is a function of its spec alone") {
  const std::vector<Share> shares = MakeShares(14);
  CHECK(BuildTable(shares).positions == BuildTable(shares).positions);
}

TEST_CASE("one server less moves few buckets of the others") {
  const std::vector<Share> before = MakeShares(14);
  std::vector<Share> after = before;
  after.erase(after.begin() + 5);
  const Table old_table = BuildTable(before);
  const Table new_table = BuildTable(after);
  REQUIRE(old_table.bits == new_table.bits);
  std::size_t moved = 0;
  for (std::size_t b = 0; b < old_table.positions.size(); ++b) {
    const ServerId was = before[old_table.positions[b]].server;
    const ServerId is = after[new_table.positions[b]].server;
    moved += was != is ? 1 : 0;
  }
  const std::size_t own = Counts(old_table, 14)[5];
  INFO("moved " << moved << " of which its own " << own);
  CHECK(moved >= own);
  CHECK(moved < 3 * own);
}

TEST_CASE("no servers give an empty table") {
  const Table table = BuildTable({});
  CHECK(table.At(0x1234) == Table::kNoPosition);
}

}  // namespace
}  // namespace gcw::routing
