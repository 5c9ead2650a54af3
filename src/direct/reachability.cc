#include "src/direct/reachability.h"

namespace gcw::direct {
namespace {

// A server that advanced a flow this lately is not suspected for another one.
constexpr absl::Duration kRecentProgress = absl::Milliseconds(150);
// A server that accepted a probe is slow, not gone; it is asked again after
// this time at the earliest.
constexpr absl::Duration kSuspicionHoldOff = absl::Seconds(1);
// Probes in a row that must time out before established flows are given up.
constexpr std::uint32_t kProbesUntilSilent = 2;
// About fifty round trips between availability zones, two between regions.
constexpr absl::Duration kFirstProbeTimeout = absl::Milliseconds(100);
// Long enough for a lost packet beside it to show; the control probe tells a
// queue on the own link apart.
constexpr absl::Duration kDecisiveProbeTimeout = absl::Milliseconds(200);
// Between two probes of a server that is known to be lost.
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
    return;  // A flow advanced meanwhile, which proves more.
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
