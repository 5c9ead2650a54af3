#ifndef GCW_DISPATCH_RETRY_BUDGET_H_
#define GCW_DISPATCH_RETRY_BUDGET_H_

#include <algorithm>

namespace gcw::dispatch {

// A token bucket that first attempts fill and retries empty. Retries thereby
// stay a bounded share of all attempts, even if servers shed every attempt. Not
// thread-safe.
class RetryBudget {
 public:
  // `share`: retries allowed per first attempt. `burst`: the maximum and the
  // initial number of tokens.
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), tokens_(burst) {}

  void OnFirstAttempt() { tokens_ = std::min(tokens_ + share_, burst_); }

  // Takes a token for a retry. Returns false if there is none.
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
