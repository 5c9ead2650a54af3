#ifndef GCW_PLATFORM_BACKOFF_H_
#define GCW_PLATFORM_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace gcw::platform {

// Upper bounds of the pauses between attempts of a call. The bound starts at
// `initial_pause` and doubles with each failure up to `max_pause`.
struct BackoffOptions {
  absl::Duration initial_pause = absl::Milliseconds(50);
  absl::Duration max_pause = absl::Seconds(5);
};

// Exponential backoff with jitter. Each pause is drawn uniformly from half of
// the current bound to the whole bound, so that callers that failed at the same
// time do not retry at the same time. Does no I/O and does not sleep. Not
// thread-safe.
class Backoff {
 public:
  // Precondition: 0 < initial_pause <= max_pause.
  Backoff(const BackoffOptions& options, std::uint64_t seed);

  // Returns the pause before the next attempt and doubles the bound.
  absl::Duration Next();
  // Sets the bound back to the initial pause. To be called after a success.
  void Reset();

 private:
  BackoffOptions options_;
  absl::Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_BACKOFF_H_
