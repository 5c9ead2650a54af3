#ifndef GCW_DIRECT_ZONES_OUT_H_
#define GCW_DIRECT_ZONES_OUT_H_

#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/events.h"

namespace gcw::direct {

// The availability zones that operators have taken out of service. Has no I/O.
// Not thread-safe.
class ZonesOut {
 public:
  using Names = std::set<std::string, std::less<>>;

  // `restore_grace` is how long a zone stays out after a restore of the store,
  // if the restored store does not say so. `events` must outlive this object.
  ZonesOut(absl::Duration restore_grace, std::vector<Event>* events)
      : restore_grace_(restore_grace), events_(events) {}

  // Replaces the zones that the store lists by `zones`, as of `revision`.
  void Apply(std::span<const std::string> zones,
             Version revision,
             absl::Time now);
  // Keeps `zones` out of service until `until`, or until the store lists them.
  void Keep(std::span<const std::string> zones, absl::Time until);
  // Puts zones back in service whose grace has ended.
  void OnTick(absl::Time now);

  // The zones that get no new flows. The reference stays valid.
  const Names& names() const { return names_; }
  // Returns the zones that are back in service since the last call.
  std::vector<std::string> TakeReturned();

 private:
  // Makes `names_` the listed and the retained zones.
  void Update();

  const absl::Duration restore_grace_;
  std::vector<Event>* const events_;
  Version revision_ = 0;  // Of `listed_`.
  Names listed_;
  // Zones that were out before a restore, until the restored store lists them
  // or the grace ends.
  Names retained_;
  absl::Time retained_until_ = absl::InfinitePast();
  Names names_;
  std::vector<std::string> returned_;  // Since the last TakeReturned().
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ZONES_OUT_H_
