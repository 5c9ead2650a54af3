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

struct Options {
  std::string name;
  std::string zone;

  // Daemons of each zone that watch the platform.
  std::size_t watchers_per_zone = 2;
  // Others that may stand in for watchers that the platform does not serve. If
  // it serves nobody, more would only add calls.
  std::size_t backup_watchers_per_zone = 2;
  // Peers of the own zone, and of each other zone, that get changes at once.
  std::size_t zone_fanout = 4;
  std::size_t cross_zone_fanout = 1;

  absl::Duration watch_wait = absl::Seconds(2);
  // The wait of a watch after a failure: a platform that is back shows it soon,
  // also where nothing has changed.
  absl::Duration watch_wait_after_failure = absl::Milliseconds(500);
  // A call without an answer this long after it was due is given up.
  absl::Duration call_grace = absl::Milliseconds(800);
  // Between two watch calls that both brought events.
  absl::Duration min_watch_gap = absl::Milliseconds(100);
  // After failures: at first and at most. Jitter takes half of it away.
  absl::Duration backoff_min = absl::Milliseconds(1000);
  absl::Duration backoff_max = absl::Seconds(4);
  // One digest to one peer in turn.
  absl::Duration digest_interval = absl::Seconds(1);
  // A new daemon asks its peers for this long before it asks the platform.
  absl::Duration initial_platform_delay = absl::Milliseconds(700);
  // Or it asks the platform for this long before it asks its peers.
  absl::Duration initial_peer_delay = absl::ZeroDuration();
  // Deletions that are remembered one by one; older ones need a full update.
  std::size_t max_tombstones = 1000;
};

// A live member as the relay sees it.
struct Peer {
  std::string name;
  std::string zone;
  // False if it said that the platform does not serve it: others watch in its
  // place.
  bool may_watch = true;

  bool operator==(const Peer&) const = default;
};

enum class CallType { kList, kWatch };

// A call to the platform that the caller makes on its own task. The answer
// comes back with the same id.
struct PlatformCall {
  std::uint64_t id = 0;
  CallType type = CallType::kList;
  Version after = 0;       // kWatch.
  absl::Duration wait;     // kWatch: how long the platform may hold it.
  absl::Duration timeout;  // Give the call up after this time.
};

struct OutgoingMessage {
  std::string peer;
  Message message;
};

// What the caller must do after an input.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::optional<PlatformCall> call;
  // The configuration is another than before: read revision() and objects().
  bool changed = false;
};

// Numbers for metrics and status.
struct Stats {
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_errors = 0;
  std::uint64_t stale_answers = 0;  // Ignored: older than what is held.
  std::uint64_t call_timeouts = 0;
  std::uint64_t update_gaps = 0;      // Updates that did not join on.
  std::uint64_t hash_mismatches = 0;  // Equal revision, other hash.
  bool watcher = false;
  bool platform_behind = false;  // Its last answer was older than ours.
};

// The versioned configuration on one daemon. It merges what the platform lists
// and watches with what peers relay: the highest version of an object wins and
// nothing reverts. The state it presents is complete: at revision R it misses
// no object of version R or less. Pure: no sockets, no clock. Not thread-safe.
//
// `now` must come from a clock that does not jump.
class VersionedRelay {
 public:
  // Fails with kInvalidField for an empty name or zone.
  static Result<std::unique_ptr<VersionedRelay>>
  Make(const Options& options, absl::Time now, std::uint64_t random_seed);

  ~VersionedRelay();
  VersionedRelay(const VersionedRelay&) = delete;
  VersionedRelay& operator=(const VersionedRelay&) = delete;

  // The live members without this one. Watchers and neighbours follow from it.
  void SetPeers(std::span<const Peer> peers, absl::Time now);

  // Call every 50 ms or so.
  Actions OnTick(absl::Time now);

  // A decoded message of the verified member `peer`.
  Actions OnMessage(const std::string& peer,
                    const Message& message,
                    absl::Time now);

  // The answer to the list call `id`: all live objects as of `revision`.
  Actions OnList(std::uint64_t id,
                 Version revision,
                 std::span<const Object> objects,
                 absl::Time now);

  // The answer to the watch call `id`: all changes after the call's `after` up
  // to `revision`, deletions included.
  Actions OnWatch(std::uint64_t id,
                  Version revision,
                  std::span<const Object> events,
                  absl::Time now);

  // The call `id` failed. kPlatformCompacted means that a list must follow.
  Actions OnCallFailed(std::uint64_t id, ResultCode code, absl::Time now);

  // Someone knows that the platform holds `revision`, for example the resource
  // API after a write: this daemon asks the platform at once, watcher or not.
  Actions OnRevisionHint(Version revision, absl::Time now);

  // The version of the latest change that is included. No change of that
  // version or less is missed; 0 before anything was learned. Versions that the
  // platform gave to objects outside the configuration do not raise it.
  Version revision() const;
  // All live objects as of revision(), in order of key.
  std::vector<Object> objects() const;
  // The live object `key` or null; valid until the next non-const call.
  const Object* Find(std::string_view key) const;
  // Whether this daemon should watch the platform.
  bool is_watcher() const;
  // The peers that get changes from here at once, in order of name.
  std::vector<std::string> neighbours() const;
  // What a Digest message to a peer would say.
  Digest digest() const;
  Stats stats() const;
  std::size_t tombstone_count() const;

 private:
  struct State;
  explicit VersionedRelay(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace gcw::relay

#endif  // GCW_RELAY_VERSIONED_RELAY_H_
