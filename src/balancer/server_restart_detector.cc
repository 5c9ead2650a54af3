#include "src/balancer/server_restart_detector.h"

namespace gcw::balancer {

bool ServerRestartDetector::OnReset(const Endpoint& server,
                                    const Endpoint& caller,
                                    absl::Time now) {
  LastReset& last_reset = last_resets_[server];
  const bool other_caller = last_reset.caller != caller;
  const bool within_gap = now - last_reset.reset_at <= kMaxResetGap;
  last_reset.caller = caller;
  last_reset.reset_at = now;
  if (!other_caller || !within_gap ||
      now - last_reset.reported_at < kMinReportInterval) {
    return false;
  }
  last_reset.reported_at = now;
  return true;
}

}  // namespace gcw::balancer
