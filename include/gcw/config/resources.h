#ifndef GCW_CONFIG_RESOURCES_H_
#define GCW_CONFIG_RESOURCES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/store_version.h"

namespace gcw::config {

// The version that the platform assigned to the last write of an object. The
// versions of all objects come from one increasing sequence, so the largest
// version in a set of objects is also the version of the set.
using Version = StoreVersion;

// The state that operators have set for a backend server.
enum class ServerState {
  kIn,        // The server takes new flows and requests.
  kDraining,  // The server keeps established flows and takes no new ones.
  kOut,       // No packets are sent to the server.
};

// The state that operators have set for an availability zone.
enum class ZoneState {
  kIn,   // The zone is in service.
  kOut,  // No packets are sent to the zone's servers; their flows are
         // abandoned.
};

// The kind of traffic that a service carries. TCP packets to an address of the
// service belong to flows; each UDP datagram to the address is a request.
enum class ServiceKind { kFlow, kRequest, kMixed };

// An organisation owns services and backend servers. Its token authorizes
// callers to change them.
struct Organisation {
  std::string name;
  // Salted hash of the token in the format of gcw/auth; never the token itself.
  std::string token_sha256;
  Version version = 0;

  bool operator==(const Organisation&) const = default;
};

// A backend server of a service. The service's traffic is shared among its
// backend servers in proportion to their weights.
struct ServiceMember {
  std::string server;
  // From 0 to kMaxWeight. A server with weight 0 gets no new flows or requests.
  std::uint32_t weight = 100;

  bool operator==(const ServiceMember&) const = default;
};

// Limits that each daemon applies to the traffic of one service.
struct ServiceLimits {
  // Maximum number of requests of the service that wait on one daemon.
  std::uint32_t queue = 200;
  // A flow without packets is forgotten after this time.
  std::uint32_t flow_idle_seconds = 43200;

  bool operator==(const ServiceLimits&) const = default;
};

// A service: the addresses that callers use and the backend servers behind
// them.
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

// A backend server that serves flows and requests of one or more services.
struct BackendServer {
  std::string name;
  // Empty if all organisations share the server. Only the operators of the
  // server pool may change a shared server.
  std::string organisation;
  Endpoint address;
  std::string zone;
  // Maximum number of requests that the server runs at the same time.
  std::uint32_t slots = 1;
  // Maximum number of open flows.
  std::uint32_t connections = 2000;
  ServerState state = ServerState::kIn;
  Version version = 0;
  // Version at which this server object was created. If a server is deleted and
  // created again with the same name or address, this version tells the two
  // incarnations apart.
  Version created = 0;

  // Identifies the creation of the server object among those of the same name.
  // Unlike `created`, it stays the same when the platform is restored, which
  // gives all objects new versions but creates none. Thread-safe.
  std::uint64_t creation() const { return RevisionOf(created); }

  bool operator==(const BackendServer&) const = default;
};

// An availability zone in which daemons and backend servers run.
struct AvailabilityZone {
  std::string name;
  ZoneState state = ZoneState::kIn;
  Version version = 0;

  bool operator==(const AvailabilityZone&) const = default;
};

// Return the name of a state or kind as used in specs, for example "draining".
// Thread-safe.
std::string_view ToString(ServerState state);
std::string_view ToString(ZoneState state);
std::string_view ToString(ServiceKind kind);

}  // namespace gcw::config

#endif  // GCW_CONFIG_RESOURCES_H_
