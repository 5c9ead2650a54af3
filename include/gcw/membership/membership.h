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

// Options of a Membership.
struct Options {
  std::string name;  // The member name of this daemon.
  std::string zone;  // The availability zone of this daemon.
  // The membership port, at which other daemons reach this daemon.
  Endpoint advertise;

  absl::Duration probe_interval = absl::Milliseconds(400);
  // If a probe is not answered within this time, other members are asked to
  // probe the same target.
  absl::Duration ack_timeout = absl::Milliseconds(250);
  // If neither a direct nor an indirect probe is answered within this time, the
  // target becomes a suspect.
  absl::Duration probe_timeout = absl::Milliseconds(650);
  // A suspect that does not refute the suspicion within this time is considered
  // dead. With more than ten members the timeout is multiplied by the decimal
  // logarithm of their number.
  absl::Duration suspicion_timeout = absl::Milliseconds(1000);
  // Number of members that are asked to probe an unresponsive target.
  std::size_t indirect_probes = 3;
  // In deployments with up to this many members, each daemon probes all others.
  // In larger ones, each daemon probes its own zone, and one probe in
  // `cross_zone_every` goes to another zone.
  std::size_t max_full_mesh_members = 16;
  std::size_t cross_zone_every = 4;
  // Members that are dead or have left are remembered for this long. Dead ones
  // are still pinged occasionally.
  absl::Duration dead_retention = absl::Minutes(10);
  // If more time passes between two ticks, this process was paused. Timeouts
  // that expired during the pause are no evidence against other members.
  absl::Duration pause_threshold = absl::Milliseconds(600);
};

// An address at which a daemon may be found that is not yet a known member. The
// name is empty for addresses from the settings.
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

// What happened to a member.
enum class EventType {
  kJoined,     // Is new, or has returned after it was dead or had left.
  kRestarted,  // Runs in a new process under the same name; its state is lost.
  kSuspected,
  kRecovered,  // Refuted the suspicion.
  kDied,
  kLeft,
  kLeaving,  // Has begun to leave and finishes its work; still live.
};

// The name of an event in logs. Thread-safe.
std::string_view ToString(EventType type);

// An event, with the member's record after the event.
struct MemberEvent {
  EventType type = EventType::kJoined;
  Member member;
};

// An application payload that arrived in a message from `member`.
struct ReceivedPayload {
  std::string member;
  std::vector<std::uint8_t> bytes;
};

// What the caller must do after an input: send the messages, and handle the
// events and payloads.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberEvent> events;
  std::vector<ReceivedPayload> payloads;
};

// A failure detector that tells which daemons are live, after the SWIM
// protocol: random probes with indirect probes, suspicions that members refute
// with a higher incarnation, and gossip that is piggybacked on the probes. The
// cost per daemon does not grow with the number of members. Uses no sockets and
// no clock of its own. Not thread-safe.
//
// `now` must come from a monotonic clock, the same one in all calls on an
// object. The clocks of different members need not agree.
class Membership {
 public:
  // `start` is the wall-clock time, which only identifies this process start in
  // the incarnation. Fails with kInvalidField if the name or zone is not 1 to
  // kMaxNameBytes visible ASCII characters, if the IP address or port is zero,
  // or if `cross_zone_every` is zero.
  static Result<std::unique_ptr<Membership>> Make(const Options& options,
                                                  absl::Time start,
                                                  std::uint64_t random_seed);

  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Replace the seeds of one source: the settings, or the platform's list of
  // VMs. A seed is pinged while it is not a known member. Removing a seed does
  // not remove the member.
  void SetSettingsSeeds(std::span<const Seed> seeds);
  void SetPlatformSeeds(std::span<const Seed> seeds);

  // Sets the configuration revision that messages carry from now on. If the
  // revision has increased, one of the next ticks sends it to a few members
  // without waiting for the next probe.
  void SetRevision(std::uint64_t revision);

  // Sets the payload that messages carry from now on. Truncates it to
  // kMaxPayloadBytes.
  void SetPayload(std::span<const std::uint8_t> payload);

  // Handles timers. Call about every 50 ms.
  Actions OnTick(absl::Time now);

  // Handles a decoded message with a verified signature from the address
  // `from`.
  Actions OnMessage(const Endpoint& from,
                    const Message& message,
                    absl::Time now);

  // Announces to the members that this daemon finishes its current work and
  // should get no new work. The daemon stays a live member until Leave.
  // Idempotent.
  void BeginLeave();

  // Announces to the members that this daemon has left. The caller should keep
  // calling OnTick for about a second, which repeats the announcement.
  Actions Leave(absl::Time now);

  // All known members without this daemon, sorted by name.
  std::vector<Member> members() const;
  // The member `name`, if known.
  std::optional<Member> Find(std::string_view name) const;
  // The number of members that are alive or suspected, without this daemon.
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
