#ifndef GCW_SOAK_INVARIANT_CHECKER_H_
#define GCW_SOAK_INVARIANT_CHECKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/soak/deployment.h"
#include "src/soak/invariants.h"
#include "src/soak/load_watch.h"

namespace gcw::soak {

// Component names of a daemon and a backend server in Impairments.
std::string DaemonName(std::size_t daemon);
std::string ServerName(std::size_t server);

// Counts violations of the invariants during a run, from what callers and
// servers observe. Not thread-safe; used on the deployment's thread.
class InvariantChecker : public DeploymentObserver {
 public:
  // `length` is the duration of the run without the load phase, whose requests
  // count only as those of busy zones. `impairments` must outlive the
  // checker.
  InvariantChecker(absl::Duration length, const Impairments& impairments)
      : length_(length), impairments_(impairments) {}

  // Marks the start of the run. Call it before the deployment reports events;
  // `deployment` must outlive the last event.
  void Start(Deployment& deployment);

  // Measures the load of the servers. Call it every LoadWatch::kInterval.
  void MeasureLoad();

  const InvariantCounts& counts() const { return counts_; }
  // The first violations with their time in the run, one line each.
  const std::vector<std::string>& findings() const { return findings_; }

  // DeploymentObserver:
  void OnRequest(absl::Time started) override;
  void OnFinished(const direct::FlowKey& flow,
                  absl::Time started,
                  bool answered) override;
  void OnRefused(const direct::FlowKey& flow) override;
  void OnWrongAnswer() override;
  void OnDaemonReset(const direct::FlowKey& flow) override;
  void OnFlowOpen(std::size_t server,
                  std::size_t daemon,
                  const direct::FlowKey& flow) override;
  void OnChangedBytes(const std::string& where) override;
  void OnRequestExecuted(std::size_t server,
                         const std::string& request) override;

 private:
  void AddFinding(std::string finding);
  // Whether a request that starts at `started` counts for the fault-free end of
  // the run: the daemons have recovered from the last fault, and the caller has
  // at least 1 s left for the answer.
  bool IsInFaultFreeEnd(absl::Time started) const;
  // Whether the daemon is expected to know the present state of the store:
  // neither of them was impaired within the last kSettleTime, and the run is
  // older than that.
  bool IsInSync(std::size_t daemon) const;
  // Counts a flow that `daemon` opened on `server` against the bound of cold
  // servers, which holds whatever else is wrong.
  void CheckColdFlows(std::size_t server, std::size_t daemon);
  // Whether nothing that the server's flows depend on was impaired within the
  // last kSettleTime: the server, the links to servers, the daemons as a whole
  // ("fleet": pauses and partitions) and the links between zones.
  bool IsUnimpaired(std::size_t server) const;

  const absl::Duration length_;
  const Impairments& impairments_;
  Deployment* deployment_ = nullptr;
  absl::Time start_;
  std::map<std::string, std::size_t> server_by_request_;  // Where requests ran.
  // When cold servers got flows within the last second, by server.
  std::map<std::size_t, std::deque<absl::Time>> cold_flows_;
  LoadWatch load_;
  InvariantCounts counts_;
  std::vector<std::string> findings_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_INVARIANT_CHECKER_H_
