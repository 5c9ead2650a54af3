#ifndef GCW_DIRECT_FLOW_RESETTER_H_
#define GCW_DIRECT_FLOW_RESETTER_H_

#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "src/direct/flow_table.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// The state of the store by which a daemon decides, as its events report it.
struct HeldState {
  Version configuration = 0;  // Configuration::version.
  absl::Duration servers_age;
};

// Whether `server` counts as gone from the store or was replaced by another
// incarnation. It gets no new flows.
bool IsGone(const ServerEntry& server);
// Why the flows of `server` are reset. Precondition: `server` is missing from
// the store, was replaced or is unreachable.
Reason UnusableReason(const ServerEntry& server);
// When `server` became missing or unreachable, which is the reason for
// resetting its flows.
absl::Time UnusableSince(const ServerEntry& server);

// Resets the flows of servers that are lost, so that the callers' next requests
// open new flows instead of failing. Has no I/O. Not thread-safe.
class FlowResetter {
 public:
  // `flows` and `events` must outlive the resetter.
  FlowResetter(FlowTable& flows, std::vector<Event>* events)
      : flows_(flows), events_(events) {}

  // Resets the established flows of `server`. Precondition: `server` is gone or
  // unreachable.
  void ResetFlowsOf(const ServerEntry& server,
                    const HeldState& state,
                    absl::Time now);

  // Resets the flows of a server that has ended (ServerTable::HasEnded()),
  // unless it has answered since. Does so only once per server.
  void ResetFlowsOfEnded(ServerEntry& server,
                         const HeldState& state,
                         absl::Time now);

  // Returns the resets to send since the last call.
  std::vector<FlowReset> TakeResets();

 private:
  FlowTable& flows_;
  std::vector<Event>* const events_;
  std::vector<FlowReset> resets_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLOW_RESETTER_H_
