#ifndef GCW_DAEMON_START_RETRY_H_
#define GCW_DAEMON_START_RETRY_H_

#include <csignal>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/platform/backoff.h"

namespace gcw::daemon {

// Decides what a program does after it could not start: it tries again if the
// error passes by itself, with the pauses of StartSequence. Not thread-safe.
class StartRetry {
 public:
  // `signals` are those of BlockSignals(). `program` must be a literal.
  StartRetry(const char* program, const sigset_t& signals);

  // Prints `error`, less often the longer it lasts. Returns nothing after the
  // pause before the next attempt, or the exit code if the program is to end:
  // 0 at once after SIGTERM or SIGINT, otherwise that of `error`, which needs a
  // person. Blocks.
  std::optional<int> OnFailure(const Error& error);

 private:
  bool ShouldTryAgain(const Error& error) const;
  // Whether a signal to stop arrives within `pause`.
  bool StopArrives(absl::Duration pause) const;

  const char* const program_;
  const sigset_t signals_;
  platform::Backoff backoff_;
  absl::Time first_failure_ = absl::InfiniteFuture();
  std::uint64_t attempts_ = 0;
};

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_START_RETRY_H_
