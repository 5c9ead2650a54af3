#ifndef GCW_DIRECT_ACTIVE_CONFIGURATION_H_
#define GCW_DIRECT_ACTIVE_CONFIGURATION_H_

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gcw/direct/events.h"
#include "gcw/direct/resources.h"

namespace gcw::direct {

// The configuration in force, indexed by address and service name. Has no I/O.
// Not thread-safe.
class ActiveConfiguration {
 public:
  // `events` must outlive this object.
  explicit ActiveConfiguration(std::vector<Event>* events) : events_(events) {}

  // Puts `configuration`, which the store has as of `revision`, in force.
  // Returns whether it differs from the one in force until now.
  bool Apply(const Configuration& configuration, Version revision);

  // The route of a service address, or null. Valid until the next Apply().
  const Route* FindRoute(const Endpoint& address) const;
  // The service `name`, or null. Valid until the next Apply().
  const Service* FindService(std::string_view name) const;

  std::span<const Service> services() const { return configuration_.services; }
  // The services that have a route now and had none before the last Apply()
  // that changed something.
  const std::set<std::string>& newly_routed() const { return newly_routed_; }
  std::size_t route_count() const { return routes_.size(); }
  // Configuration::version; 0 before the first configuration.
  Version version() const { return configuration_.version; }
  absl::Duration flow_idle_timeout() const {
    return configuration_.flow_idle_timeout;
  }

 private:
  std::vector<Event>* const events_;
  Configuration configuration_;
  // Indices into `configuration_.routes`, by the address that callers use.
  absl::flat_hash_map<Endpoint, std::size_t> routes_;
  // Indices into `configuration_.services`, by name.
  std::map<std::string, std::size_t, std::less<>> services_;
  std::set<std::string> newly_routed_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_ACTIVE_CONFIGURATION_H_
