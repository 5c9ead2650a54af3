#ifndef GCW_DIRECT_FLOW_MONITOR_H_
#define GCW_DIRECT_FLOW_MONITOR_H_

#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "gcw/direct/packet.h"
#include "src/direct/admission_table.h"
#include "src/direct/cold_suspicion.h"
#include "src/direct/flow_table.h"
#include "src/direct/server_failure_detector.h"
#include "src/direct/server_pace.h"
#include "src/direct/server_table.h"
#include "src/direct/usual_latency.h"

namespace gcw::direct {

// Learns from the packets of callers how their servers are doing: how long
// answers take, which flows wait for one, and which servers don't answer. The
// answers themselves don't pass through the daemon. Has no I/O. Not
// thread-safe.
class FlowMonitor {
 public:
  // What the monitor reads and reports to.
  struct Context {
    const ServerTable& servers;
    FlowTable& flows;
    ServerFailureDetector& failure_detector;
    AdmissionTable& admission_table;
    ServerPace& server_pace;
    const ColdSuspicion& cold_suspicion;
  };

  // The members of `context` and `events` must outlive the monitor.
  FlowMonitor(const Context& context, std::vector<Event>* events)
      : context_(context), events_(events) {}

  // The caller has acknowledged the SYN+ACK of the server of `flow`.
  void OnOpened(const Flow& flow, absl::Time now);

  // Updates `flow`, and what is known about the reachability of its server,
  // from the data that the caller acknowledges, sends or retransmits in
  // `packet`.
  void OnPacket(const Packet& packet, Flow& flow, absl::Time now);

  // Counts for each server the flows that wait for an answer and those that
  // have waited for too long (late flows). Servers with several late flows or
  // an unanswered SYN are suspected to be unreachable. Call this about every 50
  // ms.
  void OnTick(absl::Time now);

  // Removes outdated state. Call this about every second.
  void Expire(absl::Time now) { usual_latency_.Expire(now); }

  // Returns the latencies measured since the last call.
  std::vector<LatencySample> TakeLatencySamples();

 private:
  void RecordLatency(LatencySample::Kind kind,
                     const ServerEntry& server,
                     absl::Duration latency);
  // An answer on `flow` of the route with the address `route` has arrived.
  void RecordAnswer(const Endpoint& route, const Flow& flow, absl::Time now);
  // The server has answered a SYN or data.
  void OnProgress(ServerEntry& server, absl::Time now);
  // The caller has acknowledged data of the server in `packet`.
  void OnAcknowledged(const Packet& packet, Flow& flow, absl::Time now);
  // The caller has sent data in `packet`, new or again.
  void OnData(const Packet& packet, Flow& flow, absl::Time now);
  void CountWaiting(const Flow& flow, absl::Time now);

  const Context context_;
  std::vector<Event>* const events_;
  std::vector<LatencySample> latency_samples_;
  UsualLatency usual_latency_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_FLOW_MONITOR_H_
