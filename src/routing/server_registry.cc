#include "src/routing/server_registry.h"

#include "absl/container/flat_hash_set.h"

namespace gcw::routing {

bool MayTakePackets(const config::Snapshot& snapshot,
                    const config::BackendServer& server) {
  if (server.state == config::ServerState::kOut) {
    return false;
  }
  const auto zone = snapshot.zones.find(server.zone);
  return zone == snapshot.zones.end() ||
         zone->second.state == config::ZoneState::kIn;
}

bool ServerRegistry::Apply(const config::Snapshot& snapshot) {
  absl::flat_hash_set<ServerId> present;
  for (const auto& [name, server] : snapshot.servers) {
    if (MayTakePackets(snapshot, server)) {
      present.insert(ServerIdOf(server));
    }
  }
  bool changed = false;
  for (ServerLife& life : lives_) {
    if (!life.alive || present.contains(life.id)) {
      continue;
    }
    life.alive = false;
    life.takes_new = false;
    by_id_.erase(life.id);
    by_address_.erase(life.address);
    by_name_.erase(life.name);
    changed = true;
  }
  for (const auto& [name, server] : snapshot.servers) {
    const ServerId id = ServerIdOf(server);
    if (!present.contains(id)) {
      continue;
    }
    const auto [found, added] =
        by_id_.try_emplace(id, static_cast<ServerIndex>(lives_.size()));
    if (added) {
      ServerLife life;
      life.name = name;
      life.id = id;
      life.address = server.address;
      life.created = server.created;
      life.alive = true;
      lives_.push_back(std::move(life));
      changed = true;
    }
    ServerLife& life = lives_[found->second];
    life.takes_new = server.state == config::ServerState::kIn;
    life.connections = server.connections;
    by_address_[life.address] = found->second;
    by_name_[life.name] = found->second;
  }
  return changed;
}

ServerIndex ServerRegistry::Find(ServerId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? kNoServer : found->second;
}

ServerIndex ServerRegistry::FindByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? kNoServer : found->second;
}

ServerIndex ServerRegistry::FindByAddress(const Endpoint& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? kNoServer : found->second;
}

}  // namespace gcw::routing
