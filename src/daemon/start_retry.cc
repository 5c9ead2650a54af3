#include "src/daemon/start_retry.h"

#include <algorithm>
#include <bit>
#include <random>

#include "absl/time/clock.h"
#include "src/daemon/program.h"
#include "src/daemon/start_sequence.h"

namespace gcw::daemon {

StartRetry::StartRetry(const char* program, const sigset_t& signals)
    : program_(program),
      signals_(signals),
      backoff_(kStartBackoff, std::random_device{}()) {}

std::optional<int> StartRetry::OnFailure(const Error& error) {
  first_failure_ = std::min(first_failure_, absl::Now());
  ++attempts_;
  if (!ShouldTryAgain(error)) {
    return PrintError(program_, error);
  }
  // Twice as many attempts between two lines each time.
  if (std::has_single_bit(attempts_)) {
    PrintError(program_, error);
  }
  if (StopArrives(backoff_.Next())) {
    return ExitCode(ResultCode::kOk);
  }
  return std::nullopt;
}

bool StartRetry::ShouldTryAgain(const Error& error) const {
  return error.retry == Retry::kAlways ||
         (error.retry == Retry::kBriefly &&
          absl::Now() - first_failure_ < kBriefRetryTime);
}

bool StartRetry::StopArrives(absl::Duration pause) const {
  const timespec wait = absl::ToTimespec(pause);
  const int signal = sigtimedwait(&signals_, nullptr, &wait);
  return signal == SIGTERM || signal == SIGINT;
}

}  // namespace gcw::daemon
