#ifndef GCW_SRC_RELAY_CALL_SCHEDULE_H_
#define GCW_SRC_RELAY_CALL_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <random>

#include "absl/time/time.h"
#include "gcw/base/result_code.h"
#include "gcw/relay/versioned_relay.h"

namespace gcw::relay {

// When to call the platform, and how. At most one call is under way. A call
// without an answer is given up, failures back off with jitter, and the rate at
// the platform's return stays near the steady one because a retry is as slow as
// a waiting watch. Not thread-safe.
class CallSchedule {
 public:
  // `options` and `random` must outlive the object.
  CallSchedule(const Options& options, absl::Time now, std::mt19937_64& random);

  // What the relay wants of the platform at the moment.
  struct Wish {
    bool wanted = false;  // A watcher, or one without any state.
    bool known = false;   // Holds a whole state, so a watch will do.
    Version after = 0;
  };

  // The call to make now, if one is due. Notices calls that stalled.
  std::optional<PlatformCall> Next(const Wish& wish, absl::Time now);

  // The call under way, if `id` is it, which ends it.
  std::optional<PlatformCall> Finish(std::uint64_t id);

  // After Finish: a list or watch was answered.
  void Succeeded(const PlatformCall& call, bool news, absl::Time now);
  // After Finish: it failed.
  void Failed(ResultCode code, absl::Time now);

  // Someone vouches for `revision`: ask soon, even if no watcher.
  void Expect(Version revision, absl::Time now);

  // A peer brought `revision`. A watch under way that should have brought it
  // as well and does not do so soon has stalled.
  void NoteProgress(Version revision, absl::Time now);

  // The next call must list everything.
  void WantList() { list_wanted_ = true; }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t errors() const { return errors_; }
  std::uint64_t stalls() const { return stalls_; }

 private:
  absl::Duration Backoff();

  const Options& options_;
  std::mt19937_64& random_;
  std::optional<PlatformCall> under_way_;
  absl::Time started_ = absl::InfinitePast();
  absl::Time deadline_ = absl::InfinitePast();
  absl::Time next_;
  Version expected_ = 0;
  bool list_wanted_ = false;
  int failures_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t errors_ = 0;
  std::uint64_t stalls_ = 0;
};

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_CALL_SCHEDULE_H_
