#include "src/balancer/reset_watch.h"

namespace gcw::balancer {

bool ResetWatch::OnReset(const Endpoint& server,
                         const Endpoint& caller,
                         absl::Time now) {
  Last& last = last_[server];
  const bool other_caller = last.caller != caller;
  const bool close = now - last.at <= kWindow;
  last.caller = caller;
  last.at = now;
  if (!other_caller || !close || now - last.reported < kQuiet) {
    return false;
  }
  last.reported = now;
  return true;
}

}  // namespace gcw::balancer
