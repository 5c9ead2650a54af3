#ifndef GCW_DISPATCH_ACCEPTS_NEW_WORK_H_
#define GCW_DISPATCH_ACCEPTS_NEW_WORK_H_

#include "gcw/config/snapshot.h"

namespace gcw::dispatch {

// Whether `server` may get new work according to the configuration: operators
// have taken neither the server nor its zone out, and the server is not
// draining. Thread-safe.
inline bool AcceptsNewWork(const config::Snapshot& snapshot,
                           const config::BackendServer& server) {
  const auto zone = snapshot.zones.find(server.zone);
  const bool zone_in = zone == snapshot.zones.end() ||
                       zone->second.state == config::ZoneState::kIn;
  return zone_in && server.state == config::ServerState::kIn;
}

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_ACCEPTS_NEW_WORK_H_
