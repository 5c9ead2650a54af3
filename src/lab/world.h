#ifndef SRC_LAB_WORLD_H_
#define SRC_LAB_WORLD_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/topology.h"

namespace gcw::lab {

// The state of a daemon. kAbsent: never started. kStopping: in a graceful
// shutdown.
enum class DaemonState { kAbsent, kLive, kStopping, kPaused, kDead };

// The actual state of one daemon, whether or not other components know of this
// state yet.
struct DaemonTruth {
  DaemonState state = DaemonState::kAbsent;
  // Since when the daemon could receive configuration without interruption;
  // infinite future while the daemon is cut off or paused.
  absl::Time informed_since = absl::InfinitePast();
  // Start of the daemon's graceful shutdown; infinite future if none began.
  absl::Time stop_began = absl::InfiniteFuture();
  absl::Time ended = absl::InfiniteFuture();
  absl::Time resumed = absl::InfinitePast();  // End of the last pause.
};

// The actual state of one server, and since when operators drain the server.
struct ServerTruth {
  bool up = true;
  std::uint64_t incarnation = 1;  // Grows with each restart.
  // When operators began to drain the server or deleted the server; infinite
  // future if they did neither.
  absl::Time leaving_since = absl::InfiniteFuture();
  // When the server was killed; infinite future while the server is up.
  absl::Time down_since = absl::InfiniteFuture();
  std::vector<ServiceIndex> services;
};

// The actual state of the emulated deployment, against which the counters check
// the daemons: states of daemons and servers, the changes that operators made
// and the times at which the platform accepted them, and which zones can reach
// each other. Not thread-safe.
class World {
 public:
  // `topology` must outlive the world.
  explicit World(const Topology& topology);

  const Topology& topology() const { return topology_; }
  DaemonTruth& daemon(DaemonIndex i) { return daemons_[i]; }
  const DaemonTruth& daemon(DaemonIndex i) const { return daemons_[i]; }
  ServerTruth& server(ServerIndex i) { return servers_[i]; }
  const ServerTruth& server(ServerIndex i) const { return servers_[i]; }

  // When operators took the zone out of service; infinite future while the zone
  // is in service.
  absl::Time zone_out_since(ZoneIndex zone) const {
    return zone_out_since_[zone];
  }
  void set_zone_out_since(ZoneIndex zone, absl::Time when) {
    zone_out_since_[zone] = when;
  }

  // Partitions `zones` from all other zones, from each other and from the
  // platform.
  void Cut(const std::vector<ZoneIndex>& zones);
  // Ends all partitions at `now`.
  void Heal(absl::Time now);
  // Load windows that begin before this time are excluded from the settled
  // service share (LoadMeter::SettledServiceShare()), because a zone was just
  // taken out or in.
  void set_unsettled_until(absl::Time when) { unsettled_until_ = when; }
  absl::Time unsettled_until() const { return unsettled_until_; }

  bool IsCut(ZoneIndex zone) const { return cut_[zone]; }
  // Whether packets pass between the zones `a` and `b`.
  bool Connected(ZoneIndex a, ZoneIndex b) const {
    return a == b || (!cut_[a] && !cut_[b]);
  }

  // Whether connections that this incarnation of the server accepted can go on:
  // the server is up and has not restarted, and its zone is not taken out.
  bool KeepsConnections(ServerIndex server, std::uint64_t incarnation) const;
  // Whether the server is configured for the service.
  bool Serves(ServerIndex server, ServiceIndex service) const;
  // Whether the server is up and not draining, and its zone is not taken out.
  bool InService(ServerIndex server) const;
  // Whether the server is up and can be reached from `caller_zone`, and a
  // daemon that serves flows and requests can be reached as well.
  bool PathExists(ZoneIndex caller_zone, ServerIndex server) const;
  // Whether a live or stopping daemon can be reached from the zone.
  bool AnyLiveDaemon(ZoneIndex reachable_from) const;

 private:
  const Topology& topology_;
  std::vector<DaemonTruth> daemons_;
  std::vector<ServerTruth> servers_;
  std::vector<absl::Time> zone_out_since_;
  std::vector<bool> cut_;
  absl::Time unsettled_until_ = absl::InfinitePast();
};

}  // namespace gcw::lab

#endif  // SRC_LAB_WORLD_H_
