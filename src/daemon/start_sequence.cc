#include "src/daemon/start_sequence.h"

#include <algorithm>
#include <cerrno>
#include <new>
#include <system_error>
#include <utility>

#include "gcw/base/system_error.h"

namespace gcw::daemon {
namespace {

// Runs `start`. Turns what the standard library throws if memory or threads are
// exhausted into an error.
Status RunStart(const StartSequence::Start& start) {
  try {
    return start();
  } catch (const std::system_error& error) {
    return SystemError(ResultCode::kInternal, "cannot start a thread",
                       error.code().value());
  } catch (const std::bad_alloc&) {
    return SystemError(ResultCode::kInternal, "cannot allocate memory", ENOMEM);
  }
}

}  // namespace

StartSequence::StartSequence(std::uint64_t seed, DelayHandler on_delay)
    : seed_(seed), on_delay_(std::move(on_delay)) {}

void StartSequence::Add(std::string part, std::string needed, Start start) {
  parts_.push_back({std::move(part), std::move(needed), std::move(start),
                    platform::Backoff(kStartBackoff, seed_ + parts_.size())});
}

Status StartSequence::Run(absl::Time now) {
  for (Part& part : parts_) {
    if (part.next_attempt <= now && CanTry(part)) {
      Status tried = Try(part, now);
      if (!tried.ok()) {
        return tried;
      }
    }
  }
  return OkStatus();
}

bool StartSequence::running(std::string_view part) const {
  return std::any_of(parts_.begin(), parts_.end(), [&](const Part& p) {
    return p.name == part && p.running;
  });
}

absl::Time StartSequence::next_attempt() const {
  absl::Time next = absl::InfiniteFuture();
  for (const Part& part : parts_) {
    if (CanTry(part)) {
      next = std::min(next, part.next_attempt);
    }
  }
  return next;
}

bool StartSequence::CanTry(const Part& part) const {
  return !part.running && (part.needed.empty() || running(part.needed));
}

Status StartSequence::Try(Part& part, absl::Time now) {
  part.first_attempt = std::min(part.first_attempt, now);
  ++part.attempts;
  Status started = RunStart(part.start);
  if (started.ok()) {
    part.running = true;
    return started;
  }
  Error error = started.error();
  if (error.field.empty()) {
    error.field = part.name;
  }
  const bool again = error.retry == Retry::kAlways ||
                     (error.retry == Retry::kBriefly &&
                      now - part.first_attempt < kBriefRetryTime);
  if (!again) {
    return error;
  }
  part.next_attempt = now + part.backoff.Next();
  on_delay_(part.name, error, part.attempts);
  return OkStatus();
}

}  // namespace gcw::daemon
