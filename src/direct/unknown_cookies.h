#ifndef GCW_DIRECT_UNKNOWN_COOKIES_H_
#define GCW_DIRECT_UNKNOWN_COOKIES_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/packet.h"

namespace gcw::direct {

// The cookies in received packets that match no known server. Has no I/O. Not
// thread-safe.
class UnknownCookies {
 public:
  // When a packet with `cookie` was first received; `now` if it is the first.
  absl::Time UnknownSince(FlowCookie cookie, absl::Time now);
  // Forgets the cookies that were first received before `now` - `max_age`.
  void Expire(absl::Duration max_age, absl::Time now);

 private:
  absl::flat_hash_map<FlowCookie, absl::Time> since_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_UNKNOWN_COOKIES_H_
