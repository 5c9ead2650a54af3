#ifndef GCW_DIRECT_RESOURCES_H_
#define GCW_DIRECT_RESOURCES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/config/resources.h"
#include "gcw/direct/packet.h"

namespace gcw::direct {

using config::Version;

// A service behind a route, with its weight among the services of that route.
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// An address that callers use, and the services that handle its flows.
struct Route {
  Endpoint address;
  std::string name;
  std::vector<ServiceShare> services;
  // 0 is the most important: under overload its flows are refused last.
  std::uint32_t priority = 0;
  // Time within which answers should arrive; zero if not known.
  absl::Duration target_latency;

  bool operator==(const Route&) const = default;
};

// A set of interchangeable backend servers.
struct Service {
  std::string name;
  // Maximum number of open flows of each daemon per backend server; 0 means
  // unlimited.
  std::uint32_t max_flows = 0;
  // New flows per second that the whole fleet may send to one cold backend
  // server.
  double cold_flows_per_second = 0;
  // How long a server stays cold after its start, at most.
  absl::Duration cold_time = absl::ZeroDuration();

  bool operator==(const Service&) const = default;
};

// The routes and services in force.
struct Configuration {
  Version version = 0;  // Assigned by the operators.
  std::vector<Route> routes;
  std::vector<Service> services;
  // Flows without a packet for this long are removed from the flow table.
  absl::Duration flow_idle_timeout = absl::Seconds(15);

  bool operator==(const Configuration&) const = default;
};

// One incarnation of a backend server, as the server reports itself.
struct BackendServer {
  std::string name;
  // Written into forwarded packets, so that no other server at the same address
  // accepts them. Servers with different names have different numbers.
  std::uint64_t number = 0;
  // Start of the incarnation in ms since 1970, by the server's own clock.
  std::int64_t incarnation = 0;
  std::string service;
  Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;  // Requests that the server can run at once.
  bool draining = false;    // Keeps its open flows and gets no new ones.
  // Rises with each report of the incarnation; 0 if the server does not number
  // its reports.
  std::uint64_t report_number = 0;
  // How long the server stays cold (gets new flows at a limited rate: slow
  // start), from the time of the report.
  absl::Duration cold_for = absl::ZeroDuration();

  bool operator==(const BackendServer&) const = default;
};

// Whether two reports say the same of a server: they are equal except for
// report_number. Thread-safe.
bool SameState(const BackendServer& a, const BackendServer& b);

// Whether a server made the report `a` before its report `b`, by the time of
// its start and the numbers of its reports. The store may have executed them in
// the other order. Thread-safe.
bool IsEarlier(const BackendServer& a, const BackendServer& b);

// The cookie of a server: the same on all daemons and for all incarnations of
// the server, and never 0. A daemon that knows the server under any incarnation
// can thus forward a packet of its flows, and a server resets flows that it
// does not hold. Servers whose numbers have at most 32 bits have different
// cookies. Thread-safe.
FlowCookie CookieOf(const BackendServer& server);

// Identifies one incarnation of a server in figures that daemons exchange; 0
// identifies none. Two incarnations may have the same key by chance.
using IncarnationKey = std::uint32_t;
// The same on all daemons. Thread-safe.
IncarnationKey KeyOf(const BackendServer& server);

}  // namespace gcw::direct

#endif  // GCW_DIRECT_RESOURCES_H_
