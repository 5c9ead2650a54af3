#ifndef GCW_DIRECT_CALLER_COUNTS_H_
#define GCW_DIRECT_CALLER_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace gcw::direct {

// Counts the new flows of each caller within the last second, to find callers
// that open many more flows than the others. Answers the load pattern in which
// a few callers take most of an overloaded service. Needs at most 160 KB. Has
// no I/O. Not thread-safe.
class CallerCounts {
 public:
  // Callers beyond this number are not counted until a counted caller has
  // opened no flow for a second. A caller with many flows is among the first
  // to take the free entry.
  static constexpr std::size_t kMaxCallers = 4096;

  // Returns whether a new flow of the caller with the address `caller` is
  // within the limit: 4 times the mean number of flows of the callers seen in
  // the last second. Only flows within the limit are counted, so that a caller
  // raises the mean by its permitted part at most, and keeps that part.
  bool Count(std::uint32_t caller, absl::Time now);

  std::size_t size() const { return callers_.size(); }

 private:
  // The last second, in periods of 250 ms.
  static constexpr std::size_t kPeriods = 4;
  using Flows = std::array<std::uint32_t, kPeriods>;

  // Drops the flows that are older than a second, and callers without flows.
  void Advance(absl::Time now);

  absl::flat_hash_map<std::uint32_t, Flows> callers_;
  std::uint64_t total_ = 0;  // Flows of all callers.
  std::size_t period_ = 0;   // Index of the current period.
  absl::Time period_start_ = absl::InfinitePast();
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_CALLER_COUNTS_H_
