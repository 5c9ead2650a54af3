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

// The part of a route's new flows that a service gets, relative to others.
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// The address that callers use, and the services behind it.
struct Route {
  Endpoint address;
  std::string name;
  std::vector<ServiceShare> services;
  std::uint32_t priority = 0;  // 0 gives way last.
  // Answers should be there within this time; zero: not known.
  absl::Duration target_latency;

  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::uint32_t max_flows = 0;  // Of one backend server; 0: unlimited.
  // New flows a second that a cold backend server bears from the whole fleet.
  double cold_flows_per_second = 0;

  bool operator==(const Service&) const = default;
};

// The routes and services in force. `version` is the operators' own number.
struct Configuration {
  Version version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  // A flow without packets for this long may be forgotten.
  absl::Duration flow_idle_timeout = absl::Seconds(15);

  bool operator==(const Configuration&) const = default;
};

// One incarnation of a backend server, as it describes itself.
struct BackendServer {
  std::string name;
  // Marks packets that only this server may take; unique per name.
  std::uint64_t number = 0;
  // Start of the incarnation in ms since 1970, by the server's own clock.
  std::int64_t incarnation = 0;
  std::string service;
  Endpoint address;
  std::string zone;
  std::uint32_t slots = 1;  // Requests that run at the same time.
  bool draining = false;    // Keeps its flows, wants no new ones.
  // How long it stays cold, from the moment of the report.
  absl::Duration cold_for = absl::ZeroDuration();

  bool operator==(const BackendServer&) const = default;
};

// The cookie of an incarnation: equal on all daemons, never 0. Thread-safe.
FlowCookie CookieOf(const BackendServer& server);

}  // namespace gcw::direct

#endif  // GCW_DIRECT_RESOURCES_H_
