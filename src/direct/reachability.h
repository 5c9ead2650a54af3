#ifndef GCW_DIRECT_REACHABILITY_H_
#define GCW_DIRECT_REACHABILITY_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"

namespace gcw::direct {

// Determines whether a backend server is reachable, from unanswered data and
// from probes (connection attempts). Unanswered data alone only raises a
// suspicion, since a slow server looks the same; probes decide. Progress on any
// flow (an answer that a caller acknowledged) makes the server reachable again,
// because the server must have received and answered a packet. Has no I/O. Not
// thread-safe.
class Reachability {
 public:
  // The server answered a SYN or data on a flow.
  void OnProgress(absl::Time now);

  // Data or a SYN that was sent to the server is unanswered.
  void OnUnanswered(absl::Time now);
  // The store has no entry of the server any more.
  void OnGone(absl::Time now);
  // A probe of another server in the same zone timed out.
  void OnZonePeerFailed(absl::Time now);

  // Whether a probe of the server should start now. The owner of this object
  // then starts the probe and calls OnProbeStarted().
  bool WantsProbe(absl::Time now) const;
  // Timeout of the next probe. The first probe has a short one, so that a
  // failure is found early. A probe after which the server's flows may be reset
  // has a longer timeout, to outlast queues on the network path.
  absl::Duration probe_timeout() const;
  void OnProbeStarted(absl::Time now);
  void OnProbeResult(ProbeOutcome outcome, absl::Time now);
  // The probe timed out, but says nothing about the server, because a control
  // probe of a reachable server was not answered in time either.
  void OnProbeInconclusive(absl::Time now);
  // Whether the server counts as silent, so that its established flows may be
  // reset, if the running probe times out.
  bool probe_is_decisive() const { return probing_ && failed_probes_ > 0; }
  bool probing() const { return probing_; }
  absl::Time probe_started() const { return probe_started_; }

  Reach reach() const { return reach_; }
  // Whether new flows may go to the server.
  bool usable() const { return reach_ == Reach::kGood; }
  // Whether established flows of the server may be reset.
  bool lost() const {
    return reach_ == Reach::kRefuses || reach_ == Reach::kSilent;
  }
  // When reach() last changed.
  absl::Time since() const { return since_; }
  // When the server last responded, by progress on a flow or to a probe.
  absl::Time last_contact() const {
    return std::max({last_progress_, last_accepted_, last_refused_});
  }
  absl::Time last_progress() const { return last_progress_; }
  std::uint32_t failed_probes() const { return failed_probes_; }

 private:
  void SetReach(Reach reach, absl::Time now);

  Reach reach_ = Reach::kGood;
  absl::Time since_ = absl::InfinitePast();
  absl::Time last_progress_ = absl::InfinitePast();
  absl::Time last_accepted_ = absl::InfinitePast();
  absl::Time last_refused_ = absl::InfinitePast();
  absl::Time probe_started_ = absl::InfinitePast();
  bool probing_ = false;
  std::uint32_t failed_probes_ = 0;  // In a row.
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_REACHABILITY_H_
