#include "src/relay/call_schedule.h"

#include <algorithm>
#include <cmath>

namespace gcw::relay {
namespace {

// The platform does not hold list calls, so a list call that takes longer than
// this is given up.
constexpr absl::Duration kListTimeout = absl::Seconds(2);
// An active call is considered stuck, and given up, if it is not answered
// within this time after a hint that the platform holds a newer revision.
constexpr absl::Duration kHintTimeout = absl::Milliseconds(300);
// An active watch is considered stuck, and given up, if it is not answered
// within this time after a peer has delivered a newer revision.
constexpr absl::Duration kPeerProgressTimeout = absl::Milliseconds(700);
// Pause after the first timeout in a row. A single lost connection may have
// caused it, so the next call follows soon.
constexpr absl::Duration kFirstTimeoutRetryDelay = absl::Milliseconds(100);
// A refused answer, for example one with too many entries, may have taken a
// core while it was received and decoded. The pause after it is this many times
// as long as the call, so that the three feeds of a daemon together use at most
// a third of a core.
constexpr int kBadAnswerPauseFactor = 8;
// Longest such pause: the next answer is then known well within the 4 s after
// which the users expect normal service from a store that has recovered.
constexpr absl::Duration kMaxBadAnswerPause = absl::Seconds(3);
// Wait of a call that is to return what the platform has by now.
constexpr absl::Duration kNoWait = absl::Milliseconds(1);
// After this many failures in a row, a required version waits for the regular
// calls of the watchers: otherwise every daemon would repeat such calls while
// the platform serves nobody.
constexpr int kMaxRequiredFailures = 3;
// Bounds the exponent of the backoff.
constexpr int kMaxDoublings = 10;

}  // namespace

CallSchedule::CallSchedule(const Options& options,
                           absl::Time now,
                           std::mt19937_64& random)
    : options_(options), random_(random) {
  // The random delay keeps daemons that start together from listing all objects
  // at the same time.
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  next_call_time_ = now + options_.initial_platform_delay * spread(random_);
}

std::optional<PlatformCall> CallSchedule::NextCall(const CallInputs& inputs,
                                                   absl::Time now) {
  if (active_call_ && now >= call_deadline_) {
    active_call_.reset();
    ++timeouts_;
    next_call_time_ =
        now +
        (consecutive_failures_ == 0 ? kFirstTimeoutRetryDelay : Backoff());
    CountFailure();
  }
  const bool call_needed = inputs.call_needed || inputs.unconfirmed ||
                           expected_revision_ > inputs.after ||
                           required_version_ > inputs.after;
  if (active_call_ || !call_needed || now < next_call_time_) {
    return std::nullopt;
  }
  PlatformCall call;
  call.id = ++last_id_;
  if (list_required_ || !inputs.has_state) {
    call.type = CallType::kList;
    call.timeout = kListTimeout;
  } else {
    call.type = CallType::kWatch;
    call.after = inputs.after;
    call.wait = WatchWait(inputs);
    call.timeout = call.wait + options_.call_grace;
  }
  unconfirmed_ = inputs.unconfirmed && !inputs.call_needed;
  active_call_ = call;
  call_start_ = now;
  call_deadline_ = now + call.timeout;
  ++calls_;
  return call;
}

std::optional<PlatformCall> CallSchedule::FinishCall(std::uint64_t id) {
  if (!active_call_ || active_call_->id != id) {
    return std::nullopt;
  }
  return std::exchange(active_call_, std::nullopt);
}

void CallSchedule::OnSuccess(const PlatformCall& call,
                             bool has_events,
                             absl::Time now) {
  consecutive_failures_ = 0;
  expected_revision_ = 0;
  if (call.type == CallType::kList) {
    list_required_ = false;
    next_call_time_ = now;
    return;
  }
  // If the platform answers watches without events before their wait has ended,
  // the minimum interval of half the wait prevents a busy loop.
  next_call_time_ = has_events ? now + options_.min_watch_gap
                               : std::max(now, call_start_ + call.wait / 2);
  if (call.wait == kNoWait) {
    // It was made for the required version, so the state now includes that.
    required_version_ = 0;
  }
}

void CallSchedule::OnFailure(ResultCode code, absl::Time now) {
  if (code == ResultCode::kPlatformCompacted) {
    list_required_ = true;
    next_call_time_ = now + options_.min_watch_gap;
    return;
  }
  ++errors_;
  absl::Duration pause = Backoff();
  if (code == ResultCode::kPlatformBadAnswer) {
    pause =
        std::max(pause, std::min(kBadAnswerPauseFactor * (now - call_start_),
                                 kMaxBadAnswerPause));
  }
  next_call_time_ = now + pause;
  CountFailure();
  // The hint is dropped: the regular watch calls report the expected revision
  // once the platform has recovered.
  expected_revision_ = 0;
}

void CallSchedule::CountFailure() {
  ++consecutive_failures_;
  if (consecutive_failures_ >= kMaxRequiredFailures) {
    required_version_ = 0;
  }
}

void CallSchedule::ExpectRevision(Version revision, absl::Time now) {
  expected_revision_ = std::max(expected_revision_, revision);
  if (active_call_) {
    call_deadline_ = std::min(call_deadline_, now + kHintTimeout);
  } else if (consecutive_failures_ == 0) {
    next_call_time_ = std::min(next_call_time_, now + options_.min_watch_gap);
  }
}

void CallSchedule::RequireVersion(Version version, absl::Time now) {
  required_version_ = std::max(required_version_, version);
  if (consecutive_failures_ > 0) {
    return;  // The next call follows soon, and this one must not be hurried.
  }
  if (active_call_ && active_call_->type == CallType::kWatch) {
    superseded_id_ = active_call_->id;
    active_call_.reset();
  }
  next_call_time_ = std::min(next_call_time_, now);
}

void CallSchedule::OnPeerProgress(Version revision, absl::Time now) {
  if (active_call_ && active_call_->type == CallType::kWatch &&
      active_call_->after < revision) {
    call_deadline_ = std::min(call_deadline_, now + kPeerProgressTimeout);
  }
}

// A call that is to confirm the state is answered soon, also without a change.
absl::Duration CallSchedule::WatchWait(const CallInputs& inputs) const {
  if (required_version_ > inputs.after) {
    return kNoWait;
  }
  const bool short_wait =
      consecutive_failures_ > 0 || (inputs.unconfirmed && !inputs.call_needed);
  return short_wait
             ? std::min(options_.watch_wait_after_failure, options_.watch_wait)
             : options_.watch_wait;
}

absl::Duration CallSchedule::Backoff() {
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  // While the platform serves nobody, all daemons become unconfirmed, many more
  // than there are watchers. After a second attempt they call seldom: a watcher
  // notices the end of the outage.
  if (unconfirmed_ && consecutive_failures_ > 0) {
    return std::max(options_.max_state_age, options_.backoff_max) *
           jitter(random_);
  }
  const double doublings = std::min(consecutive_failures_, kMaxDoublings);
  const absl::Duration full = std::min(
      options_.backoff_max, options_.backoff_min * std::exp2(doublings));
  return full * jitter(random_);
}

}  // namespace gcw::relay
