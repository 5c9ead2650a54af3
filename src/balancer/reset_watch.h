#ifndef GCW_BALANCER_RESET_WATCH_H_
#define GCW_BALANCER_RESET_WATCH_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::balancer {

// Notices that a backend server answers established flows of several callers
// with RST within a short time, which a server does that has restarted and
// knows none of them. Pure; not thread-safe.
class ResetWatch {
 public:
  // Notes a RST of `server` to `caller`. Whether this shows a restart; says so
  // at most once in kQuiet for one server.
  bool OnReset(const Endpoint& server, const Endpoint& caller, absl::Time now);

  // Resets this close together belong to one restart.
  static constexpr absl::Duration kWindow = absl::Seconds(1);
  static constexpr absl::Duration kQuiet = absl::Seconds(5);

 private:
  struct Last {
    Endpoint caller;
    absl::Time at = absl::InfinitePast();
    absl::Time reported = absl::InfinitePast();
  };

  absl::flat_hash_map<Endpoint, Last> last_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_RESET_WATCH_H_
