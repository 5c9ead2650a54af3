#ifndef GCW_KERNEL_PAUSE_GUARD_H_
#define GCW_KERNEL_PAUSE_GUARD_H_

#include "absl/time/time.h"

namespace gcw::kernel {

// Detects that this process did not run for a while, for example because its VM
// was suspended. Packets that then wait in its sockets may be as old as the
// pause: the caller may have resent the first packet of a flow since, and
// another daemon may have placed that flow. Such first packets are better
// dropped; a caller that still waits resends its packet. Reads no clock itself;
// not thread-safe.
class PauseGuard {
 public:
  // A task that ticks every 50 ms was paused if it was inactive for longer than
  // this.
  static constexpr absl::Duration kPause = absl::Milliseconds(500);
  // How long after a pause packets count as stale. By then the task has read
  // everything that arrived in its sockets during the pause.
  static constexpr absl::Duration kStaleDuration = absl::Milliseconds(300);

  // Records that the task runs at `now`. Must be called before each batch of
  // packets is read and on each tick.
  void OnActivity(absl::Time now) {
    if (now - last_activity_ > kPause) {
      stale_until_ = now + kStaleDuration;
    }
    last_activity_ = now;
  }

  // Whether packets that are read at `now` may have arrived before or during a
  // pause.
  bool stale(absl::Time now) const { return now < stale_until_; }

 private:
  absl::Time last_activity_ = absl::InfiniteFuture();
  absl::Time stale_until_ = absl::InfinitePast();
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_PAUSE_GUARD_H_
