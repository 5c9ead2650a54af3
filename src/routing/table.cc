#include "src/routing/table.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>
#include <queue>
#include <utility>

namespace gcw::routing {

namespace {

constexpr unsigned kMinBits = 8;
constexpr unsigned kMaxBits = 16;
// Buckets for each server on average, at least.
constexpr std::size_t kBucketsPerServer = 64;
// A server may have this many per cent more than its exact share: the more,
// the fewer buckets of others move with a change.
constexpr std::uint64_t kSlackPercent = 2;

using Claim = std::pair<std::uint64_t, std::uint32_t>;  // Preference, bucket.
using ClaimHeap =
    std::priority_queue<Claim, std::vector<Claim>, std::greater<>>;

std::vector<std::size_t> Capacities(std::span<const Share> shares,
                                    std::uint64_t buckets) {
  const auto total = std::accumulate(
      shares.begin(), shares.end(), std::uint64_t{0},
      [](std::uint64_t sum, const Share& share) { return sum + share.weight; });
  std::vector<std::size_t> capacities;
  capacities.reserve(shares.size());
  for (const Share& share : shares) {
    const std::uint64_t scaled = buckets * share.weight * (100 + kSlackPercent);
    const std::uint64_t unit = total * 100;
    capacities.push_back((scaled + unit - 1) / unit);
  }
  return capacities;
}

// The position that `bucket` prefers most among those it prefers less than
// `below`.
std::size_t NextChoice(std::span<const Share> shares,
                       std::uint32_t bucket,
                       std::uint64_t below) {
  std::size_t best = shares.size();
  std::uint64_t best_preference = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const std::uint64_t preference = Preference(bucket, shares[i].server);
    if (preference < below &&
        (best == shares.size() || preference > best_preference)) {
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
  return std::clamp(bits, kMinBits, kMaxBits);
}

Table BuildTable(std::span<const Share> shares) {
  Table table;
  table.bits = BucketBits(shares.size());
  const std::uint32_t buckets = 1U << table.bits;
  table.positions.assign(buckets, Table::kNoPosition);
  if (shares.empty()) {
    return table;
  }
  const std::vector<std::size_t> capacities = Capacities(shares, buckets);
  std::vector<ClaimHeap> kept(shares.size());
  for (std::uint32_t first = 0; first < buckets; ++first) {
    std::uint32_t bucket = first;
    std::uint64_t below = ~std::uint64_t{0};
    // Each refusal moves one bucket to its next choice. Capacities sum to at
    // least the number of buckets, so every bucket finds room.
    while (true) {
      const std::size_t choice = NextChoice(shares, bucket, below);
      if (choice == shares.size()) {
        break;
      }
      const std::uint64_t preference =
          Preference(bucket, shares[choice].server);
      kept[choice].emplace(preference, bucket);
      if (kept[choice].size() <= capacities[choice]) {
        break;
      }
      const Claim refused = kept[choice].top();
      kept[choice].pop();
      below = refused.first;
      bucket = refused.second;
    }
  }
  for (std::size_t i = 0; i < shares.size(); ++i) {
    for (; !kept[i].empty(); kept[i].pop()) {
      table.positions[kept[i].top().second] = static_cast<std::uint16_t>(i);
    }
  }
  return table;
}

}  // namespace gcw::routing
