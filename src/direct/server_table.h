#ifndef GCW_DIRECT_SERVER_TABLE_H_
#define GCW_DIRECT_SERVER_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "gcw/load/figures.h"
#include "src/direct/reachability.h"

namespace gcw::direct {

// One incarnation of a backend server, with this daemon's state about it.
struct ServerEntry {
  // Whether the store has no entry of this incarnation any more.
  bool missing() const {
    return presence == Presence::kLapsed || presence == Presence::kGone;
  }

  BackendServer server;
  FlowCookie cookie = 0;
  load::NameHash service_hash = 0;
  load::NameHash zone_hash = 0;
  Version revision = 0;  // Of the last report that was applied.
  Presence presence = Presence::kListed;
  absl::Time presence_since;
  // Whether the entry vanished after a drain, so that the server has left.
  bool left = false;
  absl::Time cold_until;
  Reachability reach;
  // The two numbers of flows below include only flows that are in this daemon's
  // flow table.
  std::uint32_t open_flows = 0;  // Without closed flows.
  std::uint32_t flow_refs = 0;   // All flows that point to this entry.
  // Flows with a request that was probably still running or queued at the last
  // tick.
  std::uint32_t waiting_flows = 0;
  // The same without flows that have waited for longer than the target latency
  // of their route: a server that hangs has many of them, which show no demand.
  std::uint32_t outstanding = 0;
  // Flows whose request had waited too long for an answer at the last tick.
  // Several late flows make the server suspect.
  std::uint32_t late_flows = 0;
  std::uint64_t placed = 0;  // New flows placed since the entry was added.
  // New flows that this daemon placed within the last few seconds, with
  // exponential decay. Updated by Placer.
  double recent_flows = 0;
  // The share of the usual number of new flows that the server may get, above 0
  // and up to 1, which is below 1 in slow start; and how long the server takes
  // for a request, compared with the other servers of its service. Updated by
  // ServerPace.
  double share = 1;
  double slowness = 1;
  // Whether the server's flows were reset because the server is gone or
  // restarted.
  bool flows_reset = false;
  // Whether an incarnation that was read earlier has the same cookie. This
  // incarnation then gets no new flows.
  bool cookie_collides = false;
};

// The servers of one service in one availability zone.
struct ZoneServers {
  std::string zone;
  std::vector<ServerEntry*> servers;
};

// The backend servers that the store lists or has listed recently. Pointers to
// entries stay valid until OnTick() removes the entry, which it does only when
// no flow refers to the entry. Has no I/O. Not thread-safe.
class ServerTable {
 public:
  // `lapse_grace` is how long an entry that vanished from the store without a
  // drain may take to reappear before the server counts as gone.
  // `restore_grace` is how long a restored store may hold older reports than
  // this table. `events` must outlive the table.
  ServerTable(absl::Duration lapse_grace,
              absl::Duration restore_grace,
              std::vector<Event>* events);

  // Replaces the list of servers by `reports`, all entries of the store as of
  // `revision`. After a restore of the store, reports that are older than those
  // of the table, by the servers' own numbers, take effect only if the servers
  // have not reported again within the restore grace.
  void ApplyList(std::span<const ServerReportPtr> reports,
                 Version revision,
                 absl::Time now);

  // Adds servers that the store lacks and of which other daemons have told, as
  // gone. Known servers stay as they are.
  void AddMissing(std::span<const ServerReportPtr> reports, absl::Time now);

  // Marks entries that vanished without a drain (lapsed) as gone if they were
  // still missing when the server list was last confirmed (at `confirmed`), at
  // least `lapse_grace` after they vanished. Applies reports whose restore
  // grace has ended. Removes entries that have been gone for `retention` and
  // have no flows.
  void OnTick(absl::Duration retention, absl::Time confirmed, absl::Time now);

  // The newest incarnation of the server `name`, or null.
  ServerEntry* FindByName(std::string_view name);
  // The incarnation that `cookie` identifies, or null.
  ServerEntry* FindByCookie(FlowCookie cookie) const;

  // Returns the servers that have started since the last call: incarnations
  // that were listed for the first time, and servers that were gone and are
  // listed again. Servers of the first list are left out, because nothing tells
  // whether they or this daemon started. The pointers are valid until the next
  // OnTick().
  std::vector<ServerEntry*> TakeStarted();

  const std::vector<std::unique_ptr<ServerEntry>>& entries() const {
    return entries_;
  }
  // Whether `server` has ended: it left the store after a drain, runs as
  // another incarnation, or is missing and either refuses connections or has
  // left its address to a server that started later. A server that is merely
  // missing may still serve its open flows.
  bool HasEnded(const ServerEntry& server) const;
  // The entries of one service. The span is valid until the next call of
  // ApplyList() or OnTick().
  std::span<ServerEntry* const> OfService(std::string_view service) const;
  // The same by availability zone.
  std::span<const ZoneServers> ZonesOfService(std::string_view service) const;

 private:
  void Apply(const ServerReportPtr& report, absl::Time now);
  // Whether the store was restored since the entry was reported, and `report`
  // is no news about the server.
  static bool IsFromRestoredCopy(const ServerReport& report,
                                 const ServerEntry& entry);
  // Marks the server `name` as gone if it was draining, otherwise as lapsed,
  // because the server list of `revision` has no entry for it.
  void MarkMissing(std::string_view name, Version revision, absl::Time now);
  void Add(const ServerReport& report, Presence presence, absl::Time now);
  void Update(ServerEntry& entry, const ServerReport& report, absl::Time now);
  void SetPresence(ServerEntry& entry, Presence presence, absl::Time now);
  void ReportChange(const ServerEntry& entry, absl::Time now);
  // Makes `entry` the server at its address, if it is the latest one there.
  void IndexAddress(ServerEntry& entry);
  // Rebuilds `by_service_`.
  void IndexServices();

  const absl::Duration lapse_grace_;
  const absl::Duration restore_grace_;
  std::vector<Event>* const events_;
  Version revision_ = 0;  // Of the last list.
  // The reports of the last list that wait until `restore_grace_end_`.
  std::vector<ServerReportPtr> deferred_reports_;
  absl::Time restore_grace_end_ = absl::InfinitePast();
  std::vector<std::unique_ptr<ServerEntry>> entries_;
  std::map<std::string, ServerEntry*, std::less<>> by_name_;
  absl::flat_hash_map<FlowCookie, ServerEntry*> by_cookie_;
  // The server that started last at each address.
  absl::flat_hash_map<Endpoint, ServerEntry*> by_address_;
  struct ServiceServers {
    std::vector<ServerEntry*> all;
    std::vector<ZoneServers> zones;
  };
  std::map<std::string, ServiceServers, std::less<>> by_service_;
  // Whether a list was applied.
  bool listed_before_ = false;
  std::vector<ServerEntry*> started_;  // Since the last TakeStarted().
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_TABLE_H_
