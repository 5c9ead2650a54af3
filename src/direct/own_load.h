#ifndef GCW_DIRECT_OWN_LOAD_H_
#define GCW_DIRECT_OWN_LOAD_H_

#include <cstdint>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/load/figures.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Measures the load that this daemon's flows put on the backend servers, by
// service and availability zone. Has no I/O. Not thread-safe.
class OwnLoad {
 public:
  // `zone` is the daemon's own availability zone.
  explicit OwnLoad(std::string_view zone);

  // A new flow was placed on `server`.
  void OnPlaced(const ServerEntry& server);
  // A new flow of `service` was refused because the service is overloaded.
  void OnRefused(std::string_view service);

  // Returns the load as of `now`. Call this about every 50 ms, after the flows
  // of `servers` were counted.
  load::Figures Measure(const ServerTable& servers, absl::Time now);

 private:
  struct Key {
    load::NameHash service = 0;
    load::NameHash zone = 0;

    bool operator==(const Key&) const = default;

    template <typename H>
    friend H AbslHashValue(H h, const Key& key) {
      return H::combine(std::move(h), key.service, key.zone);
    }
  };
  // Recent new flows, with exponential decay.
  struct Rates {
    double placed = 0;
    double refused = 0;
  };

  void DecayRates(absl::Time now);

  const load::NameHash zone_;
  absl::flat_hash_map<Key, Rates> rates_;
  absl::Time last_decay_ = absl::InfinitePast();
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_OWN_LOAD_H_
