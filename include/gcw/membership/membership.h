#ifndef GCW_MEMBERSHIP_MEMBERSHIP_H_
#define GCW_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/membership/member.h"
#include "gcw/membership/message.h"

namespace gcw::membership {

struct Options {
  std::string name;
  std::string zone;
  Endpoint advertise;  // The membership port as others reach it.

  absl::Duration probe_interval = absl::Milliseconds(400);
  // Without an answer after this time, others are asked to probe.
  absl::Duration ack_timeout = absl::Milliseconds(250);
  // Without any answer after this time, the member is suspected.
  absl::Duration probe_timeout = absl::Milliseconds(650);
  // A suspect that does not refute is dead after this time, longer with the
  // logarithm of the number of members.
  absl::Duration suspicion_timeout = absl::Milliseconds(1000);
  // Members that are asked to probe in our place.
  std::size_t indirect_probes = 3;
  // Up to this many members, everyone probes everyone in turn; above it, each
  // probes its own zone and one in `cross_zone_every` probes goes elsewhere.
  std::size_t max_full_mesh_members = 16;
  std::size_t cross_zone_every = 4;
  // A dead member is kept, and now and then probed, for this long.
  absl::Duration dead_retention = absl::Minutes(10);
  // A gap between ticks above this means that this process was paused: its own
  // timeouts of that time say nothing about others.
  absl::Duration pause_threshold = absl::Milliseconds(600);
};

// Where a daemon may be found before anything was heard of it. The name is
// empty for addresses from the settings.
struct Seed {
  std::string name;
  std::string zone;
  Endpoint address;
};

// A message to be encoded, signed and sent as one datagram.
struct OutgoingMessage {
  Endpoint to;
  Message message;
};

enum class EventType {
  kJoined,     // New, or back after it was dead or had left.
  kRestarted,  // The same name with a new process: its state is gone.
  kSuspected,
  kRecovered,  // The suspicion was refuted.
  kDied,
  kLeft,
  kLeaving,  // Finishes what it holds; still live.
};

// Thread-safe.
std::string_view ToString(EventType type);

struct MemberEvent {
  EventType type = EventType::kJoined;
  Member member;
};

// An application payload that came with a message.
struct ReceivedPayload {
  std::string member;
  std::vector<std::uint8_t> bytes;
};

// What the caller must do after an input.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberEvent> events;
  std::vector<ReceivedPayload> payloads;
};

// Which daemons are there: random probes with indirect probes, suspicion and
// incarnations, and gossip on the back of probes (SWIM). The cost of a daemon
// does not grow with the number of members. Pure: no sockets, no clock. Not
// thread-safe.
//
// `now` in all methods must come from a clock that does not jump, and must be
// the same clock for all calls on one object; clocks of members need not agree.
class Membership {
 public:
  // `start` is the wall-clock time, used only to number this process start.
  // Fails with kInvalidField for an empty or long name or zone, or an address
  // of zero.
  static Result<std::unique_ptr<Membership>> Make(const Options& options,
                                                  absl::Time start,
                                                  std::uint64_t random_seed);

  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Replaces the seeds of one source. Seeds are contacted while they are not
  // known as members; a seed that vanishes from the list removes nobody.
  void SetSettingsSeeds(std::span<const Seed> seeds);
  void SetPlatformSeeds(std::span<const Seed> seeds);

  // The revision that messages carry from now on. When it grew, the next tick
  // tells a few members at once.
  void SetRevision(std::uint64_t revision);

  // The payload that messages carry from now on; at most kMaxPayloadBytes,
  // the rest is cut.
  void SetPayload(std::span<const std::uint8_t> payload);

  // Call every 50 ms or so.
  Actions OnTick(absl::Time now);

  // A verified and decoded message that came from `from`.
  Actions OnMessage(const Endpoint& from,
                    const Message& message,
                    absl::Time now);

  // Tells members that this daemon finishes what it holds and should get
  // nothing new. It stays a live member until Leave. Idempotent.
  void BeginLeave();

  // Tells members that this daemon is gone. Keep ticking for about a second
  // after it, so that the news spreads.
  Actions Leave(absl::Time now);

  // All known members but this one, in order of name.
  std::vector<Member> members() const;
  // The member `name`, if known.
  std::optional<Member> Find(std::string_view name) const;
  // Members that are alive or suspected, without this one.
  std::size_t live_count() const;
  // This daemon's own record.
  Member self() const;

 private:
  struct State;
  explicit Membership(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace gcw::membership

#endif  // GCW_MEMBERSHIP_MEMBERSHIP_H_
