#include "gcw/platform/backoff.h"

#include <algorithm>
#include <cassert>

namespace gcw::platform {

Backoff::Backoff(const BackoffOptions& options, std::uint64_t seed)
    : options_(options), bound_(options.initial_pause), random_(seed) {
  assert(options.initial_pause > absl::ZeroDuration());
  assert(options.initial_pause <= options.max_pause);
}

absl::Duration Backoff::Next() {
  std::uniform_real_distribution<double> fraction(0.5, 1.0);
  const absl::Duration pause = bound_ * fraction(random_);
  bound_ = std::min(bound_ * 2, options_.max_pause);
  return pause;
}

void Backoff::Reset() {
  bound_ = options_.initial_pause;
}

}  // namespace gcw::platform
