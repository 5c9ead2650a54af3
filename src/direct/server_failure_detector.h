#ifndef GCW_DIRECT_SERVER_FAILURE_DETECTOR_H_
#define GCW_DIRECT_SERVER_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Detects backend servers that stopped responding and availability zones that
// are cut off, and tells them apart from problems of this daemon itself.
// Unanswered packets of flows raise a suspicion that a server is unreachable,
// and probes (connection attempts) confirm it. Also tracks how much of the
// recent demand is for services with reachable servers. Has no I/O. Not
// thread-safe.
class ServerFailureDetector {
 public:
  // `zone` is the daemon's own zone. The other arguments must outlive the
  // detector.
  ServerFailureDetector(std::string zone,
                        const ServerTable& servers,
                        const std::set<std::string, std::less<>>& zones_out,
                        std::vector<Event>* events);

  // The server made progress on a flow: it has received and answered data.
  void OnProgress(ServerEntry& server, absl::Time now);
  // Data or a SYN sent to the server is unanswered.
  void Suspect(ServerEntry& server, absl::Time now);
  // Calls Suspect() if the server counts as reachable and has answered nothing
  // on any flow since `since`.
  void SuspectIfSilentSince(ServerEntry& server,
                            absl::Time since,
                            absl::Time now);
  // Starts probes of the servers that are suspected or known to be unreachable,
  // if the time for their next probe has come. Call this about every 50 ms.
  void OnTick(absl::Time now);

  // Returns the probes to start since the last call.
  std::vector<ProbeRequest> TakeProbes();
  // Processes the outcome of a probe of `server`, after ResolveProbe(). Returns
  // whether the server's flows should be reset now.
  bool OnProbeOutcome(ServerEntry& server,
                      ProbeOutcome outcome,
                      absl::Time now);
  // Removes the probe `id` and returns the key of the probed incarnation.
  // Returns 0 if `id` is unknown, or belongs to a control probe (see
  // StartControlProbe()), whose outcome is processed here.
  IncarnationKey ResolveProbe(std::uint32_t id,
                              ProbeOutcome outcome,
                              absl::Time now);

  // Whether the established flows of `server` should be reset: the server is
  // unreachable, and this daemon is neither cut off nor overloaded. If the
  // daemon is cut off or overloaded, other daemons may still reach the server,
  // and the flows are left to them.
  bool ShouldResetFlows(const ServerEntry& server, absl::Time now) const;

  // Counts a new flow or a request of `service` as demand.
  void CountDemand(std::string_view service);
  // Halves the demand (counts of new flows and requests by service). Call this
  // every second, so that the demand covers the last few seconds.
  void DecayDemand();

  // Whether services with at least one reachable server make up at least half
  // of the demand (recent new flows and requests). A server whose last probe
  // failed does not count as reachable.
  bool ServesMostDemand() const;

 private:
  // Suspects a server that is gone from the store but has open flows, unless it
  // has responded since: a probe then decides whether it has ended.
  void SuspectIfGone(ServerEntry& server, absl::Time now);
  // Starts a probe if the server wants one now. Returns whether it did.
  bool StartProbeIfDue(ServerEntry& server, absl::Time now);
  void StartProbe(ServerEntry& server, absl::Time now);
  // Suspects and probes the other servers in the zone of `failed` that have
  // open flows: after a probe of `failed` timed out, the whole zone may be cut
  // off.
  void SuspectZonePeers(const ServerEntry& failed, absl::Time now);
  // Suspects and probes a few servers without open flows in the zone of
  // `failed`, after a probe of `failed` timed out. Each of them that times out
  // too leads to more, until all servers of a zone that is cut off are known,
  // although this daemon has sent nothing to most of them. Leaves out servers
  // to which this daemon would send no new flows, because its own zone serves:
  // otherwise the number of probes in the fleet would be the product of daemons
  // and servers.
  void SuspectIdlePeers(const ServerEntry& failed, absl::Time now);
  // Probes a few lost servers in the zone of `recovered` at once, after a lost
  // server answered again.
  void ProbeLostPeers(const ServerEntry& recovered, absl::Time now);
  // Whether a server of `service` in this daemon's own zone can take new flows.
  bool OwnZoneServes(std::string_view service) const;
  // Calls `probe` for servers in the zone of `server` that have no open flows
  // and are `eligible`, until it has returned true kIdlePeerProbes times.
  // Starts after the server where the last call ended.
  void ForIdlePeers(const ServerEntry& server,
                    absl::FunctionRef<bool(const ServerEntry&)> eligible,
                    absl::FunctionRef<bool(ServerEntry&)> probe);
  // Starts a control probe of a reachable server other than `suspect`. If a
  // probe of `suspect` times out whose timeout would reset flows, the timeout
  // counts only if the control probe is answered quickly at the same time,
  // because a queue on this daemon's own link would delay both.
  void StartControlProbe(const ServerEntry& suspect, absl::Time now);
  // The server whose answer tells most about this daemon's own link: one that
  // responded recently, else one of the daemon's own zone, whose path is the
  // shortest. Null if no server but `suspect` counts as reachable.
  const ServerEntry* ChooseControlServer(const ServerEntry& suspect,
                                         absl::Time now) const;
  // Whether this daemon itself is probably cut off or overloaded: it has heard
  // from no server recently, or probes of most servers in its own zone failed.
  bool IsDaemonImpaired(absl::Time now) const;
  // Adds a ServerReachChanged event if the reachability of `server` is no
  // longer `before`.
  void ReportReachChange(const ServerEntry& server,
                         Reach before,
                         absl::Time now);

  const std::string zone_;
  const ServerTable& servers_;
  const std::set<std::string, std::less<>>& zones_out_;
  std::vector<Event>* const events_;
  std::vector<ProbeRequest> probes_;
  // Keys of the probed incarnations, by probe id.
  absl::flat_hash_map<std::uint32_t, IncarnationKey> probe_targets_;
  std::uint32_t last_probe_id_ = 0;
  std::uint32_t control_probe_id_ = 0;  // 0 if no control probe is running.
  absl::Time control_probe_started_ = absl::InfinitePast();
  // Start of the last control probe that was answered within
  // kControlProbeTimeout. At that time packets did not queue on this daemon's
  // own link.
  absl::Time link_verified_at_ = absl::InfinitePast();
  // Where the next OnTick() and ForIdlePeers() continue in the list of servers,
  // so that each server has its turn.
  std::size_t tick_cursor_ = 0;
  std::size_t peer_cursor_ = 0;
  // Recent new flows and requests by service, with exponential decay.
  std::map<std::string, double, std::less<>> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_FAILURE_DETECTOR_H_
