#include "src/lab/config_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
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
  last_version_ = version.value();
  on_accepted_(last_version_);
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
  const auto version = platform_.Put(key, value, versions_[key]);
  assert(version.ok());
  versions_[key] = version.value();
  last_version_ = version.value();
  on_accepted_(last_version_);
}

}  // namespace gcw::lab
