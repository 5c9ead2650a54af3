#include "src/relay/call_schedule.h"

#include <algorithm>
#include <cmath>

namespace gcw::relay {
namespace {

// A list answers at once; this bounds how long it may take.
constexpr absl::Duration kListTimeout = absl::Seconds(2);
// A watch that holds back a change that is known to exist is stuck.
constexpr absl::Duration kHintPatience = absl::Milliseconds(300);
constexpr absl::Duration kProgressPatience = absl::Milliseconds(700);
// The first stall may be one lost connection, so the next call comes soon.
constexpr absl::Duration kStallRetry = absl::Milliseconds(100);
constexpr int kMaxDoublings = 10;

}  // namespace

CallSchedule::CallSchedule(const Options& options,
                           absl::Time now,
                           std::mt19937_64& random)
    : options_(options), random_(random) {
  // Daemons that start together must not list together.
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  next_ = now + options_.initial_platform_delay * spread(random_);
}

std::optional<PlatformCall> CallSchedule::Next(const Wish& wish,
                                               absl::Time now) {
  if (under_way_ && now >= deadline_) {
    under_way_.reset();
    ++stalls_;
    next_ = now + (failures_ == 0 ? kStallRetry : Backoff());
    ++failures_;
  }
  const bool wanted = wish.wanted || expected_ > wish.after;
  if (under_way_ || !wanted || now < next_) {
    return std::nullopt;
  }
  PlatformCall call;
  call.id = ++last_id_;
  if (list_wanted_ || !wish.known) {
    call.type = CallType::kList;
    call.timeout = kListTimeout;
  } else {
    call.type = CallType::kWatch;
    call.after = wish.after;
    call.wait = failures_ == 0 ? options_.watch_wait
                               : std::min(options_.watch_wait_after_failure,
                                          options_.watch_wait);
    call.timeout = call.wait + options_.call_grace;
  }
  under_way_ = call;
  started_ = now;
  deadline_ = now + call.timeout;
  ++calls_;
  return call;
}

std::optional<PlatformCall> CallSchedule::Finish(std::uint64_t id) {
  if (!under_way_ || under_way_->id != id) {
    return std::nullopt;
  }
  return std::exchange(under_way_, std::nullopt);
}

void CallSchedule::Succeeded(const PlatformCall& call,
                             bool news,
                             absl::Time now) {
  failures_ = 0;
  expected_ = 0;
  if (call.type == CallType::kList) {
    list_wanted_ = false;
    next_ = now;
    return;
  }
  // An empty answer that did not wait must not become a busy loop.
  next_ = news ? now + options_.min_watch_gap
               : std::max(now, started_ + call.wait / 2);
}

void CallSchedule::Failed(ResultCode code, absl::Time now) {
  if (code == ResultCode::kPlatformCompacted) {
    list_wanted_ = true;
    next_ = now + options_.min_watch_gap;
    return;
  }
  ++errors_;
  next_ = now + Backoff();
  ++failures_;
  // The write that a hint spoke of will be found when the platform is back.
  expected_ = 0;
}

void CallSchedule::Expect(Version revision, absl::Time now) {
  expected_ = std::max(expected_, revision);
  if (under_way_) {
    deadline_ = std::min(deadline_, now + kHintPatience);
  } else if (failures_ == 0) {
    next_ = std::min(next_, now + options_.min_watch_gap);
  }
}

void CallSchedule::NoteProgress(Version revision, absl::Time now) {
  if (under_way_ && under_way_->type == CallType::kWatch &&
      under_way_->after < revision) {
    deadline_ = std::min(deadline_, now + kProgressPatience);
  }
}

absl::Duration CallSchedule::Backoff() {
  const double doublings = std::min(failures_, kMaxDoublings);
  const absl::Duration full = std::min(
      options_.backoff_max, options_.backoff_min * std::exp2(doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  return full * jitter(random_);
}

}  // namespace gcw::relay
