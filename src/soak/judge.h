#ifndef GCW_SOAK_JUDGE_H_
#define GCW_SOAK_JUDGE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/soak/deployment.h"
#include "src/soak/promises.h"

namespace gcw::soak {

// The names under which faults are noted in Impairments.
std::string DaemonName(std::size_t daemon);
std::string ServerName(std::size_t server);

// Checks the promises while a run goes on, from what callers and servers see.
// Belongs to the deployment's thread.
class Judge : public DeploymentObserver {
 public:
  // `impaired` must outlive the judge.
  Judge(absl::Duration length, const Impairments& impaired)
      : length_(length), impaired_(impaired) {}

  // The run begins now. `deployment` must outlive its events.
  void Begin(Deployment& deployment);

  const PromiseCounts& counts() const { return counts_; }
  // The first broken promises, in a line each.
  const std::vector<std::string>& findings() const { return findings_; }

  // DeploymentObserver:
  void OnRequest(absl::Time started) override;
  void OnAnswered(absl::Time started) override;
  void OnWrongAnswer() override;
  void OnSystemReset(const direct::FlowKey& flow) override;
  void OnOpening(std::size_t server,
                 std::size_t daemon,
                 const direct::FlowKey& flow) override;
  void OnChangedBytes(const std::string& where) override;
  void OnRan(std::size_t server, const std::string& request) override;

 private:
  void Note(std::string finding);
  // Whether a request began after the last fault and ends within the run.
  bool InCalmEnd(absl::Time when) const;
  // Whether a daemon can know what the store holds.
  bool InTouch(std::size_t daemon) const;
  // Whether nothing that a flow of the server depends on was impaired lately.
  bool IsWhole(std::size_t server) const;

  const absl::Duration length_;
  const Impairments& impaired_;
  Deployment* deployment_ = nullptr;
  absl::Time start_;
  std::map<std::string, std::size_t> ran_on_;
  PromiseCounts counts_;
  std::vector<std::string> findings_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_JUDGE_H_
