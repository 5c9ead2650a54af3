#ifndef GCW_SOAK_LOAD_WATCH_H_
#define GCW_SOAK_LOAD_WATCH_H_

#include <array>
#include <cstddef>
#include <string>

#include "absl/time/time.h"
#include "src/soak/deployment.h"
#include "src/soak/invariants.h"

namespace gcw::soak {

// Tracks since when servers have had room for more requests while no fault was
// near. Not thread-safe.
class LoadWatch {
 public:
  static constexpr absl::Duration kInterval = absl::Milliseconds(50);

  // Takes the servers' present load. Call it every kInterval.
  void Measure(const Deployment& deployment, const Impairments& impairments);

  // Since when the fleet as a whole has had room; InfiniteFuture() if it has
  // none now.
  absl::Time FleetHasRoomSince() const { return fleet_since_; }
  // The same for the fleet and at least one zone other than `zone`.
  absl::Time OthersHaveRoomSince(std::size_t zone) const {
    return others_since_[zone];
  }
  // Formats the utilisation of all zones.
  std::string ToString() const;

 private:
  // The part of the slots that is in use, smoothed.
  std::array<double, Deployment::kZones> utilisation_{};
  absl::Time fleet_since_ = absl::InfiniteFuture();
  std::array<absl::Time, Deployment::kZones> others_since_{
      absl::InfiniteFuture(), absl::InfiniteFuture(), absl::InfiniteFuture()};
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_LOAD_WATCH_H_
