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

// Which service an address belongs to.
struct ServiceAddress {
  ServiceTables* service = nullptr;
  // The address belonged to another service before: a packet without a record
  // may be of a flow of that one, so every flow here is recorded.
  bool reassigned = false;
  bool in_use = true;
};

// All services that carry flows, by address and identity. Not thread-safe.
class ServiceDirectory {
 public:
  // Brings services in step with `snapshot`, after `registry` was. New tables
  // come into force at `activate_at`. Returns the services whose tables
  // changed.
  std::vector<ServiceTables*> Apply(const config::Snapshot& snapshot,
                                    const ServerRegistry& registry,
                                    absl::Time activate_at);

  // The service at `address`, or null.
  const ServiceAddress* Find(const Endpoint& address) const;
  // The service `id`, also if it has no address any more; or null.
  ServiceTables* FindById(ServiceId id) const;

  // Precondition: `index` is that of a service.
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
