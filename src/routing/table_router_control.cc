// The slow path of TableRouter: configuration, members, messages and timers.

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/routing/silence.h"
#include "src/routing/table_router.h"

namespace gcw::routing {

namespace {

// Flow slots looked at on each tick.
constexpr std::uint32_t kSweepSteps = 4096;
// Slots looked at when a new flow finds no room.
constexpr std::uint32_t kPressedSteps = 64;
// A table this full makes room before it has to, in per cent.
constexpr std::uint64_t kPressedPercent = 90;
// A half-open flow may be forgotten this soon under pressure.
constexpr Tick kPressedHalfOpen = 5 * kTicksPerSecond;

// A record may be corrected by a peer for this long.
constexpr Tick kCorrectable = 5 * kTicksPerSecond;

Tick ToTicks(absl::Duration duration) {
  return static_cast<Tick>(absl::ToDoubleSeconds(duration) * kTicksPerSecond);
}

}  // namespace

void TableRouter::ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) {
  if (snapshot_ != nullptr && snapshot->revision <= revision_) {
    return;
  }
  TickOf(now);
  snapshot_ = std::move(snapshot);
  revision_ = snapshot_->revision;
  const bool lives_changed = registry_.Apply(*snapshot_);
  std::vector<ServiceTables*> changed =
      directory_.Apply(*snapshot_, registry_, now + options_.activation_bound);
  for (const ServiceTables* service : changed) {
    Announce(*service);
  }
  if (lives_changed) {
    changed.clear();
    for (const auto& service : directory_.services()) {
      changed.push_back(service.get());
    }
  }
  ResolveAll(changed, now);
  exchange_.HelloSoon(now);
  Flush(now);
}

void TableRouter::ApplyMembers(std::span<const Member> members,
                               absl::Time now) {
  TickOf(now);
  std::bitset<Holders::kParts> before;
  for (std::uint32_t part = 0; part < Holders::kParts; ++part) {
    before.set(part, holders_.Holds(holders_.self(), part));
  }
  members_known_ = true;
  const bool changed = holders_.Apply(members);
  exchange_.Apply(holders_.members(), now);
  if (!changed && joined_) {
    return;
  }
  view_changed_ = now;
  bool lacks = false;
  for (std::uint32_t part = 0; part < Holders::kParts; ++part) {
    const bool holds = holders_.Holds(holders_.self(), part);
    if (holds && (!before.test(part) || !joined_)) {
      lacking_.set(part);
      lacks = true;
    }
  }
  if (lacks || !joined_) {
    exchange_.RequestSync(true, now);
  }
  UpdateTrust();
}

void TableRouter::NoteConfigurationCurrent(absl::Time now) {
  noted_fresh_ = std::max(noted_fresh_, now);
}

void TableRouter::SetServerShareLimits(std::span<const ServerShareLimit> hints,
                                       absl::Time now) {
  for (ServerIndex i = 0; i < registry_.size(); ++i) {
    registry_.at(i).hint = 1.0;
  }
  std::vector<ServiceTables*> changed;
  for (const ServerShareLimit& hint : hints) {
    const ServerIndex server = registry_.FindByName(hint.server);
    if (server == kNoServer) {
      continue;
    }
    ServerLife& life = registry_.at(server);
    life.hint = std::clamp(hint.share, 0.0, 1.0);
    if (life.hint >= 1.0) {
      continue;
    }
    for (const auto& service : directory_.services()) {
      if (service->Serves(server) &&
          service->MarkDirty(life.id, now + options_.activation_bound)) {
        exchange_.EnqueueAll({Item::Kind::kDirty, service->id(), life.id});
        changed.push_back(service.get());
      }
    }
  }
  ResolveAll(changed, now);
}

