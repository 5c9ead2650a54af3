#include "src/routing/service_directory.h"

#include <utility>

namespace gcw::routing {

std::vector<ServiceTables*> ServiceDirectory::Apply(
    const config::Snapshot& snapshot,
    const ServerRegistry& registry,
    absl::Time activate_at) {
  std::vector<ServiceTables*> changed;
  absl::flat_hash_map<Endpoint, ServiceTables*> owners;
  for (const auto& [name, service] : snapshot.services) {
    if (service.kind == config::ServiceKind::kRequest) {
      continue;
    }
    ServiceTables& tables = FindOrCreate(name);
    tables.set_flow_idle(absl::Seconds(service.limits.flow_idle_seconds));
    if (tables.ScheduleTable(SpecOf(snapshot, service), registry,
                             activate_at)) {
      changed.push_back(&tables);
    }
    for (const Endpoint& address : service.addresses) {
      owners[address] = &tables;
    }
  }
  for (auto& [address, entry] : by_address_) {
    // The entry of an address that no service uses is kept, so that the next
    // service with this address counts as another owner.
    const auto owner = owners.find(address);
    if (owner == owners.end()) {
      continue;
    }
    entry.reassigned |= owner->second != entry.service;
    entry.service = owner->second;
  }
  for (const auto& [address, tables] : owners) {
    by_address_.try_emplace(address, ServiceAddress{tables});
  }
  for (auto& [address, entry] : by_address_) {
    entry.in_use = owners.contains(address);
  }
  return changed;
}

const ServiceAddress* ServiceDirectory::Find(const Endpoint& address) const {
  const auto found = by_address_.find(address);
  if (found == by_address_.end() || !found->second.in_use) {
    return nullptr;
  }
  return &found->second;
}

ServiceTables* ServiceDirectory::FindById(ServiceId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

ServiceTables& ServiceDirectory::FindOrCreate(const std::string& name) {
  const auto [found, added] = by_id_.try_emplace(ServiceIdOf(name), nullptr);
  if (added) {
    services_.push_back(std::make_unique<ServiceTables>(
        static_cast<std::uint32_t>(services_.size()), name));
    found->second = services_.back().get();
  }
  return *found->second;
}

}  // namespace gcw::routing
