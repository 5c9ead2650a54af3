#ifndef GCW_CONFIG_RESOURCES_H_
#define GCW_CONFIG_RESOURCES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/endpoint.h"

namespace gcw::config {

// The platform's version of the write that made an object what it is. Versions
// of all objects come from one counter that only grows, so the largest version
// seen is also the revision of the whole configuration.
using Version = std::uint64_t;

// What operators want of a backend server.
enum class ServerState {
  kIn,        // Takes new work.
  kDraining,  // Keeps its established flows, takes no new work.
  kOut,       // Takes no packet.
};

// What operators want of an availability zone.
enum class ZoneState {
  kIn,
  kOut,  // Gets no packet; flows that end in it are given up.
};

// What a service carries. TCP packets to a service's address are flows, UDP
// datagrams to it are requests.
enum class ServiceKind { kFlow, kRequest, kMixed };

// An organisation: the owner of services and of the token that may change them.
struct Organisation {
  std::string name;
  std::string token_sha256;  // Salted hash, see auth; never the token.
  Version version = 0;

  bool operator==(const Organisation&) const = default;
};

// That a backend server serves a service, with its share relative to others.
struct ServiceMember {
  std::string server;
  std::uint32_t weight = 100;  // 0 to 1000; 0 takes no new work.

  bool operator==(const ServiceMember&) const = default;
};

struct ServiceLimits {
  std::uint32_t queue = 200;                // Requests waiting on one daemon.
  std::uint32_t flow_idle_seconds = 43200;  // A quiet flow is kept this long.

  bool operator==(const ServiceLimits&) const = default;
};

struct Service {
  std::string name;
  std::string organisation;
  ServiceKind kind = ServiceKind::kMixed;
  std::vector<Endpoint> addresses;
  std::vector<ServiceMember> servers;
  ServiceLimits limits;
  Version version = 0;

  bool operator==(const Service&) const = default;
};

struct BackendServer {
  std::string name;
  std::string
      organisation;  // Empty: shared by all organisations, changed by the pool.
  Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;           // Requests that run at the same time.
  std::uint32_t connections = 2000;  // Open flows.
  ServerState state = ServerState::kIn;
  Version version = 0;
  // Version at which this server object was created: a server made anew under
  // an old name or address is another incarnation.
  Version created = 0;

  bool operator==(const BackendServer&) const = default;
};

struct AvailabilityZone {
  std::string name;
  ZoneState state = ZoneState::kIn;
  Version version = 0;

  bool operator==(const AvailabilityZone&) const = default;
};

// The words that resources use for states and kinds. Thread-safe.
std::string_view ToString(ServerState state);
std::string_view ToString(ZoneState state);
std::string_view ToString(ServiceKind kind);

}  // namespace gcw::config

#endif  // GCW_CONFIG_RESOURCES_H_