ReplyDecision TableRouter::OnReply(const Endpoint& server,
                                   const FlowPacket& reply,
                                   absl::Time now) {
  const Tick tick = TickOf(now);
  const ServiceAddress* address = directory_.Find(reply.service_address);
  const ServerIndex index = registry_.FindByAddress(server);
  if (address == nullptr || index == kNoServer ||
      !address->service->Serves(index)) {
    ++counts_.refused_replies;
    return {false, ResultCode::kUnknownService};
  }
  ServerLife& life = registry_.at(index);
  const FlowKey key = FlowKeyOf(reply.source, reply.service_address);
  FlowEntry* entry = flows_.Find(key);
  if (entry == nullptr) {
    NoteReply(life, tick);
    return {true, ResultCode::kOk};
  }
  if (entry->server != index || entry->service != address->service->index()) {
    ++counts_.refused_replies;
    return {false, ResultCode::kFlowGivenUp};
  }
  NoteAnswered(*entry, life, tick);
  if (reply.flags.fin || reply.flags.rst) {
    entry->set(FlowEntry::kClosed);
  }
  if (reply.flags.rst && entry->has(FlowEntry::kRecord)) {
    for (const std::uint16_t member : holders_.RanksOf(Holders::PartOf(key))) {
      if (member != Holders::kNoMember && member != holders_.self() &&
          holders_.Holds(member, Holders::PartOf(key))) {
        exchange_.Enqueue(holders_.members()[member].name,
                          {Item::Kind::kClosed, key, 0});
      }
    }
  }
  return {true, ResultCode::kOk};
}

void TableRouter::OnMessage(std::string_view from,
                            std::span<const std::uint8_t> bytes,
                            absl::Time now) {
  TickOf(now);
  const config::Version heard_before = exchange_.heard();
  const std::optional<ControlMessage> message =
      exchange_.Receive(from, bytes, now);
  if (!message) {
    return;
  }
  TakeContent(*message, now);
  Activate(now);
  const auto view = static_cast<std::uint32_t>(holders_.view());
  for (std::string peer = exchange_.TakeSyncRequest(view); !peer.empty();
       peer = exchange_.TakeSyncRequest(view)) {
    ServeSync(peer);
  }
  if (exchange_.heard() > heard_before) {
    // The sooner all know of a change, the sooner it comes into force.
    exchange_.HelloSoon(now);
    Flush(now);
  }
  UpdateTrust();
}

void TableRouter::OnTick(absl::Time now) {
  TickOf(now);
  if (joined_ && !Fresh(now) && !exchange_.syncing()) {
    // Others may have placed flows without this daemon.
    lacking_.set();
    exchange_.RequestSync(false, now);
  }
  last_tick_ = now;
  Activate(now);
  Sweep(kSweepSteps,
        100ULL * flows_.size() > kPressedPercent * flows_.max_flows());
  Flush(now);
  UpdateTrust();
}

void TableRouter::Activate(absl::Time now) {
  const config::Version heard = exchange_.heard_by_all(revision_);
  std::vector<ServiceTables*> changed;
  for (const auto& service : directory_.services()) {
    if (!service->pending()) {
      continue;
    }
    const std::vector<ServerIndex> arriving = service->Arriving();
    if (!service->Activate(heard, now)) {
      continue;
    }
    changed.push_back(service.get());
    for (const ServerIndex server : arriving) {
      if (registry_.alive(server)) {
        registry_.at(server).ramp_from = tick_;
      }
    }
  }
  ResolveAll(changed, now);
}

void TableRouter::Flush(absl::Time now) {
  OwnState own;
  own.revision = revision_;
  own.view = static_cast<std::uint32_t>(holders_.view());
  own.complete = !exchange_.syncing();
  exchange_.Flush(own, *this, now, outgoing_);
}

std::vector<OutgoingMessage> TableRouter::TakeMessages() {
  return std::exchange(outgoing_, {});
}

FlowEntry* TableRouter::Keep(const Visit& visit,
                             ServerIndex server,
                             bool record) {
  FlowEntry* entry = flows_.Insert(visit.key);
  if (entry == nullptr) {
    Sweep(kPressedSteps, true);
    entry = flows_.Insert(visit.key);
  }
  if (entry == nullptr) {
    return nullptr;
  }
  if (entry->server != kNoServer) {
    --registry_.at(entry->server).flows;
    records_ -= entry->has(FlowEntry::kRecord) ? 1 : 0;
  }
  *entry = FlowEntry{};
  entry->key = visit.key;
  entry->server = server;
  entry->service = visit.service.index();
  entry->last_packet = visit.tick;
  entry->flags = record ? FlowEntry::kRecord : 0;
  ++registry_.at(server).flows;
  records_ += record ? 1 : 0;
  return entry;
}

void TableRouter::Forget(FlowEntry& entry) {
  --registry_.at(entry.server).flows;
  records_ -= entry.has(FlowEntry::kRecord) ? 1 : 0;
  flows_.Erase(entry.key);
}

