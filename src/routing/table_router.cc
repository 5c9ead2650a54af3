#include "src/routing/table_router.h"

#include <algorithm>
#include <utility>

#include "src/routing/silence.h"

namespace gcw::routing {

namespace {

// Relays of one packet at most; after that the daemon at hand decides.
constexpr std::uint8_t kMaxHops = 5;
// Daemons learn of a change of members at most this far apart.
constexpr absl::Duration kViewBound = absl::Seconds(5);
// A flow seen this lately at a daemon that is no holder still is the one that
// its entry names.
constexpr Tick kTrustedIdle = 30 * kTicksPerSecond;
// A repeated first packet comes within this time of the one before.
constexpr Tick kRetransmit = 20 * kTicksPerSecond;

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
  exchange_.Hear(header.revision);
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
  Visit visit{.packet = packet,
              .header = header,
              .service = service,
              .key = key,
              .part = Holders::PartOf(key),
              .bucket = service.At(key),
              .opening = packet.flags.syn && !packet.flags.ack,
              .closing = packet.flags.fin || packet.flags.rst,
              .tick = TickOf(now),
              .now = now};
  if (address->moved) {
    visit.bucket.base = kNoServer;
    visit.bucket.settled = false;
  }
  FlowEntry* entry = flows_.Find(key);
  if (entry != nullptr && entry->service != service.index()) {
    Forget(*entry);
    entry = nullptr;
    if (!visit.opening) {
      return Reset(ResultCode::kFlowGivenUp);
    }
  }
  if (header.placement != 0) {
    return TakePlacement(visit, entry);
  }
  if (entry != nullptr && MayLiveElsewhere(visit, *entry)) {
    Forget(*entry);
    entry = nullptr;
  }
  if (entry != nullptr && !Reopens(visit, *entry) && Trusts(visit, *entry)) {
    return Hit(visit, *entry);
  }
  return RouteWithoutEntry(visit);
}

Decision TableRouter::Hit(const Visit& visit, FlowEntry& entry) {
  const ServerIndex server = entry.server;
  if (!registry_.alive(server)) {
    entry.set(FlowEntry::kClosed);
    return Reset(ResultCode::kFlowGivenUp);
  }
  if (IsSilent(entry, registry_.at(server), options_, visit.tick)) {
    entry.set(FlowEntry::kReset);
    entry.set(FlowEntry::kClosed);
    ++counts_.silent_resets;
    return Reset(ResultCode::kFlowGivenUp);
  }
  const bool mirror = NeedsMirror(visit, entry);
  if (!visit.opening) {
    entry.set(FlowEntry::kConfirmed);
  }
  if (visit.closing) {
    entry.set(FlowEntry::kClosed);
  }
  const std::uint16_t other =
      mirror ? OtherHolder(visit, server) : Holders::kNoMember;
  if (other != Holders::kNoMember) {
    entry.last_packet = visit.tick;
    entry.last_mirrored = visit.tick;
    return Relay(visit, other, registry_.at(server).id);
  }
  NoteSent(entry, registry_.at(server), visit.packet, visit.tick);
  return Forward(visit, server, false);
}

Decision TableRouter::RouteWithoutEntry(const Visit& visit) {
  const bool fresh = Fresh(visit.now);
  if (visit.bucket.settled && fresh && !Behind()) {
    return visit.opening ? Place(visit) : ForwardToBase(visit);
  }
  // A holder whose configuration is behind still knows all records; only for a
  // new flow another daemon may choose better.
  const bool knows = holders_.Holds(holders_.self(), visit.part) && fresh &&
                     !lacking_.test(visit.part) &&
                     visit.now - view_changed_ > kViewBound;
  if (visit.opening && knows && Behind()) {
    const std::uint16_t ahead = MemberAhead(visit);
    if (ahead != Holders::kNoMember) {
      return Relay(visit, ahead, 0);
    }
  }
  if (!knows) {
    if (visit.opening && fresh && AskedToPlace(visit)) {
      return Place(visit);
    }
    // A new flow needs no daemon that still waits for records itself.
    const std::uint16_t next = NextMember(visit);
    const bool may_place =
        visit.opening && joined_ && fresh && visit.header.hops > 0;
    if (next != Holders::kNoMember && !(may_place && !Completes(next))) {
      return Relay(visit, next, 0);
    }
  }
  if (!joined_ && holders_.members().size() > 1) {
    // Others know better, and the caller will send the packet again.
    return Drop(ResultCode::kNoServer);
  }
  if (!visit.opening) {
    return ForwardToBase(visit);
  }
  if (visit.bucket.waits) {
    return Drop(ResultCode::kNoServer);
  }
  // One daemon places the new flows of a part, so that a repeated first packet
  // finds its choice.
  const std::uint16_t first = holders_.RanksOf(visit.part)[0];
  if (first != holders_.self() && first != Holders::kNoMember &&
      visit.header.hops < kMaxHops && Usable(first, visit.now) &&
      Completes(first) && (visit.header.visited & holders_.bit(first)) == 0) {
    return Relay(visit, first, 0);
  }
  return Place(visit);
}

Decision TableRouter::TakePlacement(const Visit& visit, FlowEntry* entry) {
  ServerIndex server = registry_.Find(visit.header.placement);
  const bool kept = entry != nullptr && registry_.alive(entry->server) &&
                    !Reopens(visit, *entry) && entry->has(FlowEntry::kRecord);
  if (kept && entry->server != server) {
    // Two daemons placed the flow while they did not hear each other. What was
    // here first stays, and the others are told.
    server = entry->server;
    exchange_.EnqueueAll({Item::Kind::kRecord, visit.key, 0});
  }
  if (!registry_.alive(server)) {
    return visit.header.revision > revision_ ? Drop(ResultCode::kNoServer)
                                             : Reset(ResultCode::kFlowGivenUp);
  }
  if (!visit.service.Serves(server)) {
    return Drop(ResultCode::kUnknownService);
  }
  FlowEntry* record = entry;
  if (!kept || entry->server != server) {
    record = Keep(visit, server, true);
  }
  if (record == nullptr) {
    return Drop(ResultCode::kFlowTableFull);
  }
  if (!visit.opening) {
    record->set(FlowEntry::kConfirmed);
  }
  if (visit.closing) {
    record->set(FlowEntry::kClosed);
  }
  record->last_mirrored = visit.tick;
  const std::uint16_t other = OtherHolder(visit, server);
  if (other != Holders::kNoMember) {
    record->last_packet = visit.tick;
    return Relay(visit, other, registry_.at(server).id);
  }
  if (visit.opening) {
    TellHolders({Item::Kind::kRecord, visit.key, 0}, visit.header.visited);
  }
  NoteSent(*record, registry_.at(server), visit.packet, visit.tick);
  return Forward(visit, server, false);
}

Decision TableRouter::Place(const Visit& visit) {
  const ServerIndex server = placer_.Choose(visit.service, visit.bucket,
                                            visit.key, visit.tick, visit.now);
  if (!registry_.alive(server)) {
    return Reset(ResultCode::kNoServer);
  }
  const bool record = server != visit.bucket.base;
  FlowEntry* entry = Keep(visit, server, record);
  if (entry == nullptr && record) {
    return Drop(ResultCode::kFlowTableFull);
  }
  ServerLife& life = registry_.at(server);
  ++counts_.new_flows;
  ++life.placed;
  if (record) {
    ++counts_.exceptions;
    const std::uint16_t other = OtherHolder(visit, server);
    if (other != Holders::kNoMember &&
        exchange_.RevisionOf(holders_.members()[other].name) >= life.created) {
      entry->last_mirrored = visit.tick;
      Decision decision = Relay(visit, other, life.id);
      decision.new_flow = true;
      decision.deviates_from_table = true;
      decision.server = life.address;
      decision.server_name = life.name;
      return decision;
    }
    // The other holder is not heard, or does not know the server yet.
    TellHolders({Item::Kind::kRecord, visit.key, 0}, 0);
  }
  if (entry != nullptr) {
    NoteSent(*entry, registry_.at(server), visit.packet, visit.tick);
  }
  Decision decision = Forward(visit, server, true);
  decision.deviates_from_table = record;
  return decision;
}

Decision TableRouter::ForwardToBase(const Visit& visit) {
  const ServerIndex server = visit.bucket.base;
  if (!registry_.alive(server)) {
    return Reset(ResultCode::kFlowGivenUp);
  }
  if (!visit.closing) {
    FlowEntry* entry = Keep(visit, server, false);
    if (entry != nullptr) {
      entry->set(FlowEntry::kConfirmed);
      NoteSent(*entry, registry_.at(server), visit.packet, visit.tick);
    }
  }
  return Forward(visit, server, false);
}

Decision TableRouter::Forward(const Visit& visit,
                              ServerIndex server,
                              bool new_flow) {
  const ServerLife& life = registry_.at(server);
  ++counts_.forwarded;
  Decision decision;
  decision.action = Action::kForward;
  decision.new_flow = new_flow;
  decision.server = life.address;
  decision.server_name = life.name;
  decision.service_name = visit.service.name();
  return decision;
}

Decision TableRouter::Relay(const Visit& visit,
                            std::uint16_t member,
                            ServerId placement) {
  ++counts_.relayed;
  Decision decision;
  decision.action = Action::kRelay;
  decision.service_name = visit.service.name();
  decision.member = holders_.members()[member].name;
  decision.header.hops = static_cast<std::uint8_t>(visit.header.hops + 1);
  decision.header.revision = revision_;
  decision.header.service = visit.service.id();
  decision.header.placement = placement;
  const bool first = visit.header.hops == 0;
  const bool has_entry = flows_.Find(visit.key) != nullptr;
  const bool was_placed = visit.header.placement != 0;
  decision.header.visited =
      placement != 0 && !was_placed ? 0 : visit.header.visited;
  if (placement != 0 || !first || !has_entry) {
    // A first daemon with an entry of doubtful age may be asked again.
    decision.header.visited |= holders_.bit(holders_.self());
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

bool TableRouter::Trusts(const Visit& visit, const FlowEntry& entry) const {
  if (visit.header.hops > 0 || holders_.Holds(holders_.self(), visit.part)) {
    // The first packets of all flows of an unsettled bucket pass its holders.
    return !(visit.opening && visit.header.hops == 0 &&
             !entry.has(FlowEntry::kRecord) && !visit.bucket.settled &&
             holders_.RanksOf(visit.part)[0] != holders_.self());
  }
  if (visit.bucket.settled && Fresh(visit.now) && !Behind()) {
    return true;
  }
  return !visit.opening && !entry.has(FlowEntry::kClosed) &&
         visit.tick - entry.last_packet <= kTrustedIdle;
}

bool TableRouter::MayLiveElsewhere(const Visit& visit,
                                   const FlowEntry& entry) const {
  return !visit.opening && !entry.has(FlowEntry::kConfirmed) &&
         !registry_.alive(entry.server) && holders_.members().size() > 1;
}

bool TableRouter::Reopens(const Visit& visit, const FlowEntry& entry) const {
  if (!visit.opening) {
    return false;
  }
  return entry.has(FlowEntry::kClosed) || !registry_.alive(entry.server) ||
         visit.tick - entry.last_packet > kRetransmit;
}

bool TableRouter::Fresh(absl::Time now) const {
  return joined_ && (now <= trusted_until_ ||
                     now - noted_fresh_ <= options_.freshness_bound);
}

bool TableRouter::Behind() const {
  return exchange_.heard() > revision_;
}

bool TableRouter::AskedToPlace(const Visit& visit) const {
  const std::uint16_t first = holders_.RanksOf(visit.part)[0];
  return visit.header.hops > 0 && visit.header.revision < revision_ &&
         !Behind() && !visit.bucket.waits && first != holders_.self() &&
         (visit.header.visited & holders_.bit(first)) != 0;
}

std::uint16_t TableRouter::MemberAhead(const Visit& visit) const {
  if (visit.header.hops >= kMaxHops) {
    return Holders::kNoMember;
  }
  std::uint16_t best = Holders::kNoMember;
  config::Version newest = revision_;
  for (const std::uint16_t member : holders_.RanksOf(visit.part)) {
    if (member == Holders::kNoMember || member == holders_.self() ||
        !Usable(member, visit.now) || !Completes(member)) {
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

std::uint16_t TableRouter::NextMember(const Visit& visit) const {
  if (visit.header.hops >= kMaxHops) {
    return Holders::kNoMember;
  }
  std::uint16_t incomplete = Holders::kNoMember;
  std::uint16_t unheard = Holders::kNoMember;
  for (const std::uint16_t member : holders_.RanksOf(visit.part)) {
    if (member == Holders::kNoMember) {
      break;
    }
    if (member == holders_.self() ||
        (visit.header.visited & holders_.bit(member)) != 0) {
      continue;
    }
    const Member& other = holders_.members()[member];
    if (other.state != MemberState::kSuspect &&
        exchange_.Heard(other.name, visit.now)) {
      if (Completes(member)) {
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

std::uint16_t TableRouter::OtherHolder(const Visit& visit,
                                       ServerIndex server) const {
  // A placement begins its way anew: only holders that got it are passed by.
  const bool placed = visit.header.placement != 0;
  const std::uint16_t visited = placed ? visit.header.visited : 0;
  if (visit.header.hops >= kMaxHops + 2 * Holders::kHolders) {
    return Holders::kNoMember;
  }
  const auto can_take = [&](std::uint16_t member) {
    if (member == Holders::kNoMember || member == holders_.self() ||
        (visited & holders_.bit(member)) != 0 || !Usable(member, visit.now)) {
      return false;
    }
    const std::string& name = holders_.members()[member].name;
    return exchange_.RevisionOf(name) >= registry_.at(server).created;
  };
  // Former holders go first: one that has not heard of the change sends the
  // record on to the other of them.
  if (visit.now - view_changed_ <= kViewBound) {
    for (const std::uint16_t member : holders_.FormerOf(visit.part)) {
      if (can_take(member)) {
        return member;
      }
    }
  }
  const Holders::Ranks& ranks = holders_.RanksOf(visit.part);
  for (std::size_t i = 0; i < Holders::kHolders; ++i) {
    if (can_take(ranks[i])) {
      return ranks[i];
    }
  }
  return Holders::kNoMember;
}

bool TableRouter::Usable(std::uint16_t member, absl::Time now) const {
  const Member& other = holders_.members()[member];
  return other.state == MemberState::kAlive && exchange_.Heard(other.name, now);
}

bool TableRouter::Completes(std::uint16_t member) const {
  return exchange_.Complete(holders_.members()[member].name);
}

bool TableRouter::NeedsMirror(const Visit& visit,
                              const FlowEntry& entry) const {
  if (!entry.has(FlowEntry::kRecord)) {
    return false;
  }
  if (visit.opening || visit.closing || !entry.has(FlowEntry::kConfirmed)) {
    return true;
  }
  const auto interval = static_cast<Tick>(
      absl::ToDoubleSeconds(visit.service.flow_idle()) * kTicksPerSecond / 4);
  return visit.tick - entry.last_mirrored > interval;
}

bool TableRouter::handed_over() const {
  return holders_.leaving() &&
         exchange_.Quiet(static_cast<std::uint32_t>(holders_.view()));
}

Tick TableRouter::TickOf(absl::Time now) {
  constexpr std::int64_t kTickMs = 1000 / kTicksPerSecond;
  const std::int64_t ms = absl::ToUnixMillis(now);
  if (origin_ms_ == 0) {
    origin_ms_ = ms - kTickMs;
  }
  tick_ = std::max(tick_, static_cast<Tick>((ms - origin_ms_) / kTickMs));
  return tick_;
}

}  // namespace gcw::routing
