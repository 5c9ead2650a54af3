#ifndef SRC_LAB_WORLD_H_
#define SRC_LAB_WORLD_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/topology.h"

namespace gcw::lab {

enum class DaemonState { kAbsent, kLive, kStopping, kPaused, kDead };

// What is true of one daemon, whatever anyone has heard.
struct DaemonTruth {
  DaemonState state = DaemonState::kAbsent;
  // Since when the daemon could hear of configuration without a break.
  absl::Time informed_since = absl::InfinitePast();
  absl::Time stop_began = absl::InfiniteFuture();  // Graceful shutdown.
  absl::Time ended = absl::InfiniteFuture();
  absl::Time resumed = absl::InfinitePast();  // After the last pause.
};

// What is true of one server and what operators have asked of it.
struct ServerTruth {
  bool up = true;
  std::uint64_t incarnation = 1;  // Grows with each restart.
  absl::Time leaving_since = absl::InfiniteFuture();
  absl::Time down_since = absl::InfiniteFuture();
  std::vector<ServiceIndex> services;
};

// The truth that the counters judge by: states, wishes of operators with the
// time of their acceptance, and which zones can reach each other. Not
// thread-safe.
class World {
 public:
  // `topology` must outlive the world.
  explicit World(const Topology& topology);

  const Topology& topology() const { return topology_; }
  DaemonTruth& daemon(DaemonIndex i) { return daemons_[i]; }
  const DaemonTruth& daemon(DaemonIndex i) const { return daemons_[i]; }
  ServerTruth& server(ServerIndex i) { return servers_[i]; }
  const ServerTruth& server(ServerIndex i) const { return servers_[i]; }

  // When operators took the zone out; infinite future while it is in.
  absl::Time zone_out_since(ZoneIndex zone) const { return zone_out_[zone]; }
  void set_zone_out_since(ZoneIndex zone, absl::Time when) {
    zone_out_[zone] = when;
  }

  // Cuts `zones` off from all others and from the platform. Each cut zone is
  // an island of its own.
  void Cut(const std::vector<ZoneIndex>& zones);
  // Ends all cuts at `now`.
  void Heal(absl::Time now);
  // The time around a zone's leaving and returning is judged apart.
  void set_unsettled_until(absl::Time when) { unsettled_until_ = when; }
  absl::Time unsettled_until() const { return unsettled_until_; }

  bool IsCut(ZoneIndex zone) const { return cut_[zone]; }
  bool Connected(ZoneIndex a, ZoneIndex b) const {
    return a == b || (!cut_[a] && !cut_[b]);
  }

  // Whether connections of this incarnation of the server can go on.
  bool KeepsConnections(ServerIndex server, std::uint64_t incarnation) const;
  bool Serves(ServerIndex server, ServiceIndex service) const;
  // Whether the server is up, not asked to leave, and its zone is in.
  bool InService(ServerIndex server) const;
  // Whether a live daemon stands between callers of `zone` and the server.
  bool PathExists(ZoneIndex caller_zone, ServerIndex server) const;
  bool AnyLiveDaemon(ZoneIndex reachable_from) const;

 private:
  const Topology& topology_;
  std::vector<DaemonTruth> daemons_;
  std::vector<ServerTruth> servers_;
  std::vector<absl::Time> zone_out_;
  std::vector<bool> cut_;
  absl::Time unsettled_until_ = absl::InfinitePast();
};

}  // namespace gcw::lab

#endif  // SRC_LAB_WORLD_H_
