#ifndef GCW_SRC_RELAY_CALL_SCHEDULE_H_
#define GCW_SRC_RELAY_CALL_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <random>

#include "absl/time/time.h"
#include "gcw/base/result_code.h"
#include "gcw/relay/versioned_relay.h"

namespace gcw::relay {

// Decides when to make which call to the platform. At most one call is active
// at a time; a call that is not answered in time is given up. Failures are
// followed by an exponential backoff with jitter, and an answer that took long
// and was refused by a longer pause. Retries are about as far apart as watch
// calls without events, so the call rate stays near its normal level when the
// platform recovers. Not thread-safe.
class CallSchedule {
 public:
  // `options` and `random` must outlive the object.
  CallSchedule(const Options& options, absl::Time now, std::mt19937_64& random);

  // The state of the relay from which the next call follows.
  struct CallInputs {
    bool call_needed = false;  // The daemon is a watcher or has no state yet.
    // The daemon is no watcher, but its state was not confirmed for too long.
    bool unconfirmed = false;
    bool has_state = false;  // If false, the next call lists all objects.
    Version after = 0;       // All changes up to this version are known.
  };

  // Returns the call to make now, if one is due. Gives up the active call if
  // it has timed out.
  std::optional<PlatformCall> NextCall(const CallInputs& inputs,
                                       absl::Time now);

  // Ends the active call and returns it, if its id is `id`. Otherwise returns
  // nothing.
  std::optional<PlatformCall> FinishCall(std::uint64_t id);

  // Records that `call`, which FinishCall has returned, was answered.
  // `has_events` tells whether the answer contained changes.
  void OnSuccess(const PlatformCall& call, bool has_events, absl::Time now);
  // Records that the call which FinishCall has returned failed with `code`.
  void OnFailure(ResultCode code, absl::Time now);

  // Records that the platform is known to hold `revision`. Makes the next call
  // due soon, even if the daemon is no watcher.
  void ExpectRevision(Version revision, absl::Time now);

  // Makes the next call due at once, unless the state includes all changes up
  // to `version` by then, which the platform holds. It is answered without
  // waiting for a change. Gives up an active watch.
  void RequireVersion(Version version, absl::Time now);
  // Whether the call `id` is active: neither finished nor given up.
  bool IsActive(std::uint64_t id) const {
    return active_call_ && active_call_->id == id;
  }
  // Whether the call `id` was given up by RequireVersion().
  bool WasSuperseded(std::uint64_t id) const { return id == superseded_id_; }

  // Records that a peer has delivered `revision`. An active watch that does not
  // report that revision soon as well is given up.
  void OnPeerProgress(Version revision, absl::Time now);

  // Makes the next call a list of all objects.
  void RequireList() { list_required_ = true; }

  // Calls made, calls that failed and calls that timed out.
  std::uint64_t calls() const { return calls_; }
  std::uint64_t errors() const { return errors_; }
  std::uint64_t timeouts() const { return timeouts_; }

 private:
  // Counts a call that failed or timed out.
  void CountFailure();
  // Returns a random pause that grows with the consecutive failures.
  absl::Duration Backoff();
  // How long the platform may hold the next watch call.
  absl::Duration WatchWait(const CallInputs& inputs) const;

  const Options& options_;
  std::mt19937_64& random_;
  std::optional<PlatformCall> active_call_;
  absl::Time call_start_ = absl::InfinitePast();
  absl::Time call_deadline_ = absl::InfinitePast();
  absl::Time next_call_time_;
  Version expected_revision_ = 0;
  // See RequireVersion(); 0 for none.
  Version required_version_ = 0;
  std::uint64_t superseded_id_ = 0;  // Of the last such call.
  bool list_required_ = false;
  // Whether the last call was made because the state was unconfirmed.
  bool unconfirmed_ = false;
  int consecutive_failures_ = 0;
  std::uint64_t last_id_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t errors_ = 0;
  std::uint64_t timeouts_ = 0;
};

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_CALL_SCHEDULE_H_
