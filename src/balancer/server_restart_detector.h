#ifndef GCW_BALANCER_SERVER_RESTART_DETECTOR_H_
#define GCW_BALANCER_SERVER_RESTART_DETECTOR_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::balancer {

// Detects that a backend server has restarted: such a server no longer knows
// its established flows and answers their packets with RST. Resets to different
// callers within a short time count as a restart. Has no I/O; not thread-safe.
class ServerRestartDetector {
 public:
  // Records an RST from `server` to `caller`. Returns whether it shows that the
  // server has restarted, at most once per kMinReportInterval and server.
  bool OnReset(const Endpoint& server, const Endpoint& caller, absl::Time now);

  // Longest time between two TCP resets (RST) from one server that count as
  // signs of the same restart of this server.
  static constexpr absl::Duration kMaxResetGap = absl::Seconds(1);
  // Shortest time between two reports of a restart of the same server.
  static constexpr absl::Duration kMinReportInterval = absl::Seconds(5);

 private:
  struct LastReset {
    Endpoint caller;
    absl::Time reset_at = absl::InfinitePast();
    absl::Time reported_at = absl::InfinitePast();
  };

  absl::flat_hash_map<Endpoint, LastReset> last_resets_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_SERVER_RESTART_DETECTOR_H_
