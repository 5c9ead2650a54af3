#include "src/lab/topology.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace gcw::lab {
namespace {

// Daemons that run only once an event of the scenario starts them.
constexpr std::size_t kSpareDaemons = 4;
constexpr std::uint16_t kServerPort = 9000;
constexpr std::uint16_t kServicePort = 7443;
constexpr std::uint16_t kFabricPort = 7000;
constexpr std::uint16_t kPlatformPort = 8080;
constexpr std::uint32_t kServiceNetworkIp = 0xc6336400;  // 198.51.100.0
constexpr int kConnections = 2000;
constexpr int kMainServers = 14;
constexpr int kSmallServers = 4;
// Servers of the main service that also serve the other organisation.
constexpr int kSharedServers = 3;
// Slots that requests of the other organisation fill at full load, and the
// shares of all new flows that this organisation and the small service get.
constexpr double kOtherOrganisationSlots = 1.5;
constexpr double kOtherOrganisationFlows = 0.1;
constexpr double kSmallServiceFlows = 0.2;

// The fixed properties of a deployment. Its organisation has a main and a small
// service; the other organisation has one service on some of the main service's
// servers.
struct Deployment {
  std::string_view name;
  std::string_view organisation;
  std::string_view other_organisation;
  std::array<std::string_view, 3> zones;
  std::string_view main_service;
  std::string_view small_service;
  std::string_view other_service;
  absl::Duration zone_delay;
  absl::Duration caller_delay;
  int slots;  // Slots of each server.
  absl::Duration main_service_time;
  absl::Duration small_service_time;
};

const std::array<Deployment, 2>& Deployments() {
  static const std::array<Deployment, 2> deployments = {
      Deployment{"valtellina",
                 "valtellina",
                 "tayside",
                 {"sondrio", "tirano", "morbegno"},
                 "dispatch",
                 "archive",
                 "shelf",
                 absl::Milliseconds(1),
                 absl::Milliseconds(3),
                 3,
                 absl::Milliseconds(200),
                 absl::Milliseconds(120)},
      Deployment{"scot-east",
                 "tayside",
                 "valtellina",
                 {"a", "b", "c"},
                 "orders",
                 "shelf",
                 "photos",
                 absl::Milliseconds(1),
                 absl::Milliseconds(1),
                 2,
                 absl::Milliseconds(150),
                 absl::Milliseconds(100)},
  };
  return deployments;
}

const Deployment* FindDeployment(std::string_view name) {
  const auto* it =
      std::find_if(Deployments().begin(), Deployments().end(),
                   [&](const Deployment& base) { return base.name == name; });
  return it == Deployments().end() ? nullptr : it;
}

// The address 127.`octet`.`third`.`fourth`.
std::uint32_t LoopbackIp(int octet, std::size_t third, std::size_t fourth) {
  return static_cast<std::uint32_t>(127U << 24 | octet << 16 | third << 8 |
                                    fourth);
}

// Adds `count` servers that are named after `service` and spread over the
// zones.
void AddServers(Topology& topology,
                const Deployment& base,
                std::string_view service,
                int count,
                int octet) {
  for (int i = 0; i < count; ++i) {
    const ZoneIndex zone = topology.servers.size() % topology.zones.size();
    const std::size_t number = topology.servers.size() + 1;
    topology.servers.push_back(
        {fmt::format("{}-{}", service, i + 1), zone,
         Endpoint{LoopbackIp(octet, 10 + zone, number), kServerPort},
         base.slots, kConnections});
  }
}

// Adds a service with the `count` servers from `first` on.
void AddService(Topology& topology,
                std::string_view name,
                std::string_view organisation,
                ServerIndex first,
                int count) {
  ServiceInfo service;
  service.name = std::string(name);
  service.organisation = std::string(organisation);
  const auto number = static_cast<std::uint32_t>(topology.services.size() + 1);
  service.address = {kServiceNetworkIp + number, kServicePort};
  for (int i = 0; i < count; ++i) {
    service.servers.push_back(first + static_cast<ServerIndex>(i));
  }
  topology.services.push_back(std::move(service));
}

// Sets the load and the answers of the three services.
void SetLoad(const Deployment& base, Topology& topology) {
  ServiceInfo& main = topology.services[0];
  main.slots_at_full_load = kMainServers * base.slots - kOtherOrganisationSlots;
  main.flow_share = 1 - kSmallServiceFlows - kOtherOrganisationFlows;
  main.mean_service_time = base.main_service_time;
  main.answer_bytes = 600;
  ServiceInfo& small = topology.services[1];
  small.slots_at_full_load = kSmallServers * base.slots;
  small.flow_share = kSmallServiceFlows;
  small.mean_service_time = base.small_service_time;
  small.answer_bytes = 3000;
  ServiceInfo& other = topology.services[2];
  other.slots_at_full_load = kOtherOrganisationSlots;
  other.flow_share = kOtherOrganisationFlows;
  other.mean_service_time = base.small_service_time;
  other.answer_bytes = 600;
}

// Returns the index of the first element of `list` that matches the predicate,
// or the size of `list`.
template <typename List, typename Predicate>
std::size_t IndexOf(const List& list, Predicate predicate) {
  return static_cast<std::size_t>(
      std::find_if(list.begin(), list.end(), predicate) - list.begin());
}

}  // namespace

