#include "src/routing/table.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>
#include <queue>
#include <utility>

namespace gcw::routing {

namespace {

// Smallest and largest size of a table, as the binary logarithm of the number
// of buckets.
constexpr unsigned kMinBucketBits = 8;
constexpr unsigned kMaxBucketBits = 16;
// Minimum average number of buckets for each server, as far as kMaxBucketBits
// allows.
constexpr std::size_t kBucketsPerServer = 64;
// A server may have more buckets than its exact share by this percentage. A
// higher value moves fewer buckets between other servers when one server
// changes.
constexpr std::uint64_t kSlackPercent = 2;

// Preference of a bucket for a server, and the bucket.
using Claim = std::pair<std::uint64_t, std::uint32_t>;
// The buckets of one server; the bucket with the lowest preference is on top.
using ClaimHeap =
    std::priority_queue<Claim, std::vector<Claim>, std::greater<>>;

// Returns the highest number of buckets that each server may have.
std::vector<std::size_t> BucketCapacities(
    std::span<const WeightedServer> weighted_servers,
    std::uint64_t buckets) {
  const auto total = std::accumulate(
      weighted_servers.begin(), weighted_servers.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedServer& server) {
        return sum + server.weight;
      });
  std::vector<std::size_t> capacities;
  capacities.reserve(weighted_servers.size());
  for (const WeightedServer& server : weighted_servers) {
    const std::uint64_t scaled =
        buckets * server.weight * (100 + kSlackPercent);
    const std::uint64_t unit = total * 100;
    capacities.push_back((scaled + unit - 1) / unit);
  }
  return capacities;
}

// Returns the position of the server that `bucket` prefers most among those
// with a preference less than `below`, or the number of servers if there is
// none.
std::size_t NextChoice(std::span<const WeightedServer> weighted_servers,
                       std::uint32_t bucket,
                       std::uint64_t below) {
  std::size_t best = weighted_servers.size();
  std::uint64_t best_preference = 0;
  for (std::size_t i = 0; i < weighted_servers.size(); ++i) {
    const std::uint64_t preference =
        Preference(bucket, weighted_servers[i].server);
    if (preference < below &&
        (best == weighted_servers.size() || preference > best_preference)) {
      best = i;
      best_preference = preference;
    }
  }
  return best;
}

}  // namespace

unsigned BucketBits(std::size_t servers) {
  const std::size_t wanted =
      std::bit_ceil(std::max<std::size_t>(servers, 1) * kBucketsPerServer);
  const auto bits = static_cast<unsigned>(std::countr_zero(wanted));
  return std::clamp(bits, kMinBucketBits, kMaxBucketBits);
}

Table BuildTable(std::span<const WeightedServer> weighted_servers) {
  Table table;
  table.bucket_bits = BucketBits(weighted_servers.size());
  const std::uint32_t buckets = 1U << table.bucket_bits;
  table.positions.assign(buckets, Table::kNoPosition);
  if (weighted_servers.empty()) {
    return table;
  }
  const std::vector<std::size_t> capacities =
      BucketCapacities(weighted_servers, buckets);
  std::vector<ClaimHeap> claims(weighted_servers.size());
  for (std::uint32_t first = 0; first < buckets; ++first) {
    std::uint32_t bucket = first;
    std::uint64_t below = ~std::uint64_t{0};
    // A displaced bucket goes to its next choice. The capacities add up to at
    // least the number of buckets, so every bucket is assigned.
    while (true) {
      const std::size_t choice = NextChoice(weighted_servers, bucket, below);
      if (choice == weighted_servers.size()) {
        break;
      }
      const std::uint64_t preference =
          Preference(bucket, weighted_servers[choice].server);
      claims[choice].emplace(preference, bucket);
      if (claims[choice].size() <= capacities[choice]) {
        break;
      }
      const Claim displaced = claims[choice].top();
      claims[choice].pop();
      below = displaced.first;
      bucket = displaced.second;
    }
  }
  for (std::size_t i = 0; i < weighted_servers.size(); ++i) {
    for (; !claims[i].empty(); claims[i].pop()) {
      table.positions[claims[i].top().second] = static_cast<std::uint16_t>(i);
    }
  }
  return table;
}

}  // namespace gcw::routing
