#ifndef GCW_SRC_ROUTING_TABLE_ROUTER_H_
#define GCW_SRC_ROUTING_TABLE_ROUTER_H_

#include <bitset>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "src/routing/control_exchange.h"
#include "src/routing/flow_table.h"
#include "src/routing/holders.h"
#include "src/routing/placer.h"
#include "src/routing/server_registry.h"
#include "src/routing/service_directory.h"

namespace gcw::routing {

// The policy "tables": flows are placed by consistent hash tables, and each
// daemon keeps the older tables for as long as live flows may have been placed
// by them. A flow whose server differs from the base server of its bucket is
// recorded at two holders. See docs/design/routing.md.
class TableRouter final : public RoutingPolicy, private ItemSource {
 public:
  // Precondition: `options` are valid, see RoutingPolicy::Make.
  explicit TableRouter(const RouterOptions& options);

  void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) override;
  void ApplyMembers(std::span<const Member> members, absl::Time now) override;
  void NoteConfigurationCurrent(absl::Time now) override;
  void SetServerShareLimits(std::span<const ServerShareLimit> limits,
                            absl::Time now) override;
  Decision OnPacket(const FlowPacket& packet, absl::Time now) override;
  Decision OnRelayed(const FlowPacket& packet,
                     const RelayHeader& header,
                     absl::Time now) override;
  ReplyDecision OnReply(const Endpoint& server,
                        const FlowPacket& reply,
                        absl::Time now) override;
  void OnMessage(std::string_view from,
                 std::span<const std::uint8_t> bytes,
                 absl::Time now) override;
  void OnTick(absl::Time now) override;
  std::vector<OutgoingMessage> TakeMessages() override;
  bool handed_over() const override;
  RouterStats Stats() const override;

 private:
  // A packet and what the routing decision depends on.
  struct PacketContext {
    const FlowPacket& packet;
    const RelayHeader& header;
    ServiceTables& service;
    FlowKey key;
    std::uint32_t partition;
    Bucket bucket;
    // The packet is a SYN without ACK.
    bool opening;
    // The packet has FIN or RST.
    bool closing;
    Tick tick;
    absl::Time now;
  };

  // Decides on a packet from the network (`header.hops` is 0) or from another
  // daemon.
  Decision Route(const FlowPacket& packet,
                 const RelayHeader& header,
                 absl::Time now);
  // Decides by the entry of the flow.
  Decision RouteByEntry(const PacketContext& context, FlowEntry& entry);
  // Decides on a packet of a flow without a reliable entry: relays it to a
  // daemon that may have the record, or decides by the tables.
  Decision RouteWithoutEntry(const PacketContext& context);
  // Records the server that the sender of a relayed packet chose, and passes
  // the packet on to the next holder or to the server. `entry` is the entry of
  // the flow or null.
  Decision ApplyPlacement(const PacketContext& context, FlowEntry* entry);
  // Chooses a server for a new flow and records the choice if it differs from
  // the base server.
  Decision Place(const PacketContext& context);
  // Forwards a packet without a record to the base server of its bucket.
  Decision ForwardToBase(const PacketContext& context);

  Decision Forward(const PacketContext& context,
                   ServerIndex server,
                   bool new_flow);
  // Relays the packet to `member`. `placement` is the server that was chosen,
  // or 0 if `member` decides.
  Decision Relay(const PacketContext& context,
                 std::uint16_t member,
                 ServerId placement);
  Decision Reset(ResultCode code);
  Decision Drop(ResultCode code);

