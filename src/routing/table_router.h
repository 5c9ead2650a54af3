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

// The policy "tables": remembered tables, and records at two holders for the
// flows that differ from them. See docs/design/routing.md.
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
  // One packet on its way to a decision.
  struct PacketContext {
    const FlowPacket& packet;
    const RelayHeader& header;
    ServiceTables& service;
    FlowKey key;
    std::uint32_t partition;
    Bucket bucket;
    bool opening;
    bool closing;
    Tick tick;
    absl::Time now;
  };

  Decision Route(const FlowPacket& packet,
                 const RelayHeader& header,
                 absl::Time now);
  Decision RouteByEntry(const PacketContext& context, FlowEntry& entry);
  Decision RouteWithoutEntry(const PacketContext& context);
  Decision ApplyPlacement(const PacketContext& context, FlowEntry* entry);
  Decision Place(const PacketContext& context);
  Decision ForwardToBase(const PacketContext& context);

  Decision Forward(const PacketContext& context,
                   ServerIndex server,
                   bool new_flow);
  Decision Relay(const PacketContext& context,
                 std::uint16_t member,
                 ServerId placement);
  Decision Reset(ResultCode code);
  Decision Drop(ResultCode code);

  // Whether `entry` says for sure where the packet goes.
  bool MayRouteByEntry(const PacketContext& context,
                       const FlowEntry& entry) const;
  // Whether the packet opens a new flow with the addresses of an old one.
  // Whether the entry knows nothing of the flow: only a first packet was seen,
  // its server is gone, and the caller's repetition of it, which another daemon
  // placed, may have opened the flow.
  bool MayBePlacedElsewhere(const PacketContext& context,
                            const FlowEntry& entry) const;
  bool StartsNewFlow(const PacketContext& context,
                     const FlowEntry& entry) const;
  // Whether this daemon heard enough of the others lately.
  bool IsFresh(absl::Time now) const;
  // Whether others have a newer configuration.
  bool IsConfigurationBehind() const;
  // Whether the first holder passed the packet on because this daemon's
  // configuration is newer.
  bool AskedToPlace(const PacketContext& context) const;
  // The member with the newest configuration, if newer than this daemon's, or
  // kNoMember.
  std::uint16_t MemberWithNewestConfiguration(
      const PacketContext& context) const;
  // The next member that may know more of the flow, or kNoMember.
  std::uint16_t NextMemberToAsk(const PacketContext& context) const;
  // The next holder that must get the record of the flow on `server` and can
  // take it, or kNoMember.
  std::uint16_t NextHolderForRecord(const PacketContext& context,
                                    ServerIndex server) const;
  bool IsReachable(std::uint16_t member, absl::Time now) const;
  // Whether `member` waits for no records.
  bool HasAllRecords(std::uint16_t member) const;
  bool NeedsMirror(const PacketContext& context, const FlowEntry& entry) const;

  // The entry of the flow, made anew on `server`; null if there is no room.
  FlowEntry* StoreEntry(const PacketContext& context,
                        ServerIndex server,
                        bool record);
  void EraseEntry(FlowEntry& entry);
  bool MayEvict(const FlowEntry& entry, Tick tick, bool under_pressure) const;
  void Sweep(std::uint32_t steps, bool under_pressure);

  void RecomputeServices(std::span<ServiceTables* const> services,
                         absl::Time now);
  void RecordMovedFlows();
  // Tells the holders of the flow `item.id` that are not in `visited` by
  // control messages.
  void QueueForHolders(const OutgoingItem& item, std::uint16_t visited);
  void QueueTables(const ServiceTables& service);
  void ApplyContent(const ControlMessage& message, absl::Time now);
  void ApplyRecords(const RecordGroup& group);
  void MarkClosed(FlowKey key);
  void QueueSync(std::string_view peer);
  std::size_t AppendItem(const OutgoingItem& item,
                         ControlMessage& message) override;
  void UpdateFreshness();
  void Flush(absl::Time now);
  void Activate(absl::Time now);
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
  // Parts of whose records this daemon may lack some.
  std::bitset<Holders::kPartitions> incomplete_partitions_;
  bool members_known_ = false;
  // Got the records and tables of the others once.
  bool joined_ = false;
  absl::Time fresh_until_ = absl::InfinitePast();
  absl::Time configuration_current_at_ = absl::InfinitePast();
  absl::Time membership_changed_at_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
  std::int64_t tick_origin_ms_ = 0;
  Tick tick_ = 1;
  std::uint64_t records_ = 0;
  RouterStats counts_;
  std::vector<OutgoingMessage> outgoing_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_TABLE_ROUTER_H_
