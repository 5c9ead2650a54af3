#ifndef GCW_ROUTING_ROUTING_POLICY_H_
#define GCW_ROUTING_ROUTING_POLICY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/config/snapshot.h"
#include "gcw/routing/options.h"
#include "gcw/routing/packet.h"

namespace gcw::routing {

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // Missed probes; keeps its duties, new ones pass it by.
  kLeaving,  // Hands its duties over and stops soon.
};

// A daemon of the deployment as the membership sees it. Dead ones are left
// out. The daemon itself may be listed; its own state is taken from its entry.
struct Member {
  std::string name;
  std::string zone;
  MemberState state = MemberState::kAlive;
  // Grows each time that the daemon starts.
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

// Local knowledge of a backend server that must not change tables.
struct ServerShareLimit {
  std::string server;
  // The part of its share of new flows that it should get, 0 to 1.
  double share = 1.0;
};

// Control bytes for one peer. The transport may delay, lose or repeat them.
struct OutgoingMessage {
  std::string to;
  std::vector<std::uint8_t> bytes;
};

struct ServerFlows {
  std::string server;
  std::uint64_t flows = 0;   // Held by this daemon.
  std::uint64_t placed = 0;  // New flows, since the start.
};

struct RouterStats {
  config::Version revision = 0;
  std::uint64_t flows = 0;
  std::uint64_t records = 0;  // Flows kept for others, as a holder.
  std::uint64_t services = 0;
  std::uint64_t buckets = 0;
  std::uint64_t unsettled_buckets = 0;
  std::uint64_t tables = 0;
  std::uint64_t table_bytes = 0;
  std::uint64_t flow_bytes = 0;
  std::uint64_t new_flows = 0;
  std::uint64_t exceptions = 0;  // New flows placed against the table.
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
  std::uint64_t relay_received = 0;
  std::uint64_t resets = 0;
  std::uint64_t silent_resets = 0;
  std::uint64_t drops = 0;
  std::uint64_t evictions = 0;
  std::uint64_t refused_replies = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t control_messages = 0;
  std::uint64_t bad_messages = 0;
  bool fresh = false;     // Heard from enough others lately.
  bool complete = false;  // Holds every record that it should.
  std::vector<ServerFlows> servers;
};

// Decides where each packet of a flow goes. Pure: no socket, thread or clock
// inside. Not thread-safe: one task owns a policy and calls it with a clock
// that never goes back. No call fails; OnPacket, OnRelayed and OnReply
// allocate nothing.
class RoutingPolicy {
 public:
  // Makes the policy that `options.policy` names. Fails with kSettingsInvalid
  // for an unknown name, an empty `self` or a bound out of range.
  static Result<std::unique_ptr<RoutingPolicy>> Make(
      const RouterOptions& options);

  virtual ~RoutingPolicy() = default;

  // Takes a newer configuration; one that is not newer is ignored.
  // Precondition: `snapshot` is not null.
  virtual void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) = 0;

  // Replaces the view of the other daemons.
  virtual void ApplyMembers(std::span<const Member> members,
                            absl::Time now) = 0;

  // Notes that at `now` this daemon's configuration was as new as the
  // platform's, or as that of all daemons that relay it.
  virtual void NoteConfigurationCurrent(absl::Time now) = 0;

  // Replaces the hints; a server that is not named has none.
  virtual void SetServerShareLimits(std::span<const ServerShareLimit> limits,
                                    absl::Time now) = 0;

  // A packet from the fabric.
  virtual Decision OnPacket(const FlowPacket& packet, absl::Time now) = 0;

  // A packet that another daemon relayed.
  virtual Decision OnRelayed(const FlowPacket& packet,
                             const RelayHeader& header,
                             absl::Time now) = 0;

  // A packet from the backend server at `server` to a caller.
  virtual ReplyDecision OnReply(const Endpoint& server,
                                const FlowPacket& reply,
                                absl::Time now) = 0;

  // Control bytes from the daemon `from`. Malformed ones are counted.
  virtual void OnMessage(std::string_view from,
                         std::span<const std::uint8_t> bytes,
                         absl::Time now) = 0;

  // Timers; to be called about every 50 ms.
  virtual void OnTick(absl::Time now) = 0;

  // Moves out the control messages that wait to be sent. To be called after
  // each OnTick, OnMessage and ApplySnapshot.
  virtual std::vector<OutgoingMessage> TakeMessages() = 0;

  // Whether this daemon, when leaving, has handed over all that only it knew.
  virtual bool handed_over() const = 0;

  virtual RouterStats Stats() const = 0;
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_ROUTING_POLICY_H_
