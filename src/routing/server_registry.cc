#include "src/routing/server_registry.h"

#include "absl/container/flat_hash_set.h"

namespace gcw::routing {

bool AcceptsPackets(const config::Snapshot& snapshot,
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
    if (AcceptsPackets(snapshot, server)) {
      present.insert(ServerIdOf(server));
    }
  }
  bool changed = false;
  for (ServerIncarnation& incarnation : incarnations_) {
    if (!incarnation.accepts_packets || present.contains(incarnation.id)) {
      continue;
    }
    incarnation.accepts_packets = false;
    incarnation.accepts_new_flows = false;
    by_id_.erase(incarnation.id);
    by_address_.erase(incarnation.address);
    by_name_.erase(incarnation.name);
    changed = true;
  }
  for (const auto& [name, server] : snapshot.servers) {
    const ServerId id = ServerIdOf(server);
    if (!present.contains(id)) {
      continue;
    }
    const auto [found, added] =
        by_id_.try_emplace(id, static_cast<ServerIndex>(incarnations_.size()));
    if (added) {
      ServerIncarnation incarnation;
      incarnation.name = name;
      incarnation.id = id;
      incarnation.address = server.address;
      incarnation.created = server.created;
      incarnation.accepts_packets = true;
      incarnations_.push_back(std::move(incarnation));
      changed = true;
    }
    ServerIncarnation& incarnation = incarnations_[found->second];
    incarnation.accepts_new_flows = server.state == config::ServerState::kIn;
    incarnation.connections = server.connections;
    by_address_[incarnation.address] = found->second;
    by_name_[incarnation.name] = found->second;
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
