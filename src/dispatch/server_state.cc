#include "src/dispatch/server_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw::dispatch {
namespace {

// Pause after a server shed an attempt. Each further shed in a row doubles the
// pause, up to kMaxPauseDoublings times.
constexpr absl::Duration kFirstShedPause = absl::Milliseconds(40);
// Pause of a new home before its first attempt on a server. Meanwhile the other
// daemons learn of the new home.
constexpr absl::Duration kTakeoverPause = absl::Milliseconds(300);
// The same pause for a server that may be cold: most attempts of the former
// home have ended by then, so both together do not overload the server.
constexpr absl::Duration kColdTakeoverPause = absl::Seconds(1);
constexpr std::uint32_t kMaxPauseDoublings = 4;
constexpr std::uint32_t kTimeoutsToEject = 3;
constexpr absl::Duration kEjectionTime = absl::Seconds(2);
// A server that has not answered for this long may have restarted unnoticed. It
// gets one attempt at a time until it answers.
constexpr absl::Duration kIdleThreshold = absl::Seconds(1);
constexpr double kUsageHalfLifeSeconds = 10;

}  // namespace

ServerState::ServerState(config::BackendServer server, absl::Duration warm_up)
    : server_(std::move(server)), warm_up_(warm_up) {}

void ServerState::Configure(const config::BackendServer& server,
                            absl::Time now) {
  const bool recreated = server.creation() != server_.creation() ||
                         server.address != server_.address;
  server_ = server;
  if (recreated) {
    incarnation_ = 0;
    MarkCold(now);
  }
}

void ServerState::OnTakeover(std::uint64_t incarnation,
                             absl::Time cold_until,
                             absl::Time now) {
  allowed_ = 1;
  const bool maybe_cold = incarnation == 0 || cold_until > now;
  paused_until_ = now + (maybe_cold ? kColdTakeoverPause : kTakeoverPause);
  if (incarnation != 0) {
    incarnation_ = incarnation;
  }
  if (incarnation_ == 0) {
    MarkCold(now);
  } else if (cold_until > now) {
    MarkCold(cold_until - warm_up_);
  } else {
    cold_ = false;
  }
}

void ServerState::MarkCold(absl::Time now) {
  allowed_ = 1;
  cold_ = true;
  cold_since_ = now;
}

double ServerState::share(absl::Time now) const {
  if (ejected(now)) {
    return 0;
  }
  if (!cold_) {
    return 1;
  }
  const double slots = std::max<std::uint32_t>(server_.slots, 1);
  const double progress = absl::FDivDuration(now - cold_since_, warm_up_);
  return std::clamp(progress, 1 / (slots + 1), 1.0);
}

absl::Duration ServerState::warm_up_left(absl::Time now) const {
  return cold_ ? std::max(cold_since_ + warm_up_ - now, absl::ZeroDuration())
               : absl::ZeroDuration();
}

void ServerState::RaiseLimit(absl::Time now) {
  const double slots = std::max<std::uint32_t>(server_.slots, 1);
  if (cold_) {
    const double progress = absl::FDivDuration(now - cold_since_, warm_up_);
    const double warm_limit =
        1 + std::floor((slots - 1) * std::min(progress, 1.0));
    allowed_ = std::min(warm_limit, std::floor(allowed_) + 1);
    cold_ = progress < 1;
    return;
  }
  // An answer below the limit does not show that the server can take more.
  if (in_flight_ >= allowed()) {
    allowed_ = std::min(slots, allowed_ + 1);
  }
}

std::uint32_t ServerState::allowed() const {
  const double max_slots = std::max<std::uint32_t>(server_.slots, 1);
  return static_cast<std::uint32_t>(std::clamp(allowed_, 1.0, max_slots));
}

bool ServerState::Available(absl::Time now) const {
  if (!accepts_new_work_ || now < paused_until_ || ejected(now)) {
    return false;
  }
  const bool idle = now - last_answer_ > kIdleThreshold;
  return in_flight_ < (idle ? 1 : allowed());
}

void ServerState::UpdateUsage(absl::Time now) {
  if (usage_updated_ != absl::InfinitePast()) {
    const double seconds = absl::ToDoubleSeconds(now - usage_updated_);
    const double decay = std::exp2(-seconds / kUsageHalfLifeSeconds);
    const double busy = static_cast<double>(in_flight_) /
                        std::max<std::uint32_t>(server_.slots, 1);
    usage_ = usage_ * decay + busy * (1 - decay);
  }
  usage_updated_ = now;
}

void ServerState::OnSent(absl::Time now) {
  UpdateUsage(now);
  ++in_flight_;
}

void ServerState::OnSlotReleased() {
  in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

void ServerState::ReleaseSlotAt(absl::Time at) {
  scheduled_releases_.push_back(at);
}

void ServerState::OnTick(absl::Time now) {
  UpdateUsage(now);
  const auto due =
      std::remove_if(scheduled_releases_.begin(), scheduled_releases_.end(),
                     [&](absl::Time at) { return at <= now; });
  for (auto it = due; it != scheduled_releases_.end(); ++it) {
    OnSlotReleased();
  }
  scheduled_releases_.erase(due, scheduled_releases_.end());
}

ServerState::Change ServerState::UpdateIncarnation(std::uint64_t incarnation,
                                                   absl::Time now) {
  const bool first = incarnation_ == 0;
  if (incarnation == incarnation_) {
    return Change::kNone;
  }
  incarnation_ = incarnation;
  if (first) {
    return Change::kNone;
  }
  MarkCold(now);
  return Change::kRestarted;
}

ServerState::Change ServerState::OnAnswer(const AnswerPart& part,
                                          absl::Time now) {
  if (UpdateIncarnation(part.incarnation, now) == Change::kRestarted) {
    return Change::kRestarted;
  }
  last_answer_ = now;
  consecutive_sheds_ = 0;
  consecutive_timeouts_ = 0;
  const bool was_cold = cold_;
  RaiseLimit(now);
  return was_cold && !cold_ ? Change::kWarmedUp : Change::kNone;
}

ServerState::Change ServerState::OnShed(std::uint64_t incarnation,
                                        absl::Time now) {
  const Change change = UpdateIncarnation(incarnation, now);
  last_answer_ = now;
  consecutive_timeouts_ = 0;
  const std::uint32_t doublings =
      std::min(consecutive_sheds_, kMaxPauseDoublings);
  paused_until_ = now + kFirstShedPause * (1 << doublings);
  ++consecutive_sheds_;
  allowed_ = std::max(1.0, allowed_ - 1);
  return change;
}

ServerState::Change ServerState::OnAttemptTimeout(absl::Time sent) {
  // A server that answered another attempt since then is slow, not failed.
  consecutive_timeouts_ += last_answer_ < sent ? 1 : 0;
  return is_failing() ? Change::kEjected : Change::kNone;
}

bool ServerState::is_failing() const {
  return consecutive_timeouts_ >= kTimeoutsToEject;
}

void ServerState::Eject(absl::Time now) {
  ejected_until_ = now + kEjectionTime;
  MarkCold(now + kEjectionTime);
  // After the ejection, a single timeout ejects the server again.
  consecutive_timeouts_ = kTimeoutsToEject - 1;
}

ServerState::Change ServerState::OnLoadReport(const LoadReport& report,
                                              absl::Time now) {
  // A stale report may name an earlier incarnation. Only a greater incarnation
  // than the known one shows a restart.
  if (incarnation_ == 0 || report.incarnation <= incarnation_) {
    return Change::kNone;
  }
  return UpdateIncarnation(report.incarnation, now);
}

}  // namespace gcw::dispatch
