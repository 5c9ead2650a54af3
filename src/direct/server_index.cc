#include "src/direct/server_index.h"

#include <algorithm>

namespace gcw::direct {

void ServerIndex::Add(ServerEntry& entry) {
  MakeLatest(entry);
  // If two servers have the same cookie, flows that carry it belong to the
  // server that was read first.
  const bool owns_cookie =
      FindByCookie(entry.cookie)->server.name == entry.server.name;
  const bool owns_key = by_key_.try_emplace(entry.key, &entry).second;
  entry.collides = !owns_cookie || !owns_key;
  SetAddress(entry);
}

void ServerIndex::MakeLatest(ServerEntry& entry) {
  by_name_[entry.server.name] = &entry;
  ServerEntry*& holder = by_cookie_[entry.cookie];
  if (holder == nullptr || holder->server.name == entry.server.name) {
    holder = &entry;
  }
}

void ServerIndex::SetAddress(ServerEntry& entry) {
  ServerEntry*& latest = by_address_[entry.server.address];
  if (latest == nullptr || latest->server.name == entry.server.name ||
      latest->server.incarnation <= entry.server.incarnation) {
    latest = &entry;
  }
}

void ServerIndex::Remove(const ServerEntry& entry) {
  const auto by_name = by_name_.find(entry.server.name);
  if (by_name != by_name_.end() && by_name->second == &entry) {
    by_name_.erase(by_name);
  }
  const auto by_cookie = by_cookie_.find(entry.cookie);
  if (by_cookie != by_cookie_.end() && by_cookie->second == &entry) {
    by_cookie_.erase(by_cookie);
  }
  const auto by_key = by_key_.find(entry.key);
  if (by_key != by_key_.end() && by_key->second == &entry) {
    by_key_.erase(by_key);
  }
  absl::erase_if(by_address_,
                 [&](const auto& item) { return item.second == &entry; });
}

void ServerIndex::SetServices(
    std::span<const std::unique_ptr<ServerEntry>> entries) {
  by_service_.clear();
  for (const auto& entry : entries) {
    ServiceServers& service = by_service_[entry->server.service];
    service.all.push_back(entry.get());
    auto zone = std::find_if(
        service.zones.begin(), service.zones.end(),
        [&](const ZoneServers& z) { return z.zone == entry->server.zone; });
    if (zone == service.zones.end()) {
      zone = service.zones.insert(zone, {entry->server.zone, {}});
    }
    zone->servers.push_back(entry.get());
  }
}

ServerEntry* ServerIndex::FindByName(std::string_view name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

ServerEntry* ServerIndex::FindByCookie(FlowCookie cookie) const {
  const auto it = by_cookie_.find(cookie);
  return it == by_cookie_.end() ? nullptr : it->second;
}

ServerEntry* ServerIndex::FindByKey(IncarnationKey key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

const ServerEntry* ServerIndex::LatestAt(const Endpoint& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : it->second;
}

std::span<ServerEntry* const> ServerIndex::OfService(
    std::string_view service) const {
  const auto it = by_service_.find(service);
  return it == by_service_.end()
             ? std::span<ServerEntry* const>()
             : std::span<ServerEntry* const>(it->second.all);
}

std::span<const ZoneServers> ServerIndex::ZonesOfService(
    std::string_view service) const {
  const auto it = by_service_.find(service);
  return it == by_service_.end()
             ? std::span<const ZoneServers>()
             : std::span<const ZoneServers>(it->second.zones);
}

}  // namespace gcw::direct