bool TableRouter::MayEvict(const FlowEntry& entry,
                           Tick tick,
                           bool pressed) const {
  const Tick idle = tick - entry.last_packet;
  if (entry.has(FlowEntry::kClosed) || !registry_.alive(entry.server)) {
    return idle > ToTicks(options_.closed);
  }
  if (pressed && !entry.has(FlowEntry::kRecord)) {
    // The base table tells it again.
    return true;
  }
  if (!entry.has(FlowEntry::kConfirmed)) {
    return idle > (pressed ? kPressedHalfOpen : ToTicks(options_.half_open));
  }
  return idle > ToTicks(directory_.at(entry.service).flow_idle());
}

void TableRouter::Sweep(std::uint32_t steps, bool pressed) {
  counts_.evictions += flows_.Sweep(steps, [&](const FlowEntry& entry) {
    if (!MayEvict(entry, tick_, pressed)) {
      return false;
    }
    --registry_.at(entry.server).flows;
    records_ -= entry.has(FlowEntry::kRecord) ? 1 : 0;
    return true;
  });
}

void TableRouter::ResolveAll(std::span<ServiceTables* const> services,
                             absl::Time now) {
  bool moved = false;
  for (ServiceTables* service : services) {
    moved |= service->Resolve(registry_, now);
  }
  if (moved) {
    RecordMovedFlows();
  }
}

void TableRouter::RecordMovedFlows() {
  for (FlowEntry& entry : flows_.slots()) {
    if (entry.key == 0 || entry.has(FlowEntry::kRecord) ||
        !registry_.alive(entry.server) ||
        directory_.at(entry.service).At(entry.key).base == entry.server) {
      continue;
    }
    entry.set(FlowEntry::kRecord);
    ++records_;
    TellHolders({Item::Kind::kRecord, entry.key, 0}, 0);
  }
}

void TableRouter::TellHolders(const Item& item, std::uint16_t visited) {
  const Holders::Ranks& ranks = holders_.RanksOf(Holders::PartOf(item.id));
  for (std::size_t i = 0; i < Holders::kHolders; ++i) {
    if (ranks[i] != Holders::kNoMember && ranks[i] != holders_.self() &&
        (visited & holders_.bit(ranks[i])) == 0) {
      exchange_.Enqueue(holders_.members()[ranks[i]].name, item);
    }
  }
}

void TableRouter::Announce(const ServiceTables& service) {
  if (service.table_count() < 2) {
    return;
  }
  for (const TableSpec& spec : service.Specs()) {
    if (spec.revision + 1 > revision_) {
      exchange_.EnqueueAll({Item::Kind::kTable, service.id(), spec.revision});
    }
  }
}

void TableRouter::TakeContent(const ControlMessage& message, absl::Time now) {
  std::vector<ServiceTables*> changed;
  for (const TableNotice& notice : message.tables) {
    ServiceTables* service = directory_.FindById(notice.service);
    if (service == nullptr || service->table_count() == 0) {
      continue;
    }
    // A newer table of a peer comes into force here as well, although this
    // daemon's own configuration may be seconds behind.
    if (service->Announce(notice.spec, registry_,
                          now + options_.activation_bound)) {
      changed.push_back(service);
    }
  }
  for (const DirtyNotice& notice : message.dirty) {
    ServiceTables* service = directory_.FindById(notice.service);
    if (service != nullptr &&
        service->MarkDirty(notice.server, now + options_.activation_bound)) {
      changed.push_back(service);
    }
  }
  ResolveAll(changed, now);
  for (const RecordGroup& group : message.records) {
    TakeRecords(group);
  }
  for (const FlowKey key : message.closed) {
    TakeClosed(key);
  }
}

void TableRouter::TakeRecords(const RecordGroup& group) {
  const ServiceTables* service = directory_.FindById(group.service);
  const ServerIndex server = registry_.Find(group.server);
  if (service == nullptr || !registry_.alive(server) ||
      !service->Serves(server)) {
    return;
  }
  for (const FlowKey key : group.flows) {
    FlowEntry* entry = key == 0 ? nullptr : flows_.Insert(key);
    if (entry == nullptr) {
      continue;
    }
    const bool fresh = entry->server == kNoServer;
    const bool known = !fresh && entry->has(FlowEntry::kRecord) &&
                       entry->has(FlowEntry::kConfirmed) &&
                       registry_.alive(entry->server);
    // A record of another server corrects one that was made just now.
    const bool wins = known && entry->server != server &&
                      tick_ - entry->last_mirrored < kCorrectable;
    if (known && !wins) {
      continue;
    }
    if (!fresh) {
      --registry_.at(entry->server).flows;
      records_ -= entry->has(FlowEntry::kRecord) ? 1 : 0;
    }
    *entry = FlowEntry{};
    entry->key = key;
    entry->server = server;
    entry->service = service->index();
    entry->last_packet = tick_;
    entry->last_mirrored = tick_;
    entry->flags = FlowEntry::kRecord | FlowEntry::kConfirmed;
    ++registry_.at(server).flows;
    ++records_;
  }
}