bool IsBase(std::string_view base) {
  return FindDeployment(base) != nullptr;
}

Topology MakeTopology(std::string_view name, int octet, std::size_t daemons) {
  const Deployment* base = FindDeployment(name);
  assert(base != nullptr);
  Topology topology;
  topology.base = std::string(name);
  topology.organisations = {std::string(base->organisation),
                            std::string(base->other_organisation)};
  topology.zones.assign(base->zones.begin(), base->zones.end());
  topology.zone_delay = base->zone_delay;
  topology.caller_delay = base->caller_delay;
  topology.fabric = {LoopbackIp(octet, 0, 1), kFabricPort};
  topology.platform = {LoopbackIp(octet, 0, 2), kPlatformPort};
  for (std::size_t i = 0; i < daemons + kSpareDaemons; ++i) {
    topology.daemons.push_back({fmt::format("entry-{}", i + 1),
                                i % topology.zones.size(),
                                LoopbackIp(octet, 1, i + 1),
                                LoopbackIp(octet, 2, i + 1), i >= daemons});
  }
  AddServers(topology, *base, base->main_service, kMainServers, octet);
  AddServers(topology, *base, base->small_service, kSmallServers, octet);
  AddService(topology, base->main_service, base->organisation, 0, kMainServers);
  AddService(topology, base->small_service, base->organisation, kMainServers,
             kSmallServers);
  AddService(topology, base->other_service, base->other_organisation, 0,
             kSharedServers);
  SetLoad(*base, topology);
  return topology;
}

ZoneIndex Topology::FindZone(std::string_view name) const {
  return IndexOf(zones, [&](const auto& zone) { return zone == name; });
}

DaemonIndex Topology::FindDaemon(std::string_view name) const {
  return IndexOf(daemons, [&](const auto& d) { return d.name == name; });
}

DaemonIndex Topology::FindDaemonByBind(std::uint32_t ip) const {
  return IndexOf(daemons, [&](const auto& d) { return d.bind == ip; });
}

ServerIndex Topology::FindServer(std::string_view name) const {
  return IndexOf(servers, [&](const auto& s) { return s.name == name; });
}

ServiceIndex Topology::FindService(std::string_view name) const {
  return IndexOf(services, [&](const auto& s) { return s.name == name; });
}

ServiceIndex Topology::FindServiceByAddress(const Endpoint& address) const {
  return IndexOf(services, [&](const auto& s) { return s.address == address; });
}

}  // namespace gcw::lab
