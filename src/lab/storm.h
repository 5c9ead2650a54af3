#ifndef SRC_LAB_STORM_H_
#define SRC_LAB_STORM_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/scenario.h"
#include "src/lab/topology.h"

namespace gcw::lab {

// Draws up to `count` random faults, which may overlap and repeat, as events of
// a scenario that lasts `duration`. The faults stay within the limits for which
// the load balancer's guarantees hold: at most one daemon at a time is lost, at
// most one zone is out, and each fault ends. Equal arguments give equal events.
// Thread-safe.
std::vector<Event> DrawStorm(const Topology& topology,
                             absl::Duration duration,
                             std::uint32_t count,
                             std::uint64_t seed);

}  // namespace gcw::lab

#endif  // SRC_LAB_STORM_H_
