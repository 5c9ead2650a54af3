#ifndef GCW_BALANCER_GATHER_STATUS_H_
#define GCW_BALANCER_GATHER_STATUS_H_

#include <nlohmann/json.hpp>

#include "gcw/kernel/kernel.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Asks every task for its status. The field "revision" is the one that packets
// are routed by. Waits at most half a second. Thread-safe.
nlohmann::json GatherStatus(const Settings& settings, kernel::Kernel& kernel);

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_GATHER_STATUS_H_
