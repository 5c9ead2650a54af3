#ifndef SRC_LAB_FLOW_CALLERS_H_
#define SRC_LAB_FLOW_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "src/lab/inner_packet.h"
#include "src/lab/ledger.h"
#include "src/lab/load_settings.h"
#include "src/lab/random.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Simulated callers of TCP flows. They open connections, send data at a rate,
// expect the echo of each packet from the server that accepted the connection,
// retransmit lost packets, and close. They report opened, refused and broken
// flows to the ledger. Not thread-safe.
class FlowCallers {
 public:
  // Sends a packet of a caller in `caller_zone` to any daemon.
  using Send = std::function<void(ZoneIndex caller_zone, Bytes packet)>;

  // The scheduler, world and ledger must outlive the callers.
  FlowCallers(Scheduler& scheduler,
              const World& world,
              Ledger& ledger,
              const LoadSettings& load,
              std::uint64_t seed,
              Send send);
  ~FlowCallers();

  // Opens flows at the rate of the load settings from now until `end`.
  void Start(absl::Time end);
  // Opens one flow from `zone` to `service` that its caller closes at `end`.
  void Open(ServiceIndex service, ZoneIndex zone, absl::Time end);
  // Handles a reply that reached its caller.
  void OnPacket(const InnerPacket& packet);

  // Counts the established flows of the server as given up; they may break from
  // now on without counting as broken. For a server that died, restarted, lost
  // its address, or whose zone was taken out or returns.
  void GiveUpFlowsOf(ServerIndex server);
  // Network state for the flow of `caller` was lost without notice. The flow
  // counts as stuck unless it is reset in time.
  void OnFlowSilenced(const Endpoint& caller);
  // Counts flows whose answer or reset is overdue as broken or stuck. Call once
  // at the end of the run.
  void Finish();

  // The number of flows that have not ended.
  std::size_t open_flows() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_FLOW_CALLERS_H_
