#ifndef GCW_BALANCER_GATHER_STATUS_H_
#define GCW_BALANCER_GATHER_STATUS_H_

#include <nlohmann/json.hpp>

#include "gcw/kernel/kernel.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Asks the packet, dispatch and cluster tasks for their status and merges the
// answers with the daemon's name and zone. The field "revision" is the
// configuration revision that packets are routed by: the lower one of the
// packet task's and the cluster task's. Blocks for at most half a second; tasks
// that have not answered by then are left out and counted in the field
// "missing". Thread-safe.
nlohmann::json GatherStatus(const Settings& settings, kernel::Kernel& kernel);

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_GATHER_STATUS_H_
