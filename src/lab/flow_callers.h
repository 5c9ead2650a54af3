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

// Simulated callers of TCP flows. The callers open connections, send data at a
// rate, expect the echo of each packet from the server that accepted the
// connection, retransmit lost packets, and close. The callers report opened,
// refused and broken flows to the ledger. Not thread-safe.
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
  // Handles a reply packet of a flow that reached the flow's caller.
  void OnPacket(const InnerPacket& packet);

  // Counts the established flows of the server as given up; those flows may
  // break from now on without counting as broken. For a server that died,
  // restarted, lost its address, or whose zone was taken out or returns.
  void GiveUpFlowsOf(ServerIndex server);
  // A network device on the path lost its state for the flow of `caller`
  // without notice, so packets are dropped silently. The flow counts as stuck
  // unless the caller receives a reset in time.
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
