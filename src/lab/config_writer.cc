#include "src/lab/config_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <utility>

namespace gcw::lab {

ConfigWriter::ConfigWriter(const Topology& topology,
                           fake_platform::FakePlatform& platform,
                           OnAccepted on_accepted)
    : topology_(topology),
      platform_(platform),
      on_accepted_(std::move(on_accepted)) {
  for (ServerIndex i = 0; i < topology.servers.size(); ++i) {
    const ServerInfo& info = topology.servers[i];
    config::BackendServer server;
    server.name = info.name;
    server.address = info.address;
    server.zone = topology.zones[info.zone];
    server.slots = static_cast<std::uint32_t>(info.slots);
    server.connections = static_cast<std::uint32_t>(info.connections);
    servers_[i] = server;
  }
  for (ServiceIndex i = 0; i < topology.services.size(); ++i) {
    const ServiceInfo& info = topology.services[i];
    config::Service service;
    service.name = info.name;
    service.organisation = info.organisation;
    service.addresses = {info.address};
    for (const ServerIndex server : info.servers) {
      service.servers.push_back({topology.servers[server].name});
    }
    services_[i] = service;
  }
}

void ConfigWriter::WriteAll() {
  for (const std::string& name : topology_.organisations) {
    config::Organisation organisation;
    organisation.name = name;
    Write(organisation);
  }
  for (ZoneIndex i = 0; i < topology_.zones.size(); ++i) {
    SetZoneState(i, config::ZoneState::kIn);
  }
  for (const auto& [index, server] : servers_) {
    Write(server);
  }
  for (const auto& [index, service] : services_) {
    Write(service);
  }
}

void ConfigWriter::SetServerState(ServerIndex server,
                                  config::ServerState state) {
  servers_[server].state = state;
  Write(servers_[server]);
}

void ConfigWriter::SetZoneState(ZoneIndex zone, config::ZoneState state) {
  config::AvailabilityZone value;
  value.name = topology_.zones[zone];
  value.state = state;
  Write(value);
}

void ConfigWriter::SetWeight(ServiceIndex service,
                             ServerIndex server,
                             std::uint32_t weight) {
  auto& members = services_[service].servers;
  const std::string& name = topology_.servers[server].name;
  const auto member = std::find_if(
      members.begin(), members.end(),
      [&](const config::ServiceMember& m) { return m.server == name; });
  if (member == members.end()) {
    members.push_back({name, weight});
  } else {
    member->weight = weight;
  }
  Write(services_[service]);
}

void ConfigWriter::DeleteServer(ServerIndex server) {
  const std::string& name = topology_.servers[server].name;
  for (auto& [index, service] : services_) {
    const auto removed = std::erase_if(
        service.servers,
        [&](const config::ServiceMember& m) { return m.server == name; });
    if (removed > 0) {
      Write(service);
    }
  }
  const std::string key = config::KeyOf({config::ResourceKind::kServer, name});
  const auto version = platform_.Delete(key, versions_[key]);
  assert(version.ok());
  versions_.erase(key);
  values_.erase(key);
  OnAcceptedRevision(version.value());
}

void ConfigWriter::CreateServer(ServerIndex server, ServiceIndex service) {
  servers_[server].state = config::ServerState::kIn;
  Write(servers_[server]);
  SetWeight(service, server, config::ServiceMember().weight);
}

void ConfigWriter::Write(const config::Resource& resource) {
  const std::string key = config::KeyOf(config::IdOf(resource));
  const std::string value =
      config::EncodeStored(fmt::format("lab-{}", ++operations_), resource);
  Put(key, value);
}

void ConfigWriter::Put(const std::string& key, const std::string& value) {
  const auto version = platform_.Put(key, value, versions_[key]);
  assert(version.ok());
  versions_[key] = version.value();
  values_[key] = value;
  OnAcceptedRevision(version.value());
}

void ConfigWriter::OnAcceptedRevision(std::uint64_t revision) {
  last_version_ = MakeStoreVersion(platform_.epoch(), revision);
  on_accepted_(last_version_);
}

void ConfigWriter::WriteAgain() {
  versions_.clear();
  std::set<std::string> unchanged;
  for (const auto& object : platform_.List(config::kConfigPrefix).objects) {
    const auto value = values_.find(object.key);
    if (value == values_.end()) {
      (void)platform_.Delete(object.key, object.version);
      continue;
    }
    versions_[object.key] = object.version;
    if (value->second == object.value) {
      unchanged.insert(object.key);
    }
  }
  for (const auto& [key, value] : std::map(values_)) {
    if (!unchanged.contains(key)) {
      Put(key, value);
    }
  }
}

}  // namespace gcw::lab
