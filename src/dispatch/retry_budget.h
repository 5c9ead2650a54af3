#ifndef GCW_DISPATCH_RETRY_BUDGET_H_
#define GCW_DISPATCH_RETRY_BUDGET_H_

#include <algorithm>

namespace gcw::dispatch {

// A token bucket that first attempts fill and extra attempts empty, so that
// extra attempts stay a bounded share whatever the servers do.
// Not thread-safe.
class RetryBudget {
 public:
  // `share`: extra attempts for each first one. `burst`: tokens at most, and
  // at the start.
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), tokens_(burst) {}

  void OnFirstAttempt() { tokens_ = std::min(tokens_ + share_, burst_); }

  // Takes a token for an extra attempt; false if there is none.
  bool TryTake() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_RETRY_BUDGET_H_
