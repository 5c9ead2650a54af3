#ifndef SRC_LAB_TOPOLOGY_H_
#define SRC_LAB_TOPOLOGY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::lab {

// The lab identifies zones, daemons, servers and services by their index in the
// lists of Topology.
using ZoneIndex = std::size_t;
using DaemonIndex = std::size_t;
using ServerIndex = std::size_t;
using ServiceIndex = std::size_t;

// A daemon (load balancer process) of the deployment.
struct DaemonInfo {
  std::string name;
  ZoneIndex zone = 0;
  std::uint32_t bind = 0;       // IP address that the process binds.
  std::uint32_t advertise = 0;  // IP address of the PeerProxy in front.
  bool spare = false;           // Not started at the beginning of a run.
};

// A backend server.
struct ServerInfo {
  std::string name;
  ZoneIndex zone = 0;
  Endpoint address;
  int slots = 1;           // Requests that the server runs at once.
  int connections = 2000;  // Most flows that the server accepts.
};

// A service and the load that callers put on it.
struct ServiceInfo {
  std::string name;
  std::string organisation;
  Endpoint address;
  std::vector<ServerIndex> servers;
  // The number of slots of the service's servers that requests fill at full
  // load.
  double slots_at_full_load = 0;
  double flow_share = 0;  // Share of all new flows.
  absl::Duration mean_service_time;
  int answer_bytes = 0;  // Size of an answer's body.
};

// The zones, daemons, servers and services of one emulated deployment, with
// their addresses. Immutable during a run.
struct Topology {
  std::string base;  // Name of the deployment.
  std::vector<std::string> organisations;
  std::vector<std::string> zones;
  absl::Duration zone_delay;    // One-way delay between zones.
  absl::Duration caller_delay;  // One-way delay, callers to fabric.
  std::vector<DaemonInfo> daemons;
  std::vector<ServerInfo> servers;
  std::vector<ServiceInfo> services;
  Endpoint fabric;
  Endpoint platform;

  // The Find functions return the index of the zone, daemon, server or service
  // with the given name or address or, if there is none, the size of `zones`,
  // `daemons`, `servers` or `services`.
  ZoneIndex FindZone(std::string_view name) const;
  DaemonIndex FindDaemon(std::string_view name) const;
  DaemonIndex FindDaemonByBind(std::uint32_t ip) const;
  ServerIndex FindServer(std::string_view name) const;
  ServiceIndex FindService(std::string_view name) const;
  ServiceIndex FindServiceByAddress(const Endpoint& address) const;
};

// Whether MakeTopology() has a deployment named `base`. Thread-safe.
bool IsBase(std::string_view base);

// The deployment named `base` in the loopback network 127.`octet`.0.0/16, with
// `daemons` daemons and 4 spare daemons, which are not started at the beginning
// of a run. Precondition: IsBase(base). Thread-safe.
Topology MakeTopology(std::string_view base, int octet, std::size_t daemons);

}  // namespace gcw::lab

#endif  // SRC_LAB_TOPOLOGY_H_
