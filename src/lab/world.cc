#include "src/lab/world.h"

#include <algorithm>

namespace gcw::lab {

World::World(const Topology& topology)
    : topology_(topology),
      daemons_(topology.daemons.size()),
      servers_(topology.servers.size()),
      zone_out_since_(topology.zones.size(), absl::InfiniteFuture()),
      cut_(topology.zones.size(), false) {
  for (ServiceIndex i = 0; i < topology.services.size(); ++i) {
    for (const ServerIndex server : topology.services[i].servers) {
      servers_[server].services.push_back(i);
    }
  }
}

void World::Cut(const std::vector<ZoneIndex>& zones) {
  for (const ZoneIndex zone : zones) {
    cut_[zone] = true;
  }
  for (DaemonIndex i = 0; i < daemons_.size(); ++i) {
    if (cut_[topology_.daemons[i].zone]) {
      daemons_[i].informed_since = absl::InfiniteFuture();
    }
  }
}

void World::Heal(absl::Time now) {
  std::fill(cut_.begin(), cut_.end(), false);
  for (DaemonTruth& daemon : daemons_) {
    if (daemon.informed_since == absl::InfiniteFuture()) {
      daemon.informed_since = now;
    }
  }
}

bool World::KeepsConnections(ServerIndex server,
                             std::uint64_t incarnation) const {
  const ServerTruth& truth = servers_[server];
  return truth.up && truth.incarnation == incarnation &&
         zone_out_since_[topology_.servers[server].zone] ==
             absl::InfiniteFuture();
}

bool World::Serves(ServerIndex server, ServiceIndex service) const {
  const auto& services = servers_[server].services;
  return std::find(services.begin(), services.end(), service) != services.end();
}

bool World::InService(ServerIndex server) const {
  const ServerTruth& truth = servers_[server];
  return truth.up && truth.leaving_since == absl::InfiniteFuture() &&
         zone_out_since_[topology_.servers[server].zone] ==
             absl::InfiniteFuture();
}

bool World::PathExists(ZoneIndex caller_zone, ServerIndex server) const {
  const ZoneIndex server_zone = topology_.servers[server].zone;
  return servers_[server].up && Connected(caller_zone, server_zone) &&
         AnyLiveDaemon(caller_zone);
}

bool World::AnyLiveDaemon(ZoneIndex reachable_from) const {
  for (DaemonIndex i = 0; i < daemons_.size(); ++i) {
    const DaemonState state = daemons_[i].state;
    const bool serving =
        state == DaemonState::kLive || state == DaemonState::kStopping;
    if (serving && Connected(reachable_from, topology_.daemons[i].zone)) {
      return true;
    }
  }
  return false;
}

}  // namespace gcw::lab
