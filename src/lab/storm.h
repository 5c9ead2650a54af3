#ifndef SRC_LAB_STORM_H_
#define SRC_LAB_STORM_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/scenario.h"
#include "src/lab/topology.h"

namespace gcw::lab {

// Draws `count` random events that come together and twice, within what the
// promises cover: at most one daemon at a time is lost without notice, at most
// one zone is out, and each trouble ends. The same seed draws the same storm.
// Thread-safe.
std::vector<Event> DrawStorm(const Topology& topology,
                             absl::Duration duration,
                             std::uint32_t count,
                             std::uint64_t seed);

}  // namespace gcw::lab

#endif  // SRC_LAB_STORM_H_
