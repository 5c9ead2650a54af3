#ifndef GCW_DIRECT_SERVER_PACE_H_
#define GCW_DIRECT_SERVER_PACE_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/packet.h"
#include "gcw/load/figures.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Finds how much work each backend server bears from how it answers: how slow
// it is compared with the other servers of its service, and, after it started
// or recovered, which share of the usual number of new flows it may get.
// The answers that all daemons of the zone see count, so that the fleet as a
// whole neither floods a server nor leaves it idle. Has no I/O. Not
// thread-safe.
class ServerPace {
 public:
  // Records an answer of `server` on one of this daemon's flows. `usual` is the
  // latency that answers of the route usually have; positive.
  void OnAnswer(const ServerEntry& server,
                absl::Duration latency,
                absl::Duration usual,
                absl::Time now);
  // `server` started, or answers again after it was unreachable.
  void OnStarted(const ServerEntry& server, absl::Time now);
  // Replaces what the other daemons see of single servers.
  void SetFleet(std::span<const load::ServerLoad> servers, absl::Time now);

  // Adjusts the shares of the servers that started or recovered. Call this
  // about every 50 ms.
  void OnTick(const ServerTable& servers, absl::Time now);

  // The share of the new flows of a server outside slow start that `server` may
  // get, above 0 and up to 1.
  double share(FlowCookie server) const;
  // How long `server` takes for a request, compared with the other servers of
  // its service; 1 if not known.
  double slowness(FlowCookie server) const;

  // This daemon's figures of the servers that are worth telling the others:
  // those that started or recovered, and those that are unusually slow, fast or
  // loaded.
  std::vector<load::ServerLoad> OwnFigures(const ServerTable& servers,
                                           absl::Time now) const;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_PACE_H_
