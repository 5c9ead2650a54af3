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
#include "gcw/direct/direct_router.h"
#include "gcw/direct/events.h"
#include "src/direct/reachability.h"

namespace gcw::direct {

// One incarnation of a backend server and what this daemon knows of it.
struct ServerEntry {
  BackendServer server;
  FlowCookie cookie = 0;
  Version revision = 0;
  Presence presence = Presence::kListed;
  absl::Time presence_since;
  absl::Time cold_until;
  Reachability reach;
  std::uint32_t open_flows = 0;     // Of this daemon, closed ones left out.
  std::uint32_t flow_refs = 0;      // Flows that refer to this entry.
  std::uint32_t waiting_flows = 0;  // Flows that wait for it, at the last tick.
  std::uint32_t late_flows =
      0;                     // Of these, those without an answer for too long.
  std::uint64_t placed = 0;  // New flows, since it was first read.
  bool flows_reset = false;  // Its idle flows were given up, as it is gone.
  // Another incarnation has the same cookie: this one takes no new flows.
  bool cookie_collides = false;
};

// The backend servers that the store lists, and those it listed lately. An
// entry keeps its address in memory until Forget. Pure; not thread-safe.
class ServerTable {
 public:
  // `events` must outlive the table.
  ServerTable(absl::Duration lapse_grace, std::vector<Event>* events);

  void ApplyList(std::span<const ServerReportPtr> reports,
                 Version revision,
                 absl::Time now);

  // Settles entries that were still away when the state was `confirmed`, the
  // grace or more after they vanished; forgets those that have been gone for
  // `keep`, without flows.
  void OnTick(absl::Duration retention, absl::Time confirmed, absl::Time now);

  // The newest incarnation called `name`, or null.
  ServerEntry* FindByName(std::string_view name);
  // The incarnation that a cookie names, or null.
  ServerEntry* FindByCookie(FlowCookie cookie);

  const std::vector<std::unique_ptr<ServerEntry>>& entries() const {
    return entries_;
  }
  // Those of one service; valid until the next change of the table.
  std::span<ServerEntry* const> OfService(std::string_view service) const;

 private:
  void Apply(const ServerReport& report, absl::Time now);
  // `revision` is that of the state in which the entry is missing.
  void MarkMissing(std::string_view name, Version revision, absl::Time now);
  void Add(const ServerReport& report, absl::Time now);
  void Update(ServerEntry& entry, const ServerReport& report, absl::Time now);
  void SetPresence(ServerEntry& entry, Presence presence, absl::Time now);
  void ReportChange(const ServerEntry& entry, absl::Time now);
  void IndexServices();

  const absl::Duration lapse_grace_;
  std::vector<Event>* const events_;
  std::vector<std::unique_ptr<ServerEntry>> entries_;
  std::map<std::string, ServerEntry*, std::less<>> by_name_;
  absl::flat_hash_map<FlowCookie, ServerEntry*> by_cookie_;
  std::map<std::string, std::vector<ServerEntry*>, std::less<>> by_service_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_TABLE_H_
