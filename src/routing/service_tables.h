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

// Where the flows of one bucket go, as computed from the tables of the service.
struct Bucket {
  // Server of the flows that have no record. The oldest table whose server for
  // this bucket still accepts packets determines it.
  ServerIndex base_server = kNoServer;
  // Server of new flows.
  ServerIndex new_flow_server = kNoServer;
  // Whether every flow of the bucket must be on the base server, so that no
  // flow has a record. This holds if all tables in use name the same server for
  // the bucket, disregarding servers that accept no packets, no evicted table
  // named another one, new flows may not deviate from the tables
  // (AllowDeviation), and new flows need not wait.
  bool settled = true;
  // Whether new flows must wait: the server in the active table accepts no
  // packets any more and the next table is not active yet. A new flow placed
  // now would be lost at daemons that have not heard of the change.
  bool new_flows_wait = false;
};

// The tables of one service: the active one, those announced but not yet
// active, and the older ones by which live flows may have been placed.
//
// A flow is recorded when its server is not the base server of its bucket, so a
// packet without a record always belongs to the base server. The base server of
// a bucket changes only when its incarnation has ended, and its flows with it.
// Not thread-safe.
class ServiceTables {
 public:
  // Maximum number of tables that are kept. A table beyond this number is
  // evicted, and the buckets in which its server differs from the base server
  // are marked as unsettled: their flows may have different servers.
  static constexpr std::size_t kMaxEpochs = 40;

  // `index` is the position of the service in the ServiceDirectory.
  ServiceTables(std::uint32_t index, std::string name);

  std::uint32_t index() const { return index_; }
  ServiceId id() const { return id_; }
  const std::string& name() const { return name_; }
  // Time after which an idle flow of the service is evicted.
  absl::Duration flow_idle() const { return flow_idle_; }
  void set_flow_idle(absl::Duration idle) { flow_idle_ = idle; }

  // Adds a table that becomes active at `activate_at`, or at once if it is the
  // first one. Returns whether the table was new.
  bool ScheduleTable(const TableSpec& spec,
                     const ServerRegistry& registry,
                     absl::Time activate_at);

  // Adds a table that another daemon knows and this one may have skipped,
  // without scheduling its activation. Returns whether the table was new.
  bool AddTable(const TableSpec& spec, const ServerRegistry& registry);

  // Activates the announced tables that are due at `now` or have a revision of
  // at most `revision_known_by_all`. Returns whether there was any.
  bool Activate(config::Version revision_known_by_all, absl::Time now);

  // Allows new flows of the buckets of `server` to be placed on other servers
  // from the time `from`, when every daemon has heard of this. Makes these
  // buckets unsettled at once: their flows may have different servers. Returns
  // whether the permission was not known before.
  bool AllowDeviation(ServerId server, absl::Time from);

  // Removes the tables by which no live flow can have been placed, and
  // recomputes all buckets. To be called after any change above and after each
  // change of the registry. Returns whether the base server of a bucket changed
  // while the old one still accepts packets.
  bool Recompute(const ServerRegistry& registry, absl::Time now);

  // Returns the bucket of `key`. Valid until the next Recompute.
  const Bucket& BucketOf(FlowKey key) const {
    return buckets_[TopBits(key, bucket_bits_)];
  }

  // Returns the server of `key` in the newest table, or kNoServer if that table
  // is empty.
  ServerIndex NewestServerOf(FlowKey key) const;

  // Whether any known table contains `server`.
  bool Serves(ServerIndex server) const { return servers_.contains(server); }

  // Returns the servers that the newest table contains and the active one does
  // not.
  std::vector<ServerIndex> ServersAddedByNewest() const;

  // Returns the specs of all known tables, oldest first.
  std::vector<TableSpec> Specs() const;
  // Returns the servers that were passed to AllowDeviation.
  std::vector<ServerId> DeviatingServers() const;
  // Whether a new flow of a bucket of `server` may be placed on another server
  // at `now`. Precondition: the bucket is unsettled, that is its flows may have
  // different servers.
  bool MayDeviate(ServerId server, absl::Time now) const;

  // Whether an announced table is not active yet.
  bool pending() const { return !pending_.empty(); }
  // Whether all buckets are settled: all tables in use name the same server for
  // each bucket, and no flow may be on another server (Bucket::settled).
  bool settled() const { return unsettled_ == 0; }
  std::uint32_t bucket_count() const { return 1U << bucket_bits_; }
  std::uint32_t unsettled_count() const { return unsettled_; }
  std::size_t table_count() const { return epochs_.size(); }
  // Approximate memory of the tables in bytes.
  std::size_t bytes() const;

 private:
  // A table with the spec from which it was computed.
  struct Epoch {
    TableSpec spec;
    Table table;
    // Incarnation of each server in `spec.weighted_servers`, by position;
    // kNoServer if unknown, kEndedServer if it ended.
    std::vector<ServerIndex> servers;
    // When this daemon first saw that a newer table was active.
    absl::Time superseded_at = absl::InfiniteFuture();

    ServerIndex ServerOf(FlowKey key) const;
  };
  // An announced table that is not active yet.
  struct PendingEpoch {
    config::Version revision = 0;
    absl::Time activate_at;
  };

  static Epoch MakeEpoch(const TableSpec& spec, const ServerRegistry& registry);
  // Returns the index of the epoch with `revision` in `epochs_`, or the number
  // of epochs if there is none.
  std::size_t EpochIndexOf(config::Version revision) const;
  // Returns the active epoch.
  const Epoch& ActiveEpoch() const {
    return epochs_[EpochIndexOf(current_revision_)];
  }
  // Removes the epochs by which no live flow can have been placed, and evicts
  // the oldest ones beyond kMaxEpochs.
  void RemoveOldEpochs(const ServerRegistry& registry, absl::Time now);
  // Returns the revision of the epoch that represents `spec`; specs of several
  // revisions with the same table share one epoch.
  config::Version RevisionOf(const TableSpec& spec) const;
  // Whether `epoch` is the active epoch, newer than it, or pending.
  bool IsCurrentOrPending(const Epoch& epoch) const;
  // Whether an older epoch has the same table and incarnations as the epoch at
  // `index`.
  bool DuplicatesOlderEpoch(std::size_t index) const;
  // Removes the epoch at `index`. Marks the buckets in which its server differs
  // from the base server as unsettled: their flows may have different servers.
  void EvictEpoch(std::size_t index, const ServerRegistry& registry);
  // Computes the state of bucket number `bucket` from the epochs.
  Bucket ComputeBucket(std::uint32_t bucket,
                       const ServerRegistry& registry) const;

  std::uint32_t index_;
  std::string name_;
  ServiceId id_;
  absl::Duration flow_idle_ = absl::Hours(12);
  std::vector<Epoch> epochs_;  // Ordered by revision.
  // Revision of the active epoch.
  config::Version current_revision_ = 0;
  std::deque<PendingEpoch> pending_;
  // Servers passed to AllowDeviation, with the time from which it applies.
  absl::flat_hash_map<ServerId, absl::Time> deviation_start_;
  // All servers of all epochs.
  absl::flat_hash_set<ServerIndex> servers_;
  unsigned bucket_bits_ = 0;
  std::vector<Bucket> buckets_;
  // For each of 2^kEvictedMarkBits parts of the hash space, whether an evicted
  // epoch differed from the base there.
  std::vector<bool> evicted_marks_;
  std::uint32_t unsettled_ = 0;
};

// Returns the spec of `service` in `snapshot`. Thread-safe.
TableSpec SpecOf(const config::Snapshot& snapshot,
                 const config::Service& service);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SERVICE_TABLES_H_
