#ifndef GCW_SRC_ROUTING_TABLE_ROUTER_H_
#define GCW_SRC_ROUTING_TABLE_ROUTER_H_

#include <bitset>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "src/routing/exchange.h"
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
  void SetServerShareLimits(std::span<const ServerShareLimit> hints,
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
  struct Visit {
    const FlowPacket& packet;
    const RelayHeader& header;
    ServiceTables& service;
    FlowKey key;
    std::uint32_t part;
    Bucket bucket;
    bool opening;
    bool closing;
    Tick tick;
    absl::Time now;
  };

  Decision Route(const FlowPacket& packet,
                 const RelayHeader& header,
                 absl::Time now);
  Decision Hit(const Visit& visit, FlowEntry& entry);
  Decision RouteWithoutEntry(const Visit& visit);
  Decision TakePlacement(const Visit& visit, FlowEntry* entry);
  Decision Place(const Visit& visit);
  Decision ForwardToBase(const Visit& visit);

  Decision Forward(const Visit& visit, ServerIndex server, bool new_flow);
  Decision Relay(const Visit& visit, std::uint16_t member, ServerId placement);
  Decision Reset(ResultCode code);
  Decision Drop(ResultCode code);

  // Whether `entry` says for sure where the packet goes.
  bool Trusts(const Visit& visit, const FlowEntry& entry) const;
  // Whether the packet opens a new flow with the addresses of an old one.
  // Whether the entry knows nothing of the flow: only a first packet was seen,
  // its server is gone, and the caller's repetition of it, which another daemon
  // placed, may have opened the flow.
  bool MayLiveElsewhere(const Visit& visit, const FlowEntry& entry) const;
  bool Reopens(const Visit& visit, const FlowEntry& entry) const;
  // Whether this daemon heard enough of the others lately.
  bool Fresh(absl::Time now) const;
  // Whether others have a newer configuration.
  bool Behind() const;
  // Whether the first holder passed the packet on because this daemon's
  // configuration is newer.
  bool AskedToPlace(const Visit& visit) const;
  // The member with the newest configuration, if newer than this daemon's, or
  // kNoMember.
  std::uint16_t MemberAhead(const Visit& visit) const;
  // The next member that may know more of the flow, or kNoMember.
  std::uint16_t NextMember(const Visit& visit) const;
  // The next holder that must get the record of the flow on `server` and can
  // take it, or kNoMember.
  std::uint16_t OtherHolder(const Visit& visit, ServerIndex server) const;
  bool Usable(std::uint16_t member, absl::Time now) const;
  // Whether `member` waits for no records.
  bool Completes(std::uint16_t member) const;
  bool NeedsMirror(const Visit& visit, const FlowEntry& entry) const;

  // The entry of the flow, made anew on `server`; null if there is no room.
  FlowEntry* Keep(const Visit& visit, ServerIndex server, bool record);
  void Forget(FlowEntry& entry);
  bool MayEvict(const FlowEntry& entry, Tick tick, bool pressed) const;
  void Sweep(std::uint32_t steps, bool pressed);

  void ResolveAll(std::span<ServiceTables* const> services, absl::Time now);
  void RecordMovedFlows();
  // Tells the holders of the flow `item.id` that are not in `visited` by
  // control messages.
  void TellHolders(const Item& item, std::uint16_t visited);
  void Announce(const ServiceTables& service);
  void TakeContent(const ControlMessage& message, absl::Time now);
  void TakeRecords(const RecordGroup& group);
  void TakeClosed(FlowKey key);
  void ServeSync(std::string_view peer);
  std::size_t Append(const Item& item, ControlMessage& message) override;
  void UpdateTrust();
  void Flush(absl::Time now);
  void Activate(absl::Time now);
  Tick TickOf(absl::Time now);

  const RouterOptions options_;
  ServerRegistry registry_;
  ServiceDirectory directory_;
  Holders holders_;
  Exchange exchange_;
  Placer placer_;
  FlowTable flows_;
  config::SnapshotPtr snapshot_;
  config::Version revision_ = 0;
  // Parts of whose records this daemon may lack some.
  std::bitset<Holders::kParts> lacking_;
  bool members_known_ = false;
  // Got the records and tables of the others once.
  bool joined_ = false;
  absl::Time trusted_until_ = absl::InfinitePast();
  absl::Time noted_fresh_ = absl::InfinitePast();
  absl::Time view_changed_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
  std::int64_t origin_ms_ = 0;
  Tick tick_ = 1;
  std::uint64_t records_ = 0;
  RouterStats counts_;
  std::vector<OutgoingMessage> outgoing_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_TABLE_ROUTER_H_
