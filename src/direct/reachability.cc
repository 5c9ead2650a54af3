#include "src/direct/reachability.h"

namespace gcw::direct {
namespace {

// A server that has answered a SYN or data on any flow within this time is not
// suspected to be unreachable.
constexpr absl::Duration kRecentProgress = absl::Milliseconds(150);
// A server that accepted a probe is slow rather than lost. Unanswered data
// raises no new suspicion against the server for this time.
constexpr absl::Duration kSuspicionHoldOff = absl::Seconds(1);
// Consecutive failed probes after which a server counts as silent, so that its
// established flows may be reset.
constexpr std::uint32_t kProbesUntilSilent = 2;
// Timeout of the first probe. About fifty round trips between availability
// zones, or two between regions.
constexpr absl::Duration kFirstProbeTimeout = absl::Milliseconds(100);
// Timeout of a probe after which the server's flows may be reset. It leaves
// time to notice packet loss on other flows. A queue on the daemon's own link
// is ruled out by a control probe of another server
// (ServerFailureDetector::StartControlProbe()).
constexpr absl::Duration kDecisiveProbeTimeout = absl::Milliseconds(200);
// Interval between the starts of two probes of a server that refuses
// connections or does not answer probes.
constexpr absl::Duration kLostServerProbeInterval = absl::Milliseconds(500);

}  // namespace

void Reachability::SetReach(Reach reach, absl::Time now) {
  if (reach_ != reach) {
    reach_ = reach;
    since_ = now;
  }
}

void Reachability::OnProgress(absl::Time now) {
  last_progress_ = now;
  failed_probes_ = 0;
  SetReach(Reach::kGood, now);
}

void Reachability::OnUnanswered(absl::Time now) {
  const bool recently_alive = now - last_progress_ < kRecentProgress ||
                              now - last_accepted_ < kSuspicionHoldOff;
  if (reach_ == Reach::kGood && !recently_alive) {
    SetReach(Reach::kSuspect, now);
  }
}

void Reachability::OnGone(absl::Time now) {
  if (reach_ == Reach::kGood) {
    SetReach(Reach::kSuspect, now);
  }
}

void Reachability::OnZonePeerFailed(absl::Time now) {
  if (reach_ == Reach::kGood && now - last_contact() >= kRecentProgress) {
    SetReach(Reach::kSuspect, now);
  }
}

bool Reachability::WantsProbe(absl::Time now) const {
  if (probing_ || reach_ == Reach::kGood) {
    return false;
  }
  return reach_ == Reach::kSuspect ||
         now - probe_started_ >= kLostServerProbeInterval;
}

absl::Duration Reachability::probe_timeout() const {
  return failed_probes_ == 0 ? kFirstProbeTimeout : kDecisiveProbeTimeout;
}

void Reachability::OnProbeStarted(absl::Time now) {
  probing_ = true;
  probe_started_ = now;
}

void Reachability::OnProbeInconclusive(absl::Time /*now*/) {
  probing_ = false;
}

void Reachability::OnProbeResult(ProbeOutcome outcome, absl::Time now) {
  probing_ = false;
  if (outcome == ProbeOutcome::kAccepted) {
    last_accepted_ = now;
    failed_probes_ = 0;
    SetReach(Reach::kGood, now);
    return;
  }
  if (last_progress_ >= probe_started_) {
    // The server made progress on a flow after the probe started, which proves
    // that the server is reachable.
    return;
  }
  ++failed_probes_;
  if (outcome == ProbeOutcome::kRefused) {
    last_refused_ = now;
    SetReach(Reach::kRefuses, now);
  } else if (failed_probes_ >= kProbesUntilSilent) {
    SetReach(Reach::kSilent, now);
  }
}

}  // namespace gcw::direct
