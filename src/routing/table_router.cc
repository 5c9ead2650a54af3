#include "src/routing/table_router.h"

#include <algorithm>
#include <utility>

#include "src/routing/silence.h"

namespace gcw::routing {

namespace {

// After this many relays, the daemon that has the packet decides on it.
constexpr std::uint8_t kMaxHops = 5;
// Daemons learn of a change of members within this time of each other.
constexpr absl::Duration kMaxMembershipSkew = absl::Seconds(5);
// A daemon that is no holder routes by its entry of a flow for this long after
// the last packet. After that the addresses may belong to another flow.
constexpr Tick kMaxTrustedIdle = 30 * kTicksPerSecond;
// A repeated SYN arrives within this time of the one before; a later one opens
// a new flow.
constexpr Tick kRetransmitWindow = 20 * kTicksPerSecond;

}  // namespace

TableRouter::TableRouter(const RouterOptions& options)
    : options_(options),
      holders_(options.self, options.zone),
      exchange_(options),
      placer_(options, registry_),
      flows_(options.max_flows) {}

Decision TableRouter::OnPacket(const FlowPacket& packet, absl::Time now) {
  return Route(packet, RelayHeader{}, now);
}

Decision TableRouter::OnRelayed(const FlowPacket& packet,
                                const RelayHeader& header,
                                absl::Time now) {
  ++counts_.relay_received;
  exchange_.NoteRevision(header.revision);
  return Route(packet, header, now);
}

Decision TableRouter::Route(const FlowPacket& packet,
                            const RelayHeader& header,
                            absl::Time now) {
  const ServiceAddress* address = directory_.Find(packet.service_address);
  if (address == nullptr) {
    return Drop(ResultCode::kUnknownService);
  }
  ServiceTables& service = *address->service;
  if (header.hops > 0 && header.service != service.id()) {
    return Drop(ResultCode::kUnknownService);
  }
  const FlowKey key = FlowKeyOf(packet.source, packet.service_address);
  PacketContext context{.packet = packet,
                        .header = header,
                        .service = service,
                        .key = key,
                        .partition = Holders::PartitionOf(key),
                        .bucket = service.BucketOf(key),
                        .opening = packet.flags.syn && !packet.flags.ack,
                        .closing = packet.flags.fin || packet.flags.rst,
                        .tick = TickOf(now),
                        .now = now};
  if (address->reassigned) {
    context.bucket.base_server = kNoServer;
    context.bucket.settled = false;
  }
  FlowEntry* entry = flows_.Find(key);
  if (entry != nullptr && entry->service != service.index()) {
    EraseEntry(*entry);
    entry = nullptr;
    if (!context.opening) {
      return Reset(ResultCode::kFlowGivenUp);
    }
  }
  if (header.placement != 0) {
    return ApplyPlacement(context, entry);
  }
  if (entry != nullptr && MayBePlacedElsewhere(context, *entry)) {
    EraseEntry(*entry);
    entry = nullptr;
  }
  if (entry != nullptr && !StartsNewFlow(context, *entry) &&
      MayRouteByEntry(context, *entry)) {
    return RouteByEntry(context, *entry);
  }
  return RouteWithoutEntry(context);
}

Decision TableRouter::RouteByEntry(const PacketContext& context,
                                   FlowEntry& entry) {
  const ServerIndex server = entry.server;
  if (!registry_.accepts_packets(server)) {
    entry.set(FlowEntry::kClosed);
    return Reset(ResultCode::kFlowGivenUp);
  }
  if (IsSilent(entry, registry_.at(server), options_, context.tick)) {
    entry.set(FlowEntry::kReset);
    entry.set(FlowEntry::kClosed);
    ++counts_.silent_resets;
    return Reset(ResultCode::kFlowGivenUp);
  }
  const bool needs_mirror = NeedsMirror(context, entry);
  if (!context.opening) {
    entry.set(FlowEntry::kConfirmed);
  }
  if (context.closing) {
    entry.set(FlowEntry::kClosed);
  }
  const std::uint16_t other =
      needs_mirror ? NextHolderForRecord(context, server) : Holders::kNoMember;
  if (other != Holders::kNoMember) {
    entry.last_packet = context.tick;
    entry.last_mirrored = context.tick;
    return Relay(context, other, registry_.at(server).id);
  }
  NoteSent(entry, registry_.at(server), context.packet, context.tick);
  return Forward(context, server, false);
}

Decision TableRouter::RouteWithoutEntry(const PacketContext& context) {
  const bool fresh = IsFresh(context.now);
  if (context.bucket.settled && fresh && !IsConfigurationBehind()) {
    return context.opening ? Place(context) : ForwardToBase(context);
  }
  // A holder with an older configuration still has all records. Another daemon
  // can only choose better for a new flow.
  const bool has_all_records =
      holders_.IsHolder(holders_.self(), context.partition) && fresh &&
      !incomplete_partitions_.test(context.partition) &&
      context.now - membership_changed_at_ > kMaxMembershipSkew;
  if (context.opening && has_all_records && IsConfigurationBehind()) {
    const std::uint16_t ahead = MemberWithNewestConfiguration(context);
    if (ahead != Holders::kNoMember) {
      return Relay(context, ahead, 0);
    }
  }
  if (!has_all_records) {
    if (context.opening && fresh && AskedToPlace(context)) {
      return Place(context);
    }
    // A new flow is not relayed to a daemon that still waits for records
    // itself.
    const std::uint16_t next = NextMemberToAsk(context);
    const bool may_place =
        context.opening && joined_ && fresh && context.header.hops > 0;
    if (next != Holders::kNoMember && !(may_place && !HasAllRecords(next))) {
      return Relay(context, next, 0);
    }
  }
  if (!joined_ && holders_.members().size() > 1) {
    // Other daemons have the records and the tables, and the caller will repeat
    // the packet.
    return Drop(ResultCode::kNoServer);
  }
  if (!context.opening) {
    return ForwardToBase(context);
  }
  if (context.bucket.new_flows_wait) {
    return Drop(ResultCode::kNoServer);
  }
  // One daemon, the first holder, places the new flows of a partition, so that
  // a repeated SYN finds the earlier choice.
  const std::uint16_t first = holders_.RankedMembersOf(context.partition)[0];
  if (first != holders_.self() && first != Holders::kNoMember &&
      context.header.hops < kMaxHops && IsReachable(first, context.now) &&
      HasAllRecords(first) &&
      (context.header.visited & holders_.visited_bit(first)) == 0) {
    return Relay(context, first, 0);
  }
  return Place(context);
}

Decision TableRouter::ApplyPlacement(const PacketContext& context,
                                     FlowEntry* entry) {
  ServerIndex server = registry_.Find(context.header.placement);
  const bool kept =
      entry != nullptr && registry_.accepts_packets(entry->server) &&
      !StartsNewFlow(context, *entry) && entry->has(FlowEntry::kRecord);
  if (kept && entry->server != server) {
    // Two daemons placed the flow while they were not in contact. The record
    // that this daemon already has stays, and the peers are told of it.
    server = entry->server;
    exchange_.EnqueueAll({OutgoingItem::Kind::kRecord, context.key, 0});
  }
  if (!registry_.accepts_packets(server)) {
    return context.header.revision > revision_
               ? Drop(ResultCode::kNoServer)
               : Reset(ResultCode::kFlowGivenUp);
  }
  if (!context.service.Serves(server)) {
    return Drop(ResultCode::kUnknownService);
  }
  FlowEntry* record = entry;
  if (!kept || entry->server != server) {
    record = StoreEntry(context, server, true);
  }
  if (record == nullptr) {
    return Drop(ResultCode::kFlowTableFull);
  }
  if (!context.opening) {
    record->set(FlowEntry::kConfirmed);
  }
  if (context.closing) {
    record->set(FlowEntry::kClosed);
  }
  record->last_mirrored = context.tick;
  const std::uint16_t other = NextHolderForRecord(context, server);
  if (other != Holders::kNoMember) {
    record->last_packet = context.tick;
    return Relay(context, other, registry_.at(server).id);
  }
  if (context.opening) {
    QueueForHolders({OutgoingItem::Kind::kRecord, context.key, 0},
                    context.header.visited);
  }
  NoteSent(*record, registry_.at(server), context.packet, context.tick);
  return Forward(context, server, false);
}

Decision TableRouter::Place(const PacketContext& context) {
  const ServerIndex server = placer_.ChooseServer(
      context.service, context.bucket, context.key, context.tick, context.now);
  if (!registry_.accepts_packets(server)) {
    return Reset(ResultCode::kNoServer);
  }
  const bool record = server != context.bucket.base_server;
  FlowEntry* entry = StoreEntry(context, server, record);
  if (entry == nullptr && record) {
    return Drop(ResultCode::kFlowTableFull);
  }
  ServerIncarnation& incarnation = registry_.at(server);
  ++counts_.new_flows;
  ++incarnation.placed;
  if (record) {
    ++counts_.exceptions;
    const std::uint16_t other = NextHolderForRecord(context, server);
    if (other != Holders::kNoMember &&
        exchange_.RevisionOf(holders_.members()[other].name) >=
            incarnation.created) {
      entry->last_mirrored = context.tick;
      Decision decision = Relay(context, other, incarnation.id);
      decision.new_flow = true;
      decision.deviates_from_table = true;
      decision.server = incarnation.address;
      decision.server_name = incarnation.name;
      return decision;
    }
    // The other holder is unreachable or does not know the server yet.
    QueueForHolders({OutgoingItem::Kind::kRecord, context.key, 0}, 0);
  }
  if (entry != nullptr) {
    NoteSent(*entry, registry_.at(server), context.packet, context.tick);
  }
  Decision decision = Forward(context, server, true);
  decision.deviates_from_table = record;
  return decision;
}

Decision TableRouter::ForwardToBase(const PacketContext& context) {
  const ServerIndex server = context.bucket.base_server;
  if (!registry_.accepts_packets(server)) {
    return Reset(ResultCode::kFlowGivenUp);
  }
  if (!context.closing) {
    FlowEntry* entry = StoreEntry(context, server, false);
    if (entry != nullptr) {
      entry->set(FlowEntry::kConfirmed);
      NoteSent(*entry, registry_.at(server), context.packet, context.tick);
    }
  }
  return Forward(context, server, false);
}

Decision TableRouter::Forward(const PacketContext& context,
                              ServerIndex server,
                              bool new_flow) {
  const ServerIncarnation& incarnation = registry_.at(server);
  ++counts_.forwarded;
  Decision decision;
  decision.action = Action::kForward;
  decision.new_flow = new_flow;
  decision.server = incarnation.address;
  decision.server_name = incarnation.name;
  decision.service_name = context.service.name();
  return decision;
}

Decision TableRouter::Relay(const PacketContext& context,
                            std::uint16_t member,
                            ServerId placement) {
  ++counts_.relayed;
  Decision decision;
  decision.action = Action::kRelay;
  decision.service_name = context.service.name();
  decision.member = holders_.members()[member].name;
  decision.header.hops = static_cast<std::uint8_t>(context.header.hops + 1);
  decision.header.revision = revision_;
  decision.header.service = context.service.id();
  decision.header.placement = placement;
  const bool first = context.header.hops == 0;
  const bool has_entry = flows_.Find(context.key) != nullptr;
  const bool was_placed = context.header.placement != 0;
  decision.header.visited =
      placement != 0 && !was_placed ? 0 : context.header.visited;
  // Marks this daemon as visited. The first daemon of a packet is not marked if
  // it has an entry, so that it may be asked again although its entry may be
  // out of date.
  if (placement != 0 || !first || !has_entry) {
    decision.header.visited |= holders_.visited_bit(holders_.self());
  }
  return decision;
}

Decision TableRouter::Reset(ResultCode code) {
  ++counts_.resets;
  Decision decision;
  decision.action = Action::kReset;
  decision.code = code;
  return decision;
}

Decision TableRouter::Drop(ResultCode code) {
  ++counts_.drops;
  Decision decision;
  decision.action = Action::kDrop;
  decision.code = code;
  return decision;
}

bool TableRouter::MayRouteByEntry(const PacketContext& context,
                                  const FlowEntry& entry) const {
  if (context.header.hops > 0 ||
      holders_.IsHolder(holders_.self(), context.partition)) {
    // Flows of an unsettled bucket may have different servers, so the SYN of
    // each of these flows must pass the first holder.
    return !(context.opening && context.header.hops == 0 &&
             !entry.has(FlowEntry::kRecord) && !context.bucket.settled &&
             holders_.RankedMembersOf(context.partition)[0] != holders_.self());
  }
  if (context.bucket.settled && IsFresh(context.now) &&
      !IsConfigurationBehind()) {
    return true;
  }
  return !context.opening && !entry.has(FlowEntry::kClosed) &&
         context.tick - entry.last_packet <= kMaxTrustedIdle;
}

bool TableRouter::MayBePlacedElsewhere(const PacketContext& context,
                                       const FlowEntry& entry) const {
  return !context.opening && !entry.has(FlowEntry::kConfirmed) &&
         !registry_.accepts_packets(entry.server) &&
         holders_.members().size() > 1;
}

bool TableRouter::StartsNewFlow(const PacketContext& context,
                                const FlowEntry& entry) const {
  if (!context.opening) {
    return false;
  }
  return entry.has(FlowEntry::kClosed) ||
         !registry_.accepts_packets(entry.server) ||
         context.tick - entry.last_packet > kRetransmitWindow;
}

bool TableRouter::IsFresh(absl::Time now) const {
  return joined_ && (now <= fresh_until_ || now - configuration_current_at_ <=
                                                options_.freshness_bound);
}

bool TableRouter::IsConfigurationBehind() const {
  return exchange_.highest_known_revision() > revision_;
}

bool TableRouter::AskedToPlace(const PacketContext& context) const {
  const std::uint16_t first = holders_.RankedMembersOf(context.partition)[0];
  return context.header.hops > 0 && context.header.revision < revision_ &&
         !IsConfigurationBehind() && !context.bucket.new_flows_wait &&
         first != holders_.self() &&
         (context.header.visited & holders_.visited_bit(first)) != 0;
}

std::uint16_t TableRouter::MemberWithNewestConfiguration(
    const PacketContext& context) const {
  if (context.header.hops >= kMaxHops) {
    return Holders::kNoMember;
  }
  std::uint16_t best = Holders::kNoMember;
  config::Version newest = revision_;
  for (const std::uint16_t member :
       holders_.RankedMembersOf(context.partition)) {
    if (member == Holders::kNoMember || member == holders_.self() ||
        !IsReachable(member, context.now) || !HasAllRecords(member)) {
      continue;
    }
    const config::Version revision =
        exchange_.RevisionOf(holders_.members()[member].name);
    if (revision > newest) {
      newest = revision;
      best = member;
    }
  }
  return best;
}

std::uint16_t TableRouter::NextMemberToAsk(const PacketContext& context) const {
  if (context.header.hops >= kMaxHops) {
    return Holders::kNoMember;
  }
  std::uint16_t incomplete = Holders::kNoMember;
  std::uint16_t unheard = Holders::kNoMember;
  for (const std::uint16_t member :
       holders_.RankedMembersOf(context.partition)) {
    if (member == Holders::kNoMember) {
      break;
    }
    if (member == holders_.self() ||
        (context.header.visited & holders_.visited_bit(member)) != 0) {
      continue;
    }
    const Member& other = holders_.members()[member];
    if (other.state != MemberState::kSuspect &&
        exchange_.HeardRecently(other.name, context.now)) {
      if (HasAllRecords(member)) {
        return member;
      }
      if (incomplete == Holders::kNoMember) {
        incomplete = member;
      }
    } else if (unheard == Holders::kNoMember &&
               other.state == MemberState::kAlive) {
      unheard = member;
    }
  }
  return incomplete != Holders::kNoMember ? incomplete : unheard;
}

std::uint16_t TableRouter::NextHolderForRecord(const PacketContext& context,
                                               ServerIndex server) const {
  // A placement starts a new route, so only holders that have received it are
  // skipped.
  const bool placed = context.header.placement != 0;
  const std::uint16_t visited = placed ? context.header.visited : 0;
  // A packet with a placement may also pass the two holders and the two former
  // holders.
  if (context.header.hops >= kMaxHops + 2 * Holders::kHolderCount) {
    return Holders::kNoMember;
  }
  const auto can_take = [&](std::uint16_t member) {
    if (member == Holders::kNoMember || member == holders_.self() ||
        (visited & holders_.visited_bit(member)) != 0 ||
        !IsReachable(member, context.now)) {
      return false;
    }
    const std::string& name = holders_.members()[member].name;
    return exchange_.RevisionOf(name) >= registry_.at(server).created;
  };
  // Former holders come first: one that has not heard of the change of members
  // sends the record on to the other former holder.
  if (context.now - membership_changed_at_ <= kMaxMembershipSkew) {
    for (const std::uint16_t member :
         holders_.FormerHoldersOf(context.partition)) {
      if (can_take(member)) {
        return member;
      }
    }
  }
  const Holders::RankedMembers& ranks =
      holders_.RankedMembersOf(context.partition);
  for (std::size_t i = 0; i < Holders::kHolderCount; ++i) {
    if (can_take(ranks[i])) {
      return ranks[i];
    }
  }
  return Holders::kNoMember;
}

bool TableRouter::IsReachable(std::uint16_t member, absl::Time now) const {
  const Member& other = holders_.members()[member];
  return other.state == MemberState::kAlive &&
         exchange_.HeardRecently(other.name, now);
}

bool TableRouter::HasAllRecords(std::uint16_t member) const {
  return exchange_.HasAllRecords(holders_.members()[member].name);
}

bool TableRouter::NeedsMirror(const PacketContext& context,
                              const FlowEntry& entry) const {
  if (!entry.has(FlowEntry::kRecord)) {
    return false;
  }
  if (context.opening || context.closing || !entry.has(FlowEntry::kConfirmed)) {
    return true;
  }
  const auto interval = static_cast<Tick>(
      absl::ToDoubleSeconds(context.service.flow_idle()) * kTicksPerSecond / 4);
  return context.tick - entry.last_mirrored > interval;
}

bool TableRouter::handed_over() const {
  return holders_.leaving() &&
         exchange_.AllPeersCaughtUp(
             static_cast<std::uint32_t>(holders_.view_hash()));
}

Tick TableRouter::TickOf(absl::Time now) {
  constexpr std::int64_t kTickMs = 1000 / kTicksPerSecond;
  const std::int64_t ms = absl::ToUnixMillis(now);
  if (tick_origin_ms_ == 0) {
    tick_origin_ms_ = ms - kTickMs;
  }
  tick_ = std::max(tick_, static_cast<Tick>((ms - tick_origin_ms_) / kTickMs));
  return tick_;
}

}  // namespace gcw::routing
