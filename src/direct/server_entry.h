#ifndef GCW_DIRECT_SERVER_ENTRY_H_
#define GCW_DIRECT_SERVER_ENTRY_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"
#include "gcw/direct/events.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"
#include "gcw/load/figures.h"
#include "src/direct/reachability.h"

namespace gcw::direct {

// Limits on the new flows of a server from a report that may or may not tell
// its present state.
struct Caution {
  bool no_new_flows = false;
  absl::Time cold_until = absl::InfinitePast();
};

// One incarnation of a backend server, with this daemon's state about it.
struct ServerEntry {
  // Whether the store has no entry of this incarnation any more.
  bool missing() const {
    return presence == Presence::kLapsed || presence == Presence::kGone;
  }
  // Whether the server may be cold, so that it gets new flows at a limited
  // rate.
  bool cold(absl::Time now) const {
    return now < std::max({cold_until, caution.cold_until, unread_cold_until,
                           restart_cold_until});
  }

  BackendServer server;
  FlowCookie cookie = 0;   // Of the server, whichever incarnation runs.
  IncarnationKey key = 0;  // Of this incarnation.
  load::NameHash service_hash = 0;
  load::NameHash zone_hash = 0;
  Version revision = 0;  // Of the last report that was applied.
  // When the last report was read that was not deferred.
  absl::Time reported_at;
  // The latest time at which the incarnation can have started, if its reports
  // are numbered.
  absl::Time started_by = absl::InfiniteFuture();
  std::uint32_t reports_read = 0;
  Presence presence = Presence::kListed;
  absl::Time presence_since;
  // Whether the entry vanished after a drain, so that the server has left.
  bool left = false;
  absl::Time cold_until;
  // From a report of another incarnation that is deferred.
  Caution caution;
  // Updated by ColdSuspicion: until when the server may be cold because reports
  // of it may not have been read, or because it may have restarted.
  absl::Time unread_cold_until = absl::InfinitePast();
  absl::Time restart_cold_until = absl::InfinitePast();
  // When the server was last found lost, and last answered after that.
  absl::Time lost_at = absl::InfinitePast();
  absl::Time returned_at = absl::InfinitePast();
  Reachability reach;
  // The two numbers of flows below include only flows that are in this daemon's
  // flow table.
  std::uint32_t open_flows = 0;  // Without closed flows.
  std::uint32_t flow_refs = 0;   // All flows that point to this entry.
  // Flows with a request that was probably still running or queued at the last
  // tick.
  std::uint32_t waiting_flows = 0;
  // The same without flows that have waited for longer than the target latency
  // of their route: a server that hangs has many of them, which show no demand.
  std::uint32_t outstanding = 0;
  // Flows whose request had waited too long for an answer at the last tick.
  // Several late flows make the server suspect.
  std::uint32_t late_flows = 0;
  std::uint64_t placed = 0;  // New flows placed since the entry was added.
  // New flows that this daemon placed within the last few seconds, with
  // exponential decay. Updated by Placer.
  double recent_flows = 0;
  // The share of the usual number of new flows that the server may get, above 0
  // and up to 1, which is below 1 in slow start; and how long the server takes
  // for a request, compared with the other servers of its service. Updated by
  // ServerPace.
  double share = 1;
  double slowness = 1;
  // Whether the server's flows were reset because the server is gone or
  // restarted.
  bool flows_reset = false;
  // Whether another server that was read earlier has the same cookie, or
  // another incarnation the same key. This incarnation then gets no new flows.
  bool collides = false;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_ENTRY_H_
