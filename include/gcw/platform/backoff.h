#ifndef GCW_PLATFORM_BACKOFF_H_
#define GCW_PLATFORM_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace gcw::platform {

// Bounds of the pause before a call is tried again.
struct BackoffOptions {
  absl::Duration initial_pause = absl::Milliseconds(50);
  absl::Duration max_pause = absl::Seconds(5);
};

// Exponential backoff with jitter: each pause is drawn evenly from half of a
// bound to all of it, and the bound doubles. Callers that failed at the same
// moment so come back spread out. Pure; not thread-safe.
class Backoff {
 public:
  // Precondition: 0 < first <= longest.
  Backoff(const BackoffOptions& options, std::uint64_t seed);

  // The pause before the next try.
  absl::Duration Next();
  // The call succeeded: the next pause is a short one again.
  void Reset();

 private:
  BackoffOptions options_;
  absl::Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_BACKOFF_H_