void TableRouter::TakeClosed(FlowKey key) {
  FlowEntry* entry = flows_.Find(key);
  if (entry != nullptr && entry->has(FlowEntry::kRecord)) {
    entry->set(FlowEntry::kClosed);
  }
}

void TableRouter::ServeSync(std::string_view peer) {
  for (const auto& service : directory_.services()) {
    if (service->table_count() > 1 || !service->settled()) {
      for (const TableSpec& spec : service->Specs()) {
        exchange_.Enqueue(peer,
                          {Item::Kind::kTable, service->id(), spec.revision});
      }
    }
    for (const ServerId server : service->Dirty()) {
      exchange_.Enqueue(peer, {Item::Kind::kDirty, service->id(), server});
    }
  }
  const std::uint16_t member = holders_.Find(peer);
  for (const FlowEntry& entry : std::as_const(flows_).slots()) {
    if (entry.key != 0 && entry.has(FlowEntry::kRecord) &&
        !entry.has(FlowEntry::kClosed) && registry_.alive(entry.server) &&
        holders_.Holds(member, Holders::PartOf(entry.key))) {
      exchange_.Enqueue(peer, {Item::Kind::kRecord, entry.key, 0});
    }
  }
  exchange_.FinishServing(peer);
}

std::size_t TableRouter::Append(const Item& item, ControlMessage& message) {
  constexpr std::size_t kTableBytes = 24;
  constexpr std::size_t kShareBytes = 12;
  constexpr std::size_t kGroupBytes = 22;
  constexpr std::size_t kKeyBytes = 8;
  if (item.kind == Item::Kind::kClosed) {
    message.closed.push_back(item.id);
    return kKeyBytes;
  }
  if (item.kind == Item::Kind::kDirty) {
    message.dirty.push_back({item.id, item.detail});
    return 2 * kKeyBytes + 3;
  }
  if (item.kind == Item::Kind::kTable) {
    const ServiceTables* service = directory_.FindById(item.id);
    const std::vector<TableSpec> specs =
        service == nullptr ? std::vector<TableSpec>{} : service->Specs();
    for (const TableSpec& spec : specs) {
      if (spec.revision == item.detail) {
        message.tables.push_back({item.id, spec});
        return kTableBytes + kShareBytes * spec.shares.size() +
               kKeyBytes * spec.out.size();
      }
    }
    return 0;
  }
  const FlowEntry* entry = flows_.Find(item.id);
  if (entry == nullptr || !registry_.alive(entry->server)) {
    return 0;
  }
  const ServiceId service = directory_.at(entry->service).id();
  const ServerId server = registry_.at(entry->server).id;
  for (RecordGroup& group : message.records) {
    if (group.service == service && group.server == server) {
      group.flows.push_back(item.id);
      return kKeyBytes;
    }
  }
  message.records.push_back({service, server, {item.id}});
  return kGroupBytes + kKeyBytes;
}

void TableRouter::UpdateTrust() {
  trusted_until_ = exchange_.FreshUntil();
  if (members_known_ && !exchange_.syncing()) {
    lacking_.reset();
    joined_ = true;
  }
}

RouterStats TableRouter::Stats() const {
  RouterStats stats = counts_;
  stats.revision = revision_;
  stats.flows = flows_.size();
  stats.records = records_;
  stats.flow_bytes = flows_.bytes();
  stats.services = directory_.services().size();
  for (const auto& service : directory_.services()) {
    stats.buckets += service->bucket_count();
    stats.unsettled_buckets += service->unsettled_count();
    stats.tables += service->table_count();
    stats.table_bytes += service->bytes();
  }
  for (ServerIndex i = 0; i < registry_.size(); ++i) {
    const ServerLife& life = registry_.at(i);
    if (life.alive || life.flows > 0) {
      stats.servers.push_back({life.name, life.flows, life.placed});
    }
  }
  stats.control_bytes = exchange_.bytes_sent();
  stats.control_messages = exchange_.messages_sent();
  stats.bad_messages = exchange_.bad_messages();
  stats.fresh = Fresh(last_tick_) && !Behind();
  stats.complete = joined_ && lacking_.none();
  return stats;
}

}  // namespace gcw::routing
