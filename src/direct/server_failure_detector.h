#ifndef GCW_DIRECT_SERVER_FAILURE_DETECTOR_H_
#define GCW_DIRECT_SERVER_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Finds servers that are lost, tells that apart from trouble of this daemon's
// own, and knows how much of the demand can be served. Answers the load of
// servers that go dark and of zones that are cut: suspicions come from packets,
// probes decide. Pure; not thread-safe.
class ServerFailureDetector {
 public:
  // All must outlive the watch. `zone` is the daemon's own.
  ServerFailureDetector(std::string zone,
                        const ServerTable& servers,
                        const std::set<std::string, std::less<>>& zones_out,
                        std::vector<Event>* events);

  // A flow of the server advanced.
  void OnProgress(ServerEntry& server, absl::Time now);
  // Something sent to the server stays unanswered.
  void Suspect(ServerEntry& server, absl::Time now);
  // The same, unless it has answered anybody since `since`.
  void SuspectIfSilentSince(ServerEntry& server,
                            absl::Time since,
                            absl::Time now);
  // Starts the probes that are due.
  void OnTick(absl::Time now);

  std::vector<ProbeRequest> TakeProbes();
  // The outcome of a probe of `server`; whether its flows are to be given up
  // now.
  bool OnProbeOutcome(ServerEntry& server,
                      ProbeOutcome outcome,
                      absl::Time now);
  // The cookie of the server that the probe is about, 0 for none; forgets it.
  // The outcome of a control probe is taken note of here.
  FlowCookie ResolveProbe(std::uint32_t id,
                          ProbeOutcome outcome,
                          absl::Time now);

  // Whether flows of `server` have no hope. A daemon that has lost most servers
  // of its own zone too, or hears from none, is cut off or overloaded itself:
  // then other daemons may still reach the server, and its flows are left to
  // them.
  bool ShouldResetFlows(const ServerEntry& server, absl::Time now) const;

  // A new flow or a request of `service`.
  void CountDemand(std::string_view service);
  // Demand is halved; to be called each second, so that it tells of the last
  // few.
  void DecayDemand();

  // Which servers count as out of reach.
  enum class LossCriterion { kConfirmed, kAnyFailedProbe };
  // Whether servers within reach serve at least half of what was asked for
  // lately.
  bool ServesMostDemand(LossCriterion criterion) const;

 private:
  void StartProbeIfDue(ServerEntry& server, absl::Time now);
  // A probe into the zone of `failed` failed: its neighbours may be cut off
  // with it, and those that hold flows are worth a probe of their own.
  void SuspectZonePeers(const ServerEntry& failed, absl::Time now);
  // A deciding probe counts only if a server known to be good answers another
  // one quickly at the same time: a queue on this daemon's own link would hold
  // up both.
  void StartControlProbe(const ServerEntry& suspect, absl::Time now);
  bool IsDaemonImpaired(absl::Time now) const;
  void ReportReachChange(const ServerEntry& server,
                         Reach before,
                         absl::Time now);

  const std::string zone_;
  const ServerTable& servers_;
  const std::set<std::string, std::less<>>& zones_out_;
  std::vector<Event>* const events_;
  std::vector<ProbeRequest> probes_;
  absl::flat_hash_map<std::uint32_t, FlowCookie> probe_targets_;
  std::uint32_t last_probe_id_ = 0;
  std::uint32_t control_probe_id_ = 0;  // Under way; 0: none.
  absl::Time control_probe_started_ = absl::InfinitePast();
  absl::Time link_verified_at_ = absl::InfinitePast();
  // New flows and requests lately, by service.
  std::map<std::string, double, std::less<>> demand_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_LOSS_WATCH_H_