  // Whether the packet may be routed by `entry` without asking a holder.
  bool MayRouteByEntry(const PacketContext& context,
                       const FlowEntry& entry) const;
  // Whether another daemon may have placed the flow on another server: this
  // daemon saw only a first packet, its server is gone, and the caller may have
  // repeated that packet at another daemon.
  bool MayBePlacedElsewhere(const PacketContext& context,
                            const FlowEntry& entry) const;
  // Whether the packet opens a new flow with the addresses of an old one, whose
  // entry is `entry`.
  bool StartsNewFlow(const PacketContext& context,
                     const FlowEntry& entry) const;
  // Whether this daemon was in contact with enough peers, or confirmed its
  // configuration, within the freshness bound.
  bool IsFresh(absl::Time now) const;
  // Whether a newer configuration than that of this daemon exists.
  bool IsConfigurationBehind() const;
  // Whether the first holder relayed the packet because the configuration of
  // this daemon is newer.
  bool AskedToPlace(const PacketContext& context) const;
  // Returns the ranked member with the newest configuration, if that is newer
  // than the one of this daemon, or kNoMember.
  std::uint16_t MemberWithNewestConfiguration(
      const PacketContext& context) const;
  // Returns the next member that may have a record of the flow, or kNoMember.
  std::uint16_t NextMemberToAsk(const PacketContext& context) const;
  // Returns the next holder that must get the record of the flow and knows
  // `server`, or kNoMember.
  std::uint16_t NextHolderForRecord(const PacketContext& context,
                                    ServerIndex server) const;
  // Whether `member` is alive and was heard within the freshness bound.
  bool IsReachable(std::uint16_t member, absl::Time now) const;
  // Whether `member` reported that it has all its records.
  bool HasAllRecords(std::uint16_t member) const;
  // Whether the packet must pass another holder, so that the record there is
  // created or refreshed.
  bool NeedsMirror(const PacketContext& context, const FlowEntry& entry) const;

  // Stores a new entry of the flow on `server`, with a record if `record` is
  // set. Replaces an older entry. Returns null if the table is full.
  FlowEntry* StoreEntry(const PacketContext& context,
                        ServerIndex server,
                        bool record);
  // Erases `entry` from the flow table.
  void EraseEntry(FlowEntry& entry);
  // Whether `entry` may be evicted at `tick`. If the table is nearly full
  // (`under_pressure`), every entry without a record may be evicted, and a
  // half-open flow sooner than otherwise.
  bool MayEvict(const FlowEntry& entry, Tick tick, bool under_pressure) const;
  // Examines the next `steps` slots of the flow table and evicts the entries
  // that MayEvict allows.
  void Sweep(std::uint32_t steps, bool under_pressure);

  // Recomputes the buckets of `services`, and records the flows that need a
  // record after that.
  void RecomputeServices(std::span<ServiceTables* const> services,
                         absl::Time now);
  // Records the flows whose server is no longer the base server of their
  // bucket.
  void RecordMovedFlows();
  // Enqueues `item`, which refers to a flow, for the holders of the flow that
  // are not in `visited`.
  void QueueForHolders(const OutgoingItem& item, std::uint16_t visited);
  // Enqueues the newest tables of `service` for all peers.
  void QueueTables(const ServiceTables& service);
  // Applies the tables, deviations, records and closed flows of `message`.
  void ApplyContent(const ControlMessage& message, absl::Time now);
  // Stores the records of `group`, unless this daemon has a record that takes
  // precedence.
  void ApplyRecords(const RecordGroup& group);
  // Marks the recorded flow `key` as closed.
  void MarkClosed(FlowKey key);
  // Enqueues all tables, deviations and records that `peer` should have.
  void QueueSync(std::string_view peer);
  // ItemSource:
  std::size_t AppendItem(const OutgoingItem& item,
                         ControlMessage& message) override;
  // Updates until when this daemon counts as fresh, and whether it has all
  // records.
  void UpdateFreshness();
  // Writes the control messages that are due to `outgoing_`.
  void Flush(absl::Time now);
  // Activates the tables that are due, and begins the slow start of servers
  // that they bring in.
  void Activate(absl::Time now);
  // Returns the tick of `now`, which never decreases.
  Tick TickOf(absl::Time now);

  const RouterOptions options_;
  ServerRegistry registry_;
  ServiceDirectory directory_;
  Holders holders_;
  ControlExchange exchange_;
  Placer placer_;
  FlowTable flows_;
  config::SnapshotPtr snapshot_;
  config::Version revision_ = 0;
  // Partitions for which this daemon may lack records.
  std::bitset<Holders::kPartitions> incomplete_partitions_;
  bool members_known_ = false;
  // Whether the first sync with the other daemons has completed.
  bool joined_ = false;
  // Until when contact with the peers makes this daemon fresh.
  absl::Time fresh_until_ = absl::InfinitePast();
  // Last time at which the configuration was confirmed to be current.
  absl::Time configuration_current_at_ = absl::InfinitePast();
  // Last change of the members that can hold records.
  absl::Time membership_changed_at_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
  // Unix time in milliseconds at which the tick is 0.
  std::int64_t tick_origin_ms_ = 0;
  Tick tick_ = 1;
  // Entries of the flow table that are recorded.
  std::uint64_t records_ = 0;
  RouterStats counts_;
  std::vector<OutgoingMessage> outgoing_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_TABLE_ROUTER_H_
