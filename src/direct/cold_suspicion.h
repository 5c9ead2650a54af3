#ifndef GCW_DIRECT_COLD_SUSPICION_H_
#define GCW_DIRECT_COLD_SUSPICION_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/resources.h"
#include "src/direct/server_entry.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Decides which servers may be cold although their last report that was read
// does not say so. Such servers are limited like cold ones. A server that gets
// no new flows may become cold unnoticed, so this is asked when it is about to
// get new flows again:
//
// - Its availability zone is back in service, its service has a route again, or
//   this daemon has started. These states come from other feeds than the list
//   of servers, which may be older than they are. Until the list includes all
//   changes up to the version of the other feed, a report that the server is
//   cold may be missing.
// - It answers again after it was lost. It may have restarted meanwhile, and
//   the report of the restart may be under way. A flow from before the loss
//   that goes on shows that it has not.
//
// A server cannot be cold for longer than the cold time of its service after
// such a moment, so that bounds both. Has no I/O. Not thread-safe.
class ColdSuspicion {
 public:
  // `servers` must outlive this object. `restore_grace` is how long after a
  // restore of the store the list may lack reports that servers had made.
  ColdSuspicion(const ServerTable& servers, absl::Duration restore_grace)
      : servers_(servers), restore_grace_(restore_grace) {}

  // Sets the cold times of the services.
  void SetServices(std::span<const Service> services);

  // The servers of `zone`, of `service`, or all of them, may get new flows
  // again, by a state of another feed as of `version`.
  void OnZoneReturned(std::string_view zone, Version version, absl::Time now);
  void OnServiceRouted(std::string_view service,
                       Version version,
                       absl::Time now);
  void OnStarted(Version version, absl::Time now);

  // The list of servers has changed, or is known to include all changes up to
  // `version`. Returns whether fewer servers may be cold for that.
  bool OnListIncludes(Version version, absl::Time now);
  // The version up to which the list of servers is to be read without delay, if
  // that is more than the last call returned.
  std::optional<Version> TakeWantedVersion();

  // `server` answers again after it was lost.
  void OnReturned(ServerEntry& server, absl::Time now) const;
  // `server` has answered on a flow that was opened at `opened`.
  static void OnProgress(ServerEntry& server, absl::Time opened);
  // `server` counts as lost from now on.
  static void OnLost(ServerEntry& server, absl::Time now);

  // Forgets what can no longer be. `confirmed` is when the list of servers was
  // last known to be up to date. Call this about every second.
  void OnTick(absl::Time confirmed, absl::Time now);

 private:
  // A state of another feed that the list of servers may be older than.
  struct NewerState {
    Version version = 0;
    absl::Time since;     // When it was read.
    std::string zone;     // Of the servers concerned; empty for any.
    std::string service;  // Likewise.
  };

  // Whether the list shows all that servers had reported before `state`.
  bool Includes(const NewerState& state, absl::Time now) const;
  void Add(NewerState state);
  // Sets ServerEntry::unread_cold_until of all servers.
  void Mark();
  absl::Duration ColdTime(std::string_view service) const;

  const ServerTable& servers_;
  const absl::Duration restore_grace_;
  absl::Time restore_grace_end_ = absl::InfinitePast();
  std::map<std::string, absl::Duration, std::less<>>
      cold_times_;  // By service.
  std::vector<NewerState> newer_;
  Version list_version_ = 0;  // The list includes all changes up to here.
  Version wanted_ = 0;
  Version last_wanted_ = 0;  // As TakeWantedVersion() returned it.
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_COLD_SUSPICION_H_
