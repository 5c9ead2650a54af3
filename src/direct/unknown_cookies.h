#ifndef GCW_DIRECT_UNKNOWN_COOKIES_H_
#define GCW_DIRECT_UNKNOWN_COOKIES_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/packet.h"

namespace gcw::direct {

// The cookies in received packets that match no known server, and the flows
// that they came on. Has no I/O. Not thread-safe.
class UnknownCookies {
 public:
  // When the first packet was received with a cookie and on a flow.
  struct FirstSeen {
    absl::Time cookie;
    absl::Time flow;
  };

  // Records a packet of `flow` with `cookie`.
  FirstSeen OnPacket(FlowCookie cookie, const FlowKey& flow, absl::Time now);
  // Forgets what was first received before `now` - `max_age`.
  void Expire(absl::Duration max_age, absl::Time now);

 private:
  absl::flat_hash_map<FlowCookie, absl::Time> cookies_;
  absl::flat_hash_map<FlowKey, absl::Time> flows_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_UNKNOWN_COOKIES_H_
