#include "src/routing/service_tables.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace gcw::routing {

namespace {

// Binary logarithm of the number of parts of the hash space that are marked
// when an epoch is evicted.
constexpr unsigned kEvictedMarkBits = 10;

// Returns the smallest key of `bucket` in a table of 2^`bits` buckets.
FlowKey FirstKeyIn(std::uint32_t bucket, unsigned bits) {
  return static_cast<FlowKey>(bucket) << (64U - bits);
}

}  // namespace

TableSpec SpecOf(const config::Snapshot& snapshot,
                 const config::Service& service) {
  TableSpec spec;
  spec.revision = snapshot.revision;
  for (const config::ServiceMember& member : service.servers) {
    const auto found = snapshot.servers.find(member.server);
    if (found == snapshot.servers.end()) {
      continue;
    }
    const config::BackendServer& server = found->second;
    const ServerId id = ServerIdOf(server);
    if (!AcceptsPackets(snapshot, server)) {
      spec.out_servers.push_back(id);
      continue;
    }
    if (server.state == config::ServerState::kIn && member.weight > 0) {
      spec.weighted_servers.push_back({id, member.weight});
    }
  }
  std::sort(spec.out_servers.begin(), spec.out_servers.end());
  std::sort(spec.weighted_servers.begin(), spec.weighted_servers.end(),
            [](const WeightedServer& a, const WeightedServer& b) {
              return a.server < b.server;
            });
  const auto last =
      std::unique(spec.weighted_servers.begin(), spec.weighted_servers.end(),
                  [](const WeightedServer& a, const WeightedServer& b) {
                    return a.server == b.server;
                  });
  spec.weighted_servers.erase(last, spec.weighted_servers.end());
  return spec;
}

ServerIndex ServiceTables::Epoch::ServerOf(FlowKey key) const {
  const std::uint16_t position = table.At(key);
  return position == Table::kNoPosition ? kNoServer : servers[position];
}

ServiceTables::ServiceTables(std::uint32_t index, std::string name)
    : index_(index),
      name_(std::move(name)),
      id_(ServiceIdOf(name_)),
      bucket_bits_(1),
      buckets_(2),
      evicted_marks_(1U << kEvictedMarkBits) {}

bool ServiceTables::ScheduleTable(const TableSpec& spec,
                                  const ServerRegistry& registry,
                                  absl::Time activate_at) {
  const bool first = epochs_.empty();
  const bool added = AddTable(spec, registry);
  const config::Version revision = RevisionOf(spec);
  if (first) {
    current_revision_ = revision;
    return added;
  }
  const bool already_pending = std::any_of(
      pending_.begin(), pending_.end(),
      [&](const PendingEpoch& p) { return p.revision >= revision; });
  if (revision > current_revision_ && !already_pending) {
    pending_.push_back({revision, activate_at});
  }
  return added;
}

bool ServiceTables::AddTable(const TableSpec& spec,
                             const ServerRegistry& registry) {
  const auto place = std::lower_bound(
      epochs_.begin(), epochs_.end(), spec.revision,
      [](const Epoch& e, config::Version r) { return e.spec.revision < r; });
  const auto same = [&](const Epoch& e) {
    return e.spec.SameTable(spec) && e.spec.out_servers == spec.out_servers;
  };
  if ((place != epochs_.end() &&
       (place->spec.revision == spec.revision || same(*place))) ||
      (place != epochs_.begin() && same(*std::prev(place)))) {
    return false;
  }
  Epoch epoch = MakeEpoch(spec, registry);
  // The flows that this table placed on a server that a later table lists as
  // out of service were given up.
  for (std::size_t i = 0; i < spec.weighted_servers.size(); ++i) {
    for (auto later = place; later != epochs_.end(); ++later) {
      if (std::binary_search(later->spec.out_servers.begin(),
                             later->spec.out_servers.end(),
                             spec.weighted_servers[i].server)) {
        epoch.servers[i] = kEndedServer;
      }
    }
  }
  // In the same way, older tables lose the servers that this table lists as out
  // of service.
  for (auto older = epochs_.begin(); older != place; ++older) {
    for (std::size_t i = 0; i < older->spec.weighted_servers.size(); ++i) {
      if (std::binary_search(spec.out_servers.begin(), spec.out_servers.end(),
                             older->spec.weighted_servers[i].server)) {
        older->servers[i] = kEndedServer;
      }
    }
  }
  epochs_.insert(place, std::move(epoch));
  return true;
}

