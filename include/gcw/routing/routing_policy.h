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

// State of a daemon in the member list.
enum class MemberState : std::uint8_t {
  kAlive,
  // Missed probes. Remains a holder of its records, but no packets are relayed
  // to it.
  kSuspect,
  // Is shutting down and hands over its records first.
  kLeaving,
};

// A daemon of the deployment, as membership reports it. Dead daemons are not
// listed. The daemon itself may be listed; if so, its own state is taken from
// its entry.
struct Member {
  std::string name;
  std::string zone;
  MemberState state = MemberState::kAlive;
  // Increases with each start of the daemon.
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

// A limit on the new flows that this daemon places on one backend server, for
// example because the server is overloaded. It changes no table.
struct ServerShareLimit {
  std::string server;
  // The fraction of its normal share of new flows that the server may get, 0 to
  // 1.
  double share = 1.0;
};

// An encoded control message to one peer. The transport may delay, lose or
// repeat it.
struct OutgoingMessage {
  std::string to;
  std::vector<std::uint8_t> bytes;
};

// Flow counts of one backend server on this daemon.
struct ServerFlows {
  std::string server;
  // Flows in the flow table of this daemon.
  std::uint64_t flows = 0;
  // New flows placed since the start of the daemon.
  std::uint64_t placed = 0;
};

// Counters and gauges of one policy.
struct RouterStats {
  config::Version revision = 0;
  std::uint64_t flows = 0;
  // Flows that are recorded at their holders, among `flows`.
  std::uint64_t records = 0;
  std::uint64_t services = 0;
  std::uint64_t buckets = 0;
  // Buckets of flows that are not settled: the tables in use, or tables that
  // were evicted, name different backend servers for the bucket, or new flows
  // may deviate from the tables or must wait.
  std::uint64_t unsettled_buckets = 0;
  std::uint64_t tables = 0;
  std::uint64_t table_bytes = 0;
  std::uint64_t flow_bytes = 0;
  std::uint64_t new_flows = 0;
  // New flows that were not placed on the base server of their bucket.
  std::uint64_t exceptions = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
  std::uint64_t relay_received = 0;
  std::uint64_t resets = 0;
  // Flows that were reset because their server stopped answering them.
  std::uint64_t silent_resets = 0;
  std::uint64_t drops = 0;
  // Entries that were removed from the flow table after a timeout or to make
  // room.
  std::uint64_t evictions = 0;
  // Packets of backend servers that were not accepted, see OnReply.
  std::uint64_t refused_replies = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t control_messages = 0;
  // Malformed control messages.
  std::uint64_t bad_messages = 0;
  // Whether this daemon had confirmed contact with enough peers within the
  // freshness bound and knows of no newer configuration.
  bool fresh = false;
  // Whether this daemon has all records that it should hold.
  bool complete = false;
  std::vector<ServerFlows> servers;
};

// Decides where each packet of a flow goes. Does no I/O, starts no threads and
// reads no clock. Not thread-safe: one task owns a policy and passes in `now`,
// which must never go back. No method fails; OnPacket, OnRelayed and OnReply
// allocate no memory.
class RoutingPolicy {
 public:
  // Creates the policy that `options.policy` names. Fails with kSettingsInvalid
  // for an unknown policy, an empty `self` or a value out of range.
  static Result<std::unique_ptr<RoutingPolicy>> Make(
      const RouterOptions& options);

  virtual ~RoutingPolicy() = default;

  // Applies a configuration; one that is not newer than the current one is
  // ignored. Precondition: `snapshot` is not null.
  virtual void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) = 0;

  // Replaces the list of the live daemons.
  virtual void ApplyMembers(std::span<const Member> members,
                            absl::Time now) = 0;

  // Confirms that at `now` the configuration of this daemon was as new as that
  // of the platform, or as that of all daemons that relay it.
  virtual void NoteConfigurationCurrent(absl::Time now) = 0;

  // Replaces all share limits; a server that is not named has none.
  virtual void SetServerShareLimits(std::span<const ServerShareLimit> limits,
                                    absl::Time now) = 0;

  // Decides on a packet that arrived from the network.
  virtual Decision OnPacket(const FlowPacket& packet, absl::Time now) = 0;

  // Decides on a packet that another daemon relayed.
  virtual Decision OnRelayed(const FlowPacket& packet,
                             const RelayHeader& header,
                             absl::Time now) = 0;

  // Decides on a packet from the backend server at `server` to a caller.
  virtual ReplyDecision OnReply(const Endpoint& server,
                                const FlowPacket& reply,
                                absl::Time now) = 0;

  // Processes a control message from the daemon `from`. Malformed messages are
  // counted and ignored.
  virtual void OnMessage(std::string_view from,
                         std::span<const std::uint8_t> bytes,
                         absl::Time now) = 0;

  // Runs the timers. To be called about every 50 ms.
  virtual void OnTick(absl::Time now) = 0;

  // Returns the control messages that are due and removes them from the policy.
  // To be called after each OnTick, OnMessage and ApplySnapshot.
  virtual std::vector<OutgoingMessage> TakeMessages() = 0;

  // Whether this daemon is leaving and every remaining peer has received all
  // records that only this daemon had.
  virtual bool handed_over() const = 0;

  // Returns the current counters and gauges.
  virtual RouterStats Stats() const = 0;
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_ROUTING_POLICY_H_
