#ifndef GCW_SRC_ROUTING_SERVICE_TABLES_H_
#define GCW_SRC_ROUTING_SERVICE_TABLES_H_

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "src/routing/server_registry.h"
#include "src/routing/table.h"

namespace gcw::routing {

// What the tables say of one bucket.
struct Bucket {
  // Where flows without a record go: what the oldest table that still counts
  // says.
  ServerIndex base_server = kNoServer;
  // Where new flows go.
  ServerIndex new_flow_server = kNoServer;
  // Whether every table that still counts agrees, so that no record exists.
  bool settled = true;
  // The server in force takes no packet any more and its successor is not in
  // force yet. A new flow would be lost at daemons that have not heard of the
  // change, so it waits until they have.
  bool new_flows_wait = false;
};

// The tables of one service: the one in force, those announced and not yet in
// force, and the older ones that live flows may have been placed by.
//
// A flow is recorded when its server is not the base of its bucket, so a
// packet without a record always belongs to the base. The base of a bucket
// moves only when its server has ended, and its flows with it.
// Not thread-safe.
class ServiceTables {
 public:
  // Tables kept at most; more are folded into a mark on the buckets in which
  // they differ.
  static constexpr std::size_t kMaxEpochs = 40;

  ServiceTables(std::uint32_t index, std::string name);

  std::uint32_t index() const { return index_; }
  ServiceId id() const { return id_; }
  const std::string& name() const { return name_; }
  absl::Duration flow_idle() const { return flow_idle_; }
  void set_flow_idle(absl::Duration idle) { flow_idle_ = idle; }

  // Takes the spec of this daemon's own configuration. It comes into force at
  // `activate_at`, or at once if there is no older one. Returns whether the
  // table was new to this daemon.
  bool ScheduleTable(const TableSpec& spec,
                     const ServerRegistry& registry,
                     absl::Time activate_at);

  // Adds a table that another daemon knows of, which this one may have
  // skipped. Returns whether it was new.
  bool AddTable(const TableSpec& spec, const ServerRegistry& registry);

  // Brings announced tables into force that are due, or that have a revision
  // of at most `heard_by_all`. Returns whether any was.
  bool Activate(config::Version revision_known_by_all, absl::Time now);

  // Makes buckets of `server` unsettled: new flows there may be placed
  // elsewhere from `from`, when every daemon has heard of it. Returns whether
  // that is news.
  bool AllowDeviation(ServerId server, absl::Time from);

  // Forgets tables that no live flow can have been placed by, and works out
  // every bucket anew. To be called after any change above and after the
  // registry changed. Returns whether a base moved whose server still lives.
  bool Recompute(const ServerRegistry& registry, absl::Time now);

  const Bucket& BucketOf(FlowKey key) const {
    return buckets_[TopBits(key, bucket_bits_)];
  }

  // What the newest table says of `key`, kNoServer if it has no servers.
  ServerIndex NewestServerOf(FlowKey key) const;

  // Whether `server` takes or took flows of this service by any known table.
  bool Serves(ServerIndex server) const { return servers_.contains(server); }

  // Lives that the newest table has and the one in force has not.
  std::vector<ServerIndex> ServersAddedByNewest() const;

  // Specs of all known tables, oldest first.
  std::vector<TableSpec> Specs() const;
  std::vector<ServerId> DeviatingServers() const;
  // Whether a new flow of an unsettled bucket of `server` may go elsewhere.
  bool MayDeviate(ServerId server, absl::Time now) const;

  bool pending() const { return !pending_.empty(); }
  bool settled() const { return unsettled_ == 0; }
  std::uint32_t bucket_count() const { return 1U << bucket_bits_; }
  std::uint32_t unsettled_count() const { return unsettled_; }
  std::size_t table_count() const { return epochs_.size(); }
  std::size_t bytes() const;

 private:
  struct Epoch {
    TableSpec spec;
    Table table;
    std::vector<ServerIndex> servers;  // By position of the spec.
    absl::Time superseded_at = absl::InfiniteFuture();

    ServerIndex ServerOf(FlowKey key) const;
  };
  struct PendingEpoch {
    config::Version revision = 0;
    absl::Time activate_at;
  };

  static Epoch MakeEpoch(const TableSpec& spec, const ServerRegistry& registry);
  std::size_t EpochIndexOf(config::Version revision) const;
  const Epoch& InForce() const {
    return epochs_[EpochIndexOf(current_revision_)];
  }
  void RemoveOldEpochs(const ServerRegistry& registry, absl::Time now);
  config::Version RevisionOf(const TableSpec& spec) const;
  bool IsCurrentOrPending(const Epoch& epoch) const;
  bool DuplicatesOlderEpoch(std::size_t index) const;
  void EvictEpoch(std::size_t index, const ServerRegistry& registry);
  Bucket ComputeBucket(std::uint32_t bucket,
                       const ServerRegistry& registry) const;

  std::uint32_t index_;
  std::string name_;
  ServiceId id_;
  absl::Duration flow_idle_ = absl::Hours(12);
  std::vector<Epoch> epochs_;  // In order of revision.
  config::Version current_revision_ = 0;
  std::deque<PendingEpoch> pending_;
  absl::flat_hash_map<ServerId, absl::Time> deviation_start_;
  absl::flat_hash_set<ServerIndex> servers_;
  unsigned bucket_bits_ = 0;
  std::vector<Bucket> buckets_;
  std::vector<bool>
      evicted_marks_;  // Of 2^kFoldBits parts: had a table folded.
  std::uint32_t unsettled_ = 0;
};

// The spec of `service` by `snapshot`. Thread-safe.
TableSpec SpecOf(const config::Snapshot& snapshot,
                 const config::Service& service);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SERVICE_TABLES_H_
