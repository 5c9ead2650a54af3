#ifndef GCW_SRC_ROUTING_SERVICE_DIRECTORY_H_
#define GCW_SRC_ROUTING_SERVICE_DIRECTORY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/routing/service_tables.h"

namespace gcw::routing {

// The service that owns an address.
struct ServiceAddress {
  ServiceTables* service = nullptr;
  // The address belonged to another service before. A packet without a record
  // may belong to a flow of that service, so every flow of this address is
  // recorded.
  bool reassigned = false;
  // Whether a service of the current configuration has the address.
  bool in_use = true;
};

// All services that carry flows, by address and by identifier. Not thread-safe.
class ServiceDirectory {
 public:
  // Updates the services to match `snapshot`, which `registry` must have
  // applied before. New tables take effect at `activate_at`. Returns the
  // services whose tables changed.
  std::vector<ServiceTables*> Apply(const config::Snapshot& snapshot,
                                    const ServerRegistry& registry,
                                    absl::Time activate_at);

  // Returns the service at `address`, or null.
  const ServiceAddress* Find(const Endpoint& address) const;
  // Returns the service `id`, even if it has no address any more, or null.
  ServiceTables* FindById(ServiceId id) const;

  // Returns the service with ServiceTables::index `index`. Precondition: there
  // is one.
  ServiceTables& at(std::uint32_t index) const { return *services_[index]; }
  std::span<const std::unique_ptr<ServiceTables>> services() const {
    return services_;
  }

 private:
  ServiceTables& FindOrCreate(const std::string& name);

  std::vector<std::unique_ptr<ServiceTables>> services_;
  absl::flat_hash_map<ServiceId, ServiceTables*> by_id_;
  absl::flat_hash_map<Endpoint, ServiceAddress> by_address_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SERVICE_DIRECTORY_H_
