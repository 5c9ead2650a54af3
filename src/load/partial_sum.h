#ifndef GCW_LOAD_PARTIAL_SUM_H_
#define GCW_LOAD_PARTIAL_SUM_H_

#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "gcw/load/figures.h"

namespace gcw::load {

// The mean load of a daemon by service, against which the figures of other
// daemons are checked.
class Reference {
 public:
  // Includes `figures` in the mean.
  void Add(const Figures& figures);

  // Limits each number of `figures` to 8 times the mean, plus 16, for each
  // daemon of `figures`, so that a daemon with wrong figures does not outweigh
  // all others. Single servers are limited by the load of all services.
  void Limit(Figures& figures) const;

 private:
  struct Totals {
    std::uint64_t outstanding = 0;
    std::uint64_t open_flows = 0;
    std::uint64_t placed_per_second = 0;
    std::uint64_t refused_per_second = 0;
    std::uint64_t answers = 0;
  };

  std::uint32_t LimitOf(std::uint64_t total, std::uint32_t daemons) const;

  std::uint64_t daemons_ = 0;
  absl::flat_hash_map<NameHash, Totals> services_;
  Totals all_;
};

// Adds up figures and the zones of their daemons.
class PartialSum {
 public:
  // Adds the figures of daemons of `coverage.zone`.
  void Add(const Figures& figures, const Coverage& coverage);
  // Adds figures of several zones.
  void Add(const FleetFigures& figures, absl::Duration waited);

  FleetFigures Result() const;

 private:
  struct Key {
    NameHash service = 0;
    NameHash zone = 0;

    bool operator==(const Key&) const = default;

    template <typename H>
    friend H AbslHashValue(H h, const Key& key) {
      return H::combine(std::move(h), key.service, key.zone);
    }
  };

  void AddFigures(const Figures& figures);
  void AddCoverage(const Coverage& coverage);

  absl::flat_hash_map<Key, ZoneLoad> zones_;
  absl::flat_hash_map<std::uint32_t, ServerLoad> servers_;
  std::map<NameHash, Coverage> coverage_;
};

}  // namespace gcw::load

#endif  // GCW_LOAD_PARTIAL_SUM_H_
