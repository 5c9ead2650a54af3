#ifndef GCW_DIRECT_SERVER_TABLE_H_
#define GCW_DIRECT_SERVER_TABLE_H_

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "src/direct/deferred_reports.h"
#include "src/direct/server_entry.h"
#include "src/direct/server_index.h"

namespace gcw::direct {

// Flows that this daemon tracks on one incarnation of a server and that may be
// open at the next one. Both have the same address and service.
struct Succession {
  ServerEntry* from = nullptr;
  ServerEntry* to = nullptr;
  // Flows that were opened earlier than this have ended with `from`.
  absl::Time since;
};

// The backend servers that the store lists or has listed recently. Pointers to
// entries stay valid until OnTick() removes the entry, which it does only when
// no flow refers to the entry. Has no I/O. Not thread-safe.
class ServerTable {
 public:
  // `lapse_grace` is how long an entry that vanished from the store without a
  // drain may take to reappear before the server counts as gone.
  // `restore_grace` is how long a restored store may hold older reports than
  // this table. `events` must outlive the table. Servers report about every
  // `report_interval`.
  ServerTable(absl::Duration lapse_grace,
              absl::Duration restore_grace,
              std::vector<Event>* events,
              absl::Duration report_interval = RouterOptions().report_interval);

  // Replaces the list of servers by `reports`, all entries of the store as of
  // `revision`. A report that its server made before the one in the table, by
  // the server's own numbers, takes effect only if the server has not reported
  // again within some seconds (see DeferredReports).
  void ApplyList(std::span<const ServerReportPtr> reports,
                 Version revision,
                 absl::Time now);

  // Adds servers that the store lacks and of which other daemons have told, as
  // gone. Known servers stay as they are. Daemons may tell of several
  // incarnations of a server.
  void AddMissing(std::span<const ServerReportPtr> reports, absl::Time now);

  // Marks entries that vanished without a drain (lapsed) as gone if they were
  // still missing when the server list was last confirmed (at `confirmed`), at
  // least `lapse_grace` after they vanished. Applies deferred reports that the
  // store still listed at `confirmed` when they were due. Removes entries that
  // have been gone for `retention` and have no flows.
  void OnTick(absl::Duration retention, absl::Time confirmed, absl::Time now);

  // The newest incarnation of the server `name`, or null.
  ServerEntry* FindByName(std::string_view name) const {
    return index_.FindByName(name);
  }
  // The newest incarnation of the server that `cookie` identifies, or null. It
  // may hold any flow with `cookie`, as daemons do not always know which
  // incarnation is running. Also finds the server by the key of an incarnation,
  // which daemons of earlier releases use as the cookie.
  ServerEntry* FindHolder(FlowCookie cookie) const;
  // The incarnation that `key` identifies, or null.
  ServerEntry* FindByKey(IncarnationKey key) const {
    return index_.FindByKey(key);
  }

  // Returns the servers that have started since the last call: incarnations
  // that were listed for the first time, and servers that were gone and are
  // listed again. Servers of the first list are left out, because nothing tells
  // whether they or this daemon started. The pointers are valid until the next
  // OnTick().
  std::vector<ServerEntry*> TakeStarted();
  // Returns the successions since the last call. The pointers are valid until
  // the next OnTick().
  std::vector<Succession> TakeSuccessions();

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
  std::span<ServerEntry* const> OfService(std::string_view service) const {
    return index_.OfService(service);
  }
  // The same by availability zone.
  std::span<const ZoneServers> ZonesOfService(std::string_view service) const {
    return index_.ZonesOfService(service);
  }

 private:
  void Apply(const ServerReportPtr& report, absl::Time now);
  // Whether the server seems to have made `report`, which the store has written
  // later, before the report that `entry` holds, the latest one of the server.
  bool SeemsLate(const ServerReport& report,
                 const ServerEntry& entry,
                 absl::Time now) const;
  void Defer(const ServerReportPtr& report, ServerEntry& entry, absl::Time now);
  // Puts `report` in force, which is about the server of `entry`. If it is of
  // another incarnation, that started at `running_since` or later.
  void Accept(const ServerReport& report,
              ServerEntry& entry,
              absl::Time running_since,
              absl::Time now);
  // The earliest time at which the server of `entry` may have started as the
  // incarnation of `report`.
  static absl::Time RunningSince(const BackendServer& report,
                                 const ServerEntry& entry,
                                 absl::Time now);
  // Notes that the present report of `entry` was read at `now`.
  void NoteReportTime(ServerEntry& entry, absl::Time now) const;
  // Makes the incarnation of `report` the server's latest instead of `entry`.
  void Replace(ServerEntry& entry,
               const ServerReport& report,
               absl::Time running_since,
               absl::Time now);
  // Whether the server of `report` is not past its slow start.
  bool HasJustStarted(const BackendServer& report) const;
  // Makes `entry`, which was taken for ended, its server's latest incarnation.
  void Revive(ServerEntry& entry, const ServerReport& report, absl::Time now);
  // The entry of the incarnation that made `report`, or null.
  ServerEntry* FindIncarnation(const ServerReport& report) const;
  // Puts deferred reports in force that were due at `confirmed`.
  void ApplyDeferred(absl::Time confirmed, absl::Time now);
  // Removes entries that ended `retention` ago or are surplus, and have no
  // flows.
  void RemoveExpired(absl::Duration retention, absl::Time now);
  // The ended incarnations that exceed what is kept of a server.
  absl::flat_hash_set<const ServerEntry*> SurplusEnded() const;
  // Clears all pointers to `entry`, which is about to be removed.
  void Unlink(const ServerEntry& entry);
  // Marks the server `name` as gone if it was draining, otherwise as lapsed,
  // because the server list of `revision` has no entry for it.
  void MarkMissing(std::string_view name, Version revision, absl::Time now);
  ServerEntry& Add(const ServerReport& report,
                   Presence presence,
                   absl::Time now);
  // Adds a server that the store lacks and of which a peer has told, unless the
  // same incarnation or one that may serve is known.
  void AddTold(const ServerReport& report, absl::Time now);
  // Adds a server that the store lists and that has just started.
  ServerEntry& AddStarted(const ServerReport& report, absl::Time now);
  void Update(ServerEntry& entry, const ServerReport& report, absl::Time now);
  void SetPresence(ServerEntry& entry, Presence presence, absl::Time now);
  void ReportChange(const ServerEntry& entry, absl::Time now);

  const absl::Duration lapse_grace_;
  const absl::Duration restore_grace_;
  const absl::Duration report_interval_;
  std::vector<Event>* const events_;
  Version revision_ = 0;  // Of the last list.
  DeferredReports deferred_reports_;
  absl::Time restore_grace_end_ = absl::InfinitePast();
  std::vector<std::unique_ptr<ServerEntry>> entries_;
  ServerIndex index_;
  // Whether a list was applied.
  bool listed_before_ = false;
  std::vector<ServerEntry*> started_;    // Since the last TakeStarted().
  std::vector<Succession> successions_;  // Since the last TakeSuccessions().
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_TABLE_H_