bool ServiceTables::Activate(config::Version revision_known_by_all,
                             absl::Time now) {
  bool changed = false;
  while (!pending_.empty() &&
         (pending_.front().activate_at <= now ||
          pending_.front().revision <= revision_known_by_all)) {
    const config::Version next = pending_.front().revision;
    pending_.pop_front();
    if (next <= current_revision_ || EpochIndexOf(next) == epochs_.size()) {
      continue;
    }
    current_revision_ = next;
    changed = true;
  }
  return changed;
}

bool ServiceTables::AllowDeviation(ServerId server, absl::Time from) {
  return deviation_start_.try_emplace(server, from).second;
}

bool ServiceTables::MayDeviate(ServerId server, absl::Time now) const {
  const auto found = deviation_start_.find(server);
  return found == deviation_start_.end() || found->second <= now;
}

bool ServiceTables::Recompute(const ServerRegistry& registry, absl::Time now) {
  if (epochs_.empty()) {
    return false;
  }
  for (Epoch& epoch : epochs_) {
    if (epoch.spec.revision < current_revision_) {
      epoch.superseded_at = std::min(epoch.superseded_at, now);
    }
    for (std::size_t i = 0; i < epoch.servers.size(); ++i) {
      // A table from a peer may contain a server that this daemon learns of
      // later.
      if (epoch.servers[i] == kNoServer &&
          epoch.spec.revision >= current_revision_) {
        epoch.servers[i] = registry.Find(epoch.spec.weighted_servers[i].server);
      }
    }
  }
  RemoveOldEpochs(registry, now);
  bucket_bits_ = 0;
  servers_.clear();
  for (const Epoch& epoch : epochs_) {
    bucket_bits_ = std::max(bucket_bits_, epoch.table.bucket_bits);
    servers_.insert(epoch.servers.begin(), epoch.servers.end());
  }
  servers_.erase(kNoServer);
  servers_.erase(kEndedServer);
  const std::vector<Bucket> old = std::exchange(buckets_, {});
  const auto old_bits = static_cast<unsigned>(std::countr_zero(old.size()));
  buckets_.resize(1U << bucket_bits_);
  unsettled_ = 0;
  bool moved = false;
  for (std::uint32_t b = 0; b < buckets_.size(); ++b) {
    buckets_[b] = ComputeBucket(b, registry);
    unsettled_ += buckets_[b].settled ? 0 : 1;
    const ServerIndex before =
        old[TopBits(FirstKeyIn(b, bucket_bits_), old_bits)].base_server;
    moved |=
        registry.accepts_packets(before) && before != buckets_[b].base_server;
  }
  return moved;
}

ServerIndex ServiceTables::NewestServerOf(FlowKey key) const {
  return epochs_.empty() ? kNoServer : epochs_.back().ServerOf(key);
}

std::vector<ServerIndex> ServiceTables::ServersAddedByNewest() const {
  std::vector<ServerIndex> added_servers;
  if (epochs_.empty()) {
    return added_servers;
  }
  const Epoch& now = ActiveEpoch();
  for (const ServerIndex server : epochs_.back().servers) {
    if (std::find(now.servers.begin(), now.servers.end(), server) ==
        now.servers.end()) {
      added_servers.push_back(server);
    }
  }
  return added_servers;
}

std::vector<TableSpec> ServiceTables::Specs() const {
  std::vector<TableSpec> specs;
  specs.reserve(epochs_.size());
  for (const Epoch& epoch : epochs_) {
    specs.push_back(epoch.spec);
  }
  return specs;
}

std::vector<ServerId> ServiceTables::DeviatingServers() const {
  std::vector<ServerId> servers;
  for (const auto& [server, from] : deviation_start_) {
    servers.push_back(server);
  }
  return servers;
}

std::size_t ServiceTables::bytes() const {
  std::size_t bytes = buckets_.capacity() * sizeof(Bucket);
  for (const Epoch& epoch : epochs_) {
    bytes += epoch.table.positions.capacity() * sizeof(std::uint16_t);
    bytes += epoch.servers.capacity() * sizeof(ServerIndex);
    bytes += epoch.spec.weighted_servers.capacity() * sizeof(WeightedServer);
  }
  return bytes;
}

ServiceTables::Epoch ServiceTables::MakeEpoch(const TableSpec& spec,
                                              const ServerRegistry& registry) {
  Epoch epoch;
  epoch.spec = spec;
  epoch.table = BuildTable(spec.weighted_servers);
  epoch.servers.reserve(spec.weighted_servers.size());
  for (const WeightedServer& weighted_server : spec.weighted_servers) {
    epoch.servers.push_back(registry.Find(weighted_server.server));
  }
  return epoch;
}

