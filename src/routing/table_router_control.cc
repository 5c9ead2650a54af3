// The part of TableRouter that does not decide on packets: configuration,
// members, control messages and timers.

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/routing/silence.h"
#include "src/routing/table_router.h"

namespace gcw::routing {

namespace {

// Slots of the flow table that are examined on each tick.
constexpr std::uint32_t kSweepSteps = 4096;
// Slots of the flow table that are examined when a new flow finds the table
// full.
constexpr std::uint32_t kSweepStepsWhenFull = 64;
// Percentage of `max_flows` from which entries are evicted early.
constexpr std::uint64_t kPressurePercent = 90;
// Idle time after which a half-open flow is evicted from a table that is nearly
// full.
constexpr Tick kPressureHalfOpenTimeout = 5 * kTicksPerSecond;

// Time after a record was stored or last mirrored in which a differing record
// from a peer replaces it.
constexpr Tick kCorrectionWindow = 5 * kTicksPerSecond;

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
  const bool incarnations_changed = registry_.Apply(*snapshot_);
  std::vector<ServiceTables*> changed =
      directory_.Apply(*snapshot_, registry_, now + options_.activation_bound);
  for (const ServiceTables* service : changed) {
    QueueTables(*service);
  }
  if (incarnations_changed) {
    changed.clear();
    for (const auto& service : directory_.services()) {
      changed.push_back(service.get());
    }
  }
  RecomputeServices(changed, now);
  exchange_.ScheduleHellos(now);
  Flush(now);
}

void TableRouter::ApplyMembers(std::span<const Member> members,
                               absl::Time now) {
  TickOf(now);
  std::bitset<Holders::kPartitions> before;
  for (std::uint32_t partition = 0; partition < Holders::kPartitions;
       ++partition) {
    before.set(partition, holders_.IsHolder(holders_.self(), partition));
  }
  members_known_ = true;
  const bool changed = holders_.Apply(members);
  exchange_.Apply(holders_.members(), now);
  if (!changed && joined_) {
    return;
  }
  membership_changed_at_ = now;
  bool lacks = false;
  for (std::uint32_t partition = 0; partition < Holders::kPartitions;
       ++partition) {
    const bool holds = holders_.IsHolder(holders_.self(), partition);
    if (holds && (!before.test(partition) || !joined_)) {
      incomplete_partitions_.set(partition);
      lacks = true;
    }
  }
  if (lacks || !joined_) {
    exchange_.RequestSync(true, now);
  }
  UpdateFreshness();
}

void TableRouter::NoteConfigurationCurrent(absl::Time now) {
  configuration_current_at_ = std::max(configuration_current_at_, now);
}

void TableRouter::SetServerShareLimits(std::span<const ServerShareLimit> limits,
                                       absl::Time now) {
  for (ServerIndex i = 0; i < registry_.size(); ++i) {
    registry_.at(i).share_limit = 1.0;
  }
  std::vector<ServiceTables*> changed;
  for (const ServerShareLimit& limit : limits) {
    const ServerIndex server = registry_.FindByName(limit.server);
    if (server == kNoServer) {
      continue;
    }
    ServerIncarnation& incarnation = registry_.at(server);
    incarnation.share_limit = std::clamp(limit.share, 0.0, 1.0);
    if (incarnation.share_limit >= 1.0) {
      continue;
    }
    for (const auto& service : directory_.services()) {
      if (service->Serves(server) &&
          service->AllowDeviation(incarnation.id,
                                  now + options_.activation_bound)) {
        exchange_.EnqueueAll(
            {OutgoingItem::Kind::kDeviation, service->id(), incarnation.id});
        changed.push_back(service.get());
      }
    }
  }
  RecomputeServices(changed, now);
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
  ServerIncarnation& incarnation = registry_.at(index);
  const FlowKey key = FlowKeyOf(reply.source, reply.service_address);
  FlowEntry* entry = flows_.Find(key);
  if (entry == nullptr) {
    NoteServerReply(incarnation, tick);
    return {true, ResultCode::kOk};
  }
  if (entry->server != index || entry->service != address->service->index()) {
    ++counts_.refused_replies;
    return {false, ResultCode::kFlowGivenUp};
  }
  NoteFlowReply(*entry, incarnation, tick);
  if (reply.flags.fin || reply.flags.rst) {
    entry->set(FlowEntry::kClosed);
  }
  if (reply.flags.rst && entry->has(FlowEntry::kRecord)) {
    for (const std::uint16_t member :
         holders_.RankedMembersOf(Holders::PartitionOf(key))) {
      if (member != Holders::kNoMember && member != holders_.self() &&
          holders_.IsHolder(member, Holders::PartitionOf(key))) {
        exchange_.Enqueue(holders_.members()[member].name,
                          {OutgoingItem::Kind::kClosed, key, 0});
      }
    }
  }
  return {true, ResultCode::kOk};
}

void TableRouter::OnMessage(std::string_view from,
                            std::span<const std::uint8_t> bytes,
                            absl::Time now) {
  TickOf(now);
  const config::Version highest_before = exchange_.highest_known_revision();
  const std::optional<ControlMessage> message =
      exchange_.Receive(from, bytes, now);
  if (!message) {
    return;
  }
  ApplyContent(*message, now);
  Activate(now);
  const auto view_hash = static_cast<std::uint32_t>(holders_.view_hash());
  for (std::string peer = exchange_.TakePeerToSync(view_hash); !peer.empty();
       peer = exchange_.TakePeerToSync(view_hash)) {
    QueueSync(peer);
  }
  if (exchange_.highest_known_revision() > highest_before) {
    // Sends hellos at once: a change takes effect as soon as all daemons know
    // of it.
    exchange_.ScheduleHellos(now);
    Flush(now);
  }
  UpdateFreshness();
}

void TableRouter::OnTick(absl::Time now) {
  TickOf(now);
  if (joined_ && !IsFresh(now) && !exchange_.syncing()) {
    // Other daemons may have placed flows without telling this one.
    incomplete_partitions_.set();
    exchange_.RequestSync(false, now);
  }
  last_tick_ = now;
  Activate(now);
  Sweep(kSweepSteps,
        100ULL * flows_.size() > kPressurePercent * flows_.max_flows());
  Flush(now);
  UpdateFreshness();
}

void TableRouter::Activate(absl::Time now) {
  const config::Version known_by_all =
      exchange_.revision_known_by_all(revision_);
  std::vector<ServiceTables*> changed;
  for (const auto& service : directory_.services()) {
    if (!service->pending()) {
      continue;
    }
    const std::vector<ServerIndex> added_servers =
        service->ServersAddedByNewest();
    if (!service->Activate(known_by_all, now)) {
      continue;
    }
    changed.push_back(service.get());
    for (const ServerIndex server : added_servers) {
      if (registry_.accepts_packets(server)) {
        registry_.at(server).ramp_start_tick = tick_;
      }
    }
  }
  RecomputeServices(changed, now);
}

void TableRouter::Flush(absl::Time now) {
  LocalState own;
  own.revision = revision_;
  own.view_hash = static_cast<std::uint32_t>(holders_.view_hash());
  own.records_complete = !exchange_.syncing();
  exchange_.Flush(own, *this, now, outgoing_);
}

std::vector<OutgoingMessage> TableRouter::TakeMessages() {
  return std::exchange(outgoing_, {});
}

FlowEntry* TableRouter::StoreEntry(const PacketContext& context,
                                   ServerIndex server,
                                   bool record) {
  FlowEntry* entry = flows_.Insert(context.key);
  if (entry == nullptr) {
    Sweep(kSweepStepsWhenFull, true);
    entry = flows_.Insert(context.key);
  }
  if (entry == nullptr) {
    return nullptr;
  }
  if (entry->server != kNoServer) {
    --registry_.at(entry->server).flows;
    records_ -= entry->has(FlowEntry::kRecord) ? 1 : 0;
  }
  *entry = FlowEntry{};
  entry->key = context.key;
  entry->server = server;
  entry->service = context.service.index();
  entry->last_packet = context.tick;
  entry->flags = record ? FlowEntry::kRecord : 0;
  ++registry_.at(server).flows;
  records_ += record ? 1 : 0;
  return entry;
}

void TableRouter::EraseEntry(FlowEntry& entry) {
  --registry_.at(entry.server).flows;
  records_ -= entry.has(FlowEntry::kRecord) ? 1 : 0;
  flows_.Erase(entry.key);
}

bool TableRouter::MayEvict(const FlowEntry& entry,
                           Tick tick,
                           bool under_pressure) const {
  const Tick idle = tick - entry.last_packet;
  if (entry.has(FlowEntry::kClosed) ||
      !registry_.accepts_packets(entry.server)) {
    return idle > ToTicks(options_.closed_timeout);
  }
  if (under_pressure && !entry.has(FlowEntry::kRecord)) {
    // Without its entry the flow goes to the base server of its bucket, which
    // is the same server.
    return true;
  }
  if (!entry.has(FlowEntry::kConfirmed)) {
    return idle > (under_pressure ? kPressureHalfOpenTimeout
                                  : ToTicks(options_.half_open_timeout));
  }
  return idle > ToTicks(directory_.at(entry.service).flow_idle());
}

void TableRouter::Sweep(std::uint32_t steps, bool under_pressure) {
  counts_.evictions += flows_.Sweep(steps, [&](const FlowEntry& entry) {
    if (!MayEvict(entry, tick_, under_pressure)) {
      return false;
    }
    --registry_.at(entry.server).flows;
    records_ -= entry.has(FlowEntry::kRecord) ? 1 : 0;
    return true;
  });
}

void TableRouter::RecomputeServices(std::span<ServiceTables* const> services,
                                    absl::Time now) {
  bool moved = false;
  for (ServiceTables* service : services) {
    moved |= service->Recompute(registry_, now);
  }
  if (moved) {
    RecordMovedFlows();
  }
}

void TableRouter::RecordMovedFlows() {
  for (FlowEntry& entry : flows_.slots()) {
    if (entry.key == 0 || entry.has(FlowEntry::kRecord) ||
        !registry_.accepts_packets(entry.server) ||
        directory_.at(entry.service).BucketOf(entry.key).base_server ==
            entry.server) {
      continue;
    }
    entry.set(FlowEntry::kRecord);
    ++records_;
    QueueForHolders({OutgoingItem::Kind::kRecord, entry.key, 0}, 0);
  }
}

void TableRouter::QueueForHolders(const OutgoingItem& item,
                                  std::uint16_t visited) {
  const Holders::RankedMembers& ranks =
      holders_.RankedMembersOf(Holders::PartitionOf(item.id));
  for (std::size_t i = 0; i < Holders::kHolderCount; ++i) {
    if (ranks[i] != Holders::kNoMember && ranks[i] != holders_.self() &&
        (visited & holders_.visited_bit(ranks[i])) == 0) {
      exchange_.Enqueue(holders_.members()[ranks[i]].name, item);
    }
  }
}

void TableRouter::QueueTables(const ServiceTables& service) {
  if (service.table_count() < 2) {
    return;
  }
  for (const TableSpec& spec : service.Specs()) {
    if (spec.revision + 1 > revision_) {
      exchange_.EnqueueAll(
          {OutgoingItem::Kind::kTable, service.id(), spec.revision});
    }
  }
}

void TableRouter::ApplyContent(const ControlMessage& message, absl::Time now) {
  std::vector<ServiceTables*> changed;
  for (const TableNotice& notice : message.tables) {
    ServiceTables* service = directory_.FindById(notice.service);
    if (service == nullptr || service->table_count() == 0) {
      continue;
    }
    // A newer table of a peer becomes active on this daemon as well, although
    // its own configuration may be seconds behind.
    if (service->ScheduleTable(notice.spec, registry_,
                               now + options_.activation_bound)) {
      changed.push_back(service);
    }
  }
  for (const DeviationNotice& notice : message.deviations) {
    ServiceTables* service = directory_.FindById(notice.service);
    if (service != nullptr &&
        service->AllowDeviation(notice.server,
                                now + options_.activation_bound)) {
      changed.push_back(service);
    }
  }
  RecomputeServices(changed, now);
  for (const RecordGroup& group : message.records) {
    ApplyRecords(group);
  }
  for (const FlowKey key : message.closed) {
    MarkClosed(key);
  }
}

void TableRouter::ApplyRecords(const RecordGroup& group) {
  const ServiceTables* service = directory_.FindById(group.service);
  const ServerIndex server = registry_.Find(group.server);
  if (service == nullptr || !registry_.accepts_packets(server) ||
      !service->Serves(server)) {
    return;
  }
  for (const FlowKey key : group.flows) {
    FlowEntry* entry = key == 0 ? nullptr : flows_.Insert(key);
    if (entry == nullptr) {
      continue;
    }
    const bool is_new = entry->server == kNoServer;
    const bool known = !is_new && entry->has(FlowEntry::kRecord) &&
                       entry->has(FlowEntry::kConfirmed) &&
                       registry_.accepts_packets(entry->server);
    // A record with another server replaces one that was stored or mirrored
    // within kCorrectionWindow.
    const bool replaces = known && entry->server != server &&
                          tick_ - entry->last_mirrored < kCorrectionWindow;
    if (known && !replaces) {
      continue;
    }
    if (!is_new) {
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

void TableRouter::MarkClosed(FlowKey key) {
  FlowEntry* entry = flows_.Find(key);
  if (entry != nullptr && entry->has(FlowEntry::kRecord)) {
    entry->set(FlowEntry::kClosed);
  }
}

void TableRouter::QueueSync(std::string_view peer) {
  for (const auto& service : directory_.services()) {
    if (service->table_count() > 1 || !service->settled()) {
      for (const TableSpec& spec : service->Specs()) {
        exchange_.Enqueue(
            peer, {OutgoingItem::Kind::kTable, service->id(), spec.revision});
      }
    }
    for (const ServerId server : service->DeviatingServers()) {
      exchange_.Enqueue(
          peer, {OutgoingItem::Kind::kDeviation, service->id(), server});
    }
  }
  const std::uint16_t member = holders_.Find(peer);
  for (const FlowEntry& entry : std::as_const(flows_).slots()) {
    if (entry.key != 0 && entry.has(FlowEntry::kRecord) &&
        !entry.has(FlowEntry::kClosed) &&
        registry_.accepts_packets(entry.server) &&
        holders_.IsHolder(member, Holders::PartitionOf(entry.key))) {
      exchange_.Enqueue(peer, {OutgoingItem::Kind::kRecord, entry.key, 0});
    }
  }
  exchange_.FinishSync(peer);
}

std::size_t TableRouter::AppendItem(const OutgoingItem& item,
                                    ControlMessage& message) {
  // Approximate encoded sizes of the parts of a message.
  constexpr std::size_t kTableBytes = 24;
  constexpr std::size_t kWeightedServerBytes = 12;
  constexpr std::size_t kGroupBytes = 22;
  constexpr std::size_t kKeyBytes = 8;
  if (item.kind == OutgoingItem::Kind::kClosed) {
    message.closed.push_back(item.id);
    return kKeyBytes;
  }
  if (item.kind == OutgoingItem::Kind::kDeviation) {
    message.deviations.push_back({item.id, item.detail});
    return 2 * kKeyBytes + 3;
  }
  if (item.kind == OutgoingItem::Kind::kTable) {
    const ServiceTables* service = directory_.FindById(item.id);
    const std::vector<TableSpec> specs =
        service == nullptr ? std::vector<TableSpec>{} : service->Specs();
    for (const TableSpec& spec : specs) {
      if (spec.revision == item.detail) {
        message.tables.push_back({item.id, spec});
        return kTableBytes +
               kWeightedServerBytes * spec.weighted_servers.size() +
               kKeyBytes * spec.out_servers.size();
      }
    }
    return 0;
  }
  const FlowEntry* entry = flows_.Find(item.id);
  if (entry == nullptr || !registry_.accepts_packets(entry->server)) {
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

void TableRouter::UpdateFreshness() {
  fresh_until_ = exchange_.FreshUntil();
  if (members_known_ && !exchange_.syncing()) {
    incomplete_partitions_.reset();
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
    const ServerIncarnation& incarnation = registry_.at(i);
    if (incarnation.accepts_packets || incarnation.flows > 0) {
      stats.servers.push_back(
          {incarnation.name, incarnation.flows, incarnation.placed});
    }
  }
  stats.control_bytes = exchange_.bytes_sent();
  stats.control_messages = exchange_.messages_sent();
  stats.bad_messages = exchange_.bad_messages();
  stats.fresh = IsFresh(last_tick_) && !IsConfigurationBehind();
  stats.complete = joined_ && incomplete_partitions_.none();
  return stats;
}

}  // namespace gcw::routing
