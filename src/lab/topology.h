#ifndef SRC_LAB_TOPOLOGY_H_
#define SRC_LAB_TOPOLOGY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::lab {

// Indices name zones, daemons, servers and services throughout the lab.
using ZoneIndex = std::size_t;
using DaemonIndex = std::size_t;
using ServerIndex = std::size_t;
using ServiceIndex = std::size_t;

struct DaemonInfo {
  std::string name;
  ZoneIndex zone = 0;
  std::uint32_t bind = 0;       // IP number that the process binds.
  std::uint32_t advertise = 0;  // IP number of the proxy in front of it.
  bool spare = false;           // Started only by an add_daemon event.
};

struct ServerInfo {
  std::string name;
  ZoneIndex zone = 0;
  Endpoint address;
  int slots = 1;
  int connections = 2000;
};

struct ServiceInfo {
  std::string name;
  std::string organisation;
  Endpoint address;
  std::vector<ServerIndex> servers;
  // The share of its servers' slots that full load fills.
  double slots_at_full_load = 0;
  double flow_share = 0;  // Of all new flows.
  absl::Duration mean_service_time;
  int answer_bytes = 0;
};

// Who stands where in one deployment. Immutable during a run.
struct Topology {
  std::string base;
  std::vector<std::string> organisations;
  std::vector<std::string> zones;
  absl::Duration zone_delay;    // One way between zones.
  absl::Duration caller_delay;  // One way between callers and the fabric.
  std::vector<DaemonInfo> daemons;
  std::vector<ServerInfo> servers;
  std::vector<ServiceInfo> services;
  Endpoint fabric;
  Endpoint platform;

  // Each returns the count of the list if there is no such name or address.
  ZoneIndex FindZone(std::string_view name) const;
  DaemonIndex FindDaemon(std::string_view name) const;
  DaemonIndex FindDaemonByBind(std::uint32_t ip) const;
  ServerIndex FindServer(std::string_view name) const;
  ServiceIndex FindService(std::string_view name) const;
  ServiceIndex FindServiceByAddress(const Endpoint& address) const;
};

// Whether MakeTopology knows `base`.
bool IsBase(std::string_view base);

// The deployment `base` in the loopback network 127.`octet`.0.0/16, with
// `daemons` daemons and some spare ones. Precondition: IsBase(base).
Topology MakeTopology(std::string_view base, int octet, std::size_t daemons);

}  // namespace gcw::lab

#endif  // SRC_LAB_TOPOLOGY_H_
