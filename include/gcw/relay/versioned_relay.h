#ifndef GCW_RELAY_VERSIONED_RELAY_H_
#define GCW_RELAY_VERSIONED_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/relay/message.h"
#include "gcw/relay/object.h"

namespace gcw::relay {

// Options of a VersionedRelay.
struct Options {
  std::string name;  // The member name of this daemon.
  std::string zone;  // The availability zone of this daemon.

  // Number of daemons per zone that watch the platform.
  std::size_t watchers_per_zone = 2;
  // Number of further daemons per zone that may replace watchers which the
  // platform does not serve. The number is bounded because, if the platform
  // serves no daemon at all, more replacements would only add failing calls.
  std::size_t backup_watchers_per_zone = 2;
  // Number of neighbours in the own zone and in each other zone. Neighbours are
  // the peers to which this daemon sends changes directly.
  std::size_t zone_fanout = 4;
  std::size_t cross_zone_fanout = 1;

  // A daemon that does not watch the platform calls it once its state has not
  // been confirmed for this time, shortened by up to kMaxAgeJitter at random so
  // that the daemons of a zone do not call together. Infinite: it never does.
  absl::Duration max_state_age = absl::InfiniteDuration();
  // A watcher sends its digest to all daemons of its zone that do not watch
  // when the platform has confirmed its state, at most once in this time.
  // Infinite: it never does.
  absl::Duration confirmation_interval = absl::InfiniteDuration();

  // How long the platform may hold a watch call while nothing changes.
  absl::Duration watch_wait = absl::Seconds(2);
  // Replaces `watch_wait` after a failure until a call succeeds. The shorter
  // wait makes a recovered platform answer soon even if nothing has changed.
  absl::Duration watch_wait_after_failure = absl::Milliseconds(500);
  // A watch call is given up if it is not answered this long after the end of
  // its wait.
  absl::Duration call_grace = absl::Milliseconds(800);
  // Minimum pause between a watch answer with events and the next watch call.
  absl::Duration min_watch_gap = absl::Milliseconds(100);
  // First and longest pause of the exponential backoff after failed calls.
  // Random jitter shortens each pause by up to half.
  absl::Duration backoff_min = absl::Milliseconds(1000);
  absl::Duration backoff_max = absl::Seconds(4);
  // Interval between digests. Each digest goes to one neighbour, in turn.
  absl::Duration digest_interval = absl::Seconds(1);
  // A new daemon waits for state from its peers before it first calls the
  // platform. The wait is random between this delay and twice as long.
  absl::Duration initial_platform_delay = absl::Milliseconds(700);
  // A new daemon waits this long for state from the platform before it first
  // contacts its peers.
  absl::Duration initial_peer_delay = absl::ZeroDuration();
  // Maximum number of deletions that are remembered individually. A peer that
  // may have missed an older deletion is sent a full update.
  std::size_t max_tombstones = 1000;
};

// The largest part of Options::max_state_age by which it is shortened.
inline constexpr double kMaxAgeJitter = 0.15;

// Another live daemon, as the membership reports it.
struct Peer {
  std::string name;
  std::string zone;
  // False if the peer has announced that the platform does not serve it.
  // Another daemon then watches the platform in its place.
  bool may_watch = true;

  bool operator==(const Peer&) const = default;
};

enum class CallType { kList, kWatch };

// A call to the platform, which the caller makes on a task of its own. The
// answer is passed to the relay with the same id.
struct PlatformCall {
  std::uint64_t id = 0;
  CallType type = CallType::kList;
  Version after = 0;       // kWatch: return changes with versions above this.
  absl::Duration wait;     // kWatch: how long the platform may hold the call.
  absl::Duration timeout;  // The relay gives the call up after this time.
};

// A message to send to the daemon `peer`.
struct OutgoingMessage {
  std::string peer;
  Message message;
};

// What the caller must do after an input to the relay: send all messages and
// make the call, if there is one.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::optional<PlatformCall> call;
  // The configuration has changed: read revision() and objects().
  bool changed = false;
};

// Counters and state for metrics and status reports.
struct Stats {
  std::uint64_t platform_calls = 0;
  // Failed calls, except timeouts and watches of a compacted version.
  std::uint64_t platform_errors = 0;
  // Answers to calls that had been given up, and answers with an older revision
  // than the one this daemon holds.
  std::uint64_t stale_answers = 0;
  std::uint64_t call_timeouts = 0;  // Calls given up without an answer.
  // Updates from peers that could not be applied because earlier changes were
  // missing.
  std::uint64_t update_gaps = 0;
  // Digests from peers with the same revision but a different hash.
  std::uint64_t hash_mismatches = 0;
  bool watcher = false;  // This daemon should watch the platform.
  // The last answer of the platform had an older revision than this daemon.
  bool platform_behind = false;
};

