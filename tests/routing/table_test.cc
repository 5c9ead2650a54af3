#include "src/routing/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace gcw::routing {
namespace {

std::vector<WeightedServer> MakeWeightedServers(std::size_t count,
                                                std::uint32_t weight = 100) {
  std::vector<WeightedServer> weighted_servers;
  for (std::size_t i = 0; i < count; ++i) {
    weighted_servers.push_back(
        {StableHash(fmt::format("server{}", i)) | 1, weight});
  }
  std::sort(weighted_servers.begin(), weighted_servers.end(),
            [](const WeightedServer& a, const WeightedServer& b) {
              return a.server < b.server;
            });
  return weighted_servers;
}

std::vector<std::size_t> CountBuckets(const Table& table, std::size_t servers) {
  std::vector<std::size_t> counts(servers);
  for (const std::uint16_t position : table.positions) {
    ++counts.at(position);
  }
  return counts;
}

TEST_CASE("servers of equal weight get nearly equal numbers of buckets") {
  for (const std::size_t servers : {1, 2, 3, 4, 14, 40, 200}) {
    const Table table = BuildTable(MakeWeightedServers(servers));
    const std::vector<std::size_t> counts = CountBuckets(table, servers);
    const double mean = static_cast<double>(table.positions.size()) / servers;
    const auto most = *std::max_element(counts.begin(), counts.end());
    INFO(servers << " servers");
    CHECK(static_cast<double>(most) / mean <= 1.05);
    CHECK(*std::min_element(counts.begin(), counts.end()) > 0);
  }
}

TEST_CASE("buckets are distributed in proportion to the weights") {
  std::vector<WeightedServer> weighted_servers = MakeWeightedServers(10);
  weighted_servers[3].weight = 300;
  weighted_servers[7].weight = 50;
  const Table table = BuildTable(weighted_servers);
  const std::vector<std::size_t> counts =
      CountBuckets(table, weighted_servers.size());
  const double unit = static_cast<double>(table.positions.size()) / 1150;
  for (std::size_t i = 0; i < weighted_servers.size(); ++i) {
    const double share = static_cast<double>(counts[i]) / unit;
    CHECK(share == Approx(weighted_servers[i].weight).epsilon(0.10));
  }
}

// Daemons compute tables independently of each other and must agree.
TEST_CASE("equal specs give equal tables") {
  const std::vector<WeightedServer> weighted_servers = MakeWeightedServers(14);
  CHECK(BuildTable(weighted_servers).positions ==
        BuildTable(weighted_servers).positions);
}

// Each moved bucket makes its live flows need records.
TEST_CASE("removing a server moves few buckets of the others") {
  const std::vector<WeightedServer> before = MakeWeightedServers(14);
  std::vector<WeightedServer> after = before;
  after.erase(after.begin() + 5);
  const Table old_table = BuildTable(before);
  const Table new_table = BuildTable(after);
  REQUIRE(old_table.bucket_bits == new_table.bucket_bits);
  std::size_t moved = 0;
  for (std::size_t b = 0; b < old_table.positions.size(); ++b) {
    const ServerId was = before[old_table.positions[b]].server;
    const ServerId is = after[new_table.positions[b]].server;
    moved += was != is ? 1 : 0;
  }
  const std::size_t own = CountBuckets(old_table, 14)[5];
  INFO("moved " << moved << " buckets, of which " << own
                << " belonged to the removed server");
  CHECK(moved >= own);
  CHECK(moved < 3 * own);
}

TEST_CASE("a table without servers has no server for any key") {
  const Table table = BuildTable({});
  CHECK(table.At(0x1234) == Table::kNoPosition);
}

}  // namespace
}  // namespace gcw::routing
