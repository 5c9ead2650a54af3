#ifndef GCW_DIRECT_REACHABILITY_H_
#define GCW_DIRECT_REACHABILITY_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"

namespace gcw::direct {

// Judges from unanswered data and from probes whether a backend server can be
// reached. Unanswered data alone only raises a suspicion, since a slow server
// looks the same; a probe decides. Progress of any flow clears everything: the
// server must have received and answered a packet. Pure; not thread-safe.
class Reachability {
 public:
  // A flow of the server advanced.
  void OnProgress(absl::Time now);

  // Data, or a first packet, stays unanswered.
  void OnUnanswered(absl::Time now);
  // Other servers beside it are out of reach.
  void OnZonePeerFailed(absl::Time now);

  // Whether a probe should start now. The caller then makes it.
  bool WantsProbe(absl::Time now) const;
  // How long the next probe may take. The first one is short, to keep new flows
  // away early; the one that gives flows up must outlast a queue on the way.
  absl::Duration probe_timeout() const;
  void OnProbeStarted(absl::Time now);
  void OnProbeResult(ProbeOutcome outcome, absl::Time now);
  // The probe timed out, but so might any other: it proves nothing.
  void OnProbeInconclusive(absl::Time now);
  // Whether the probe under way decides over established flows.
  bool probe_is_decisive() const { return probing_ && failed_probes_ > 0; }
  absl::Time probe_started() const { return probe_started_; }

  Reach reach() const { return reach_; }
  // Whether new flows may go there.
  bool usable() const { return reach_ == Reach::kGood; }
  // Whether established flows are to be given up.
  bool lost() const {
    return reach_ == Reach::kRefuses || reach_ == Reach::kSilent;
  }
  absl::Time since() const { return since_; }
  // When it last showed that packets reach it and come back.
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