std::size_t ServiceTables::EpochIndexOf(config::Version revision) const {
  const auto found = std::lower_bound(
      epochs_.begin(), epochs_.end(), revision,
      [](const Epoch& e, config::Version r) { return e.spec.revision < r; });
  if (found == epochs_.end() || found->spec.revision != revision) {
    return epochs_.size();
  }
  return static_cast<std::size_t>(found - epochs_.begin());
}

config::Version ServiceTables::RevisionOf(const TableSpec& spec) const {
  const auto after = std::upper_bound(
      epochs_.begin(), epochs_.end(), spec.revision,
      [](config::Version r, const Epoch& e) { return r < e.spec.revision; });
  if (after != epochs_.begin() && std::prev(after)->spec.SameTable(spec)) {
    return std::prev(after)->spec.revision;
  }
  return after == epochs_.end() ? spec.revision : after->spec.revision;
}

bool ServiceTables::IsCurrentOrPending(const Epoch& epoch) const {
  if (epoch.spec.revision >= current_revision_) {
    return true;
  }
  return std::any_of(pending_.begin(), pending_.end(),
                     [&](const PendingEpoch& pending) {
                       return pending.revision == epoch.spec.revision;
                     });
}

void ServiceTables::RemoveOldEpochs(const ServerRegistry& registry,
                                    absl::Time now) {
  for (std::size_t i = 0; i < epochs_.size();) {
    const Epoch& epoch = epochs_[i];
    const bool ended = std::none_of(
        epoch.servers.begin(), epoch.servers.end(),
        [&](ServerIndex server) { return registry.accepts_packets(server); });
    const bool expired = now - epoch.superseded_at > 2 * flow_idle_;
    if (!IsCurrentOrPending(epoch) &&
        (ended || expired || DuplicatesOlderEpoch(i))) {
      epochs_.erase(epochs_.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    ++i;
  }
  // The oldest epoch defines the base servers, so the second oldest is evicted.
  while (epochs_.size() > kMaxEpochs && !IsCurrentOrPending(epochs_[1])) {
    EvictEpoch(1, registry);
  }
}

bool ServiceTables::DuplicatesOlderEpoch(std::size_t index) const {
  const Epoch& epoch = epochs_[index];
  return std::any_of(epochs_.begin(),
                     epochs_.begin() + static_cast<std::ptrdiff_t>(index),
                     [&](const Epoch& older) {
                       return older.spec.SameTable(epoch.spec) &&
                              older.servers == epoch.servers;
                     });
}

void ServiceTables::EvictEpoch(std::size_t index,
                               const ServerRegistry& registry) {
  const Epoch& epoch = epochs_[index];
  const unsigned bits = std::max(kEvictedMarkBits, epoch.table.bucket_bits);
  for (std::uint32_t b = 0; b < (1U << bits); ++b) {
    const FlowKey key = FirstKeyIn(b, bits);
    const ServerIndex server = epoch.ServerOf(key);
    if (registry.accepts_packets(server) &&
        server != epochs_.front().ServerOf(key)) {
      evicted_marks_[TopBits(key, kEvictedMarkBits)] = true;
    }
  }
  epochs_.erase(epochs_.begin() + static_cast<std::ptrdiff_t>(index));
}

Bucket ServiceTables::ComputeBucket(std::uint32_t bucket,
                                    const ServerRegistry& registry) const {
  const FlowKey key = FirstKeyIn(bucket, bucket_bits_);
  Bucket result;
  ServerIndex newest = kNoServer;
  result.settled = !evicted_marks_[TopBits(key, kEvictedMarkBits)];
  for (const Epoch& epoch : epochs_) {
    const ServerIndex server = epoch.ServerOf(key);
    if (!registry.accepts_packets(server)) {
      continue;
    }
    if (result.base_server == kNoServer) {
      result.base_server = server;
    }
    if (server != result.base_server ||
        deviation_start_.contains(registry.at(server).id)) {
      result.settled = false;
    }
    newest = server;
  }
  if (ActiveEpoch().spec.weighted_servers.empty()) {
    // No server accepts new flows. Established flows keep the base server.
    result.new_flow_server = kNoServer;
    return result;
  }
  // A server that accepts no packets is replaced before the next table is
  // active.
  const ServerIndex active_server = ActiveEpoch().ServerOf(key);
  result.new_flow_server =
      registry.accepts_packets(active_server) ? active_server : newest;
  result.new_flows_wait = pending() && !registry.accepts_packets(active_server);
  result.settled &= !result.new_flows_wait;
  return result;
}

}  // namespace gcw::routing
