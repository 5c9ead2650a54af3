#include "gcw/platform/backoff.h"

#include <algorithm>
#include <cassert>

namespace gcw::platform {

Backoff::Backoff(const BackoffOptions& options, std::uint64_t seed)
    : options_(options), bound_(options.first), random_(seed) {
  assert(options.first > absl::ZeroDuration());
  assert(options.first <= options.longest);
}

absl::Duration Backoff::Next() {
  std::uniform_real_distribution<double> share(0.5, 1.0);
  const absl::Duration pause = bound_ * share(random_);
  bound_ = std::min(bound_ * 2, options_.longest);
  return pause;
}

void Backoff::Reset() {
  bound_ = options_.first;
}

}  // namespace gcw::platform