// The versioned configuration on one daemon, replicated from the platform and
// from peers. Merges the platform's lists and watch events with the changes
// that peers relay: the highest version of an object wins, and no object ever
// reverts to an older version. The state is always complete: at revision R it
// includes every change of version R or less. Uses no sockets and no clock of
// its own. Not thread-safe.
//
// `now` must come from a monotonic clock, the same one in all calls.
class VersionedRelay {
 public:
  // Creates a relay without any state. Fails with kInvalidField for an empty
  // name or zone.
  static Result<std::unique_ptr<VersionedRelay>>
  Make(const Options& options, absl::Time now, std::uint64_t random_seed);

  ~VersionedRelay();
  VersionedRelay(const VersionedRelay&) = delete;
  VersionedRelay& operator=(const VersionedRelay&) = delete;

  // Sets the live members, without this daemon. They determine whether this
  // daemon is a watcher and which peers are its neighbours.
  void SetPeers(std::span<const Peer> peers, absl::Time now);

  // Handles timers. Call about every 50 ms.
  Actions OnTick(absl::Time now);

  // Handles a decoded message from the authenticated member `peer`. `age` is
  // the time since the sender's state was last known to be equal to the
  // platform's; infinite if it is not known. Ignores senders that are not among
  // the peers of SetPeers.
  Actions OnMessage(const std::string& peer,
                    const Message& message,
                    absl::Duration age,
                    absl::Time now);

  // Handles the answer to the list call `id`: all live objects as of
  // `revision`.
  Actions OnList(std::uint64_t id,
                 Version revision,
                 std::span<const Object> objects,
                 absl::Time now);

  // Handles the answer to the watch call `id`: all changes, including
  // deletions, with versions above the call's `after` up to `revision`.
  Actions OnWatch(std::uint64_t id,
                  Version revision,
                  std::span<const Object> events,
                  absl::Time now);

  // Handles the failure of the call `id`. After kPlatformCompacted, the relay
  // makes a list call next.
  Actions OnCallFailed(std::uint64_t id, ResultCode code, absl::Time now);

  // Tells the relay that the platform holds `revision`, for example after the
  // resource API has written an object. The relay then calls the platform
  // without waiting for its usual schedule, even if this daemon is no watcher.
  Actions OnRevisionHint(Version revision, absl::Time now);

  // Makes the relay learn without delay all changes up to `version`, which the
  // platform holds, perhaps in other objects than those of the configuration.
  // Calls the platform at once if the state may lack such changes, also if this
  // daemon is no watcher. A watch that waits for a change is given up for that
  // without counting as failed. After several failures the relay goes on with
  // its usual schedule.
  Actions RequireVersion(Version version, absl::Time now);
  // Whether the relay waits for the outcome of the call `id`. It ignores
  // answers to other calls.
  bool Expects(std::uint64_t id) const;
  // Whether the call `id` was given up for RequireVersion(): its outcome tells
  // nothing about the platform.
  bool WasSuperseded(std::uint64_t id) const;

  // All changes up to this version are included in the state: revision(), or
  // more if the platform has assigned later versions to other objects.
  Version complete_version() const;
  // The version of the latest change in the configuration; 0 before any state
  // was learned. Every change of that version or less is included. Writes to
  // objects outside the configuration do not raise the revision.
  Version revision() const;
  // The latest time at which this daemon's state is known to have been equal to
  // the platform's; InfinitePast() if it never was.
  absl::Time confirmed() const;
  // All live objects as of revision(), sorted by key.
  std::vector<Object> objects() const;
  // The live object `key`, or null. Valid until the next non-const call.
  const Object* Find(std::string_view key) const;
  // Whether this daemon should watch the platform.
  bool is_watcher() const;
  // The peers that get changes from this daemon directly, sorted by name.
  std::vector<std::string> neighbours() const;
  // The digest that describes the current state to peers.
  Digest digest() const;
  // Counters since the relay was created, and its current state.
  Stats stats() const;
  // The number of deletions that are remembered individually.
  std::size_t tombstone_count() const;

 private:
  struct State;
  explicit VersionedRelay(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace gcw::relay

#endif  // GCW_RELAY_VERSIONED_RELAY_H_
