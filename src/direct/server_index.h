#ifndef GCW_DIRECT_SERVER_INDEX_H_
#define GCW_DIRECT_SERVER_INDEX_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gcw/base/endpoint.h"
#include "gcw/direct/packet.h"
#include "gcw/direct/resources.h"
#include "src/direct/server_entry.h"

namespace gcw::direct {

// The servers of one service in one availability zone.
struct ZoneServers {
  std::string zone;
  std::vector<ServerEntry*> servers;
};

// Finds the entries of a ServerTable by name, cookie, key, address and service.
// Does not own them. Not thread-safe.
class ServerIndex {
 public:
  // Adds `entry`, as the latest incarnation of its server. Marks it if another
  // server that was added earlier has the same cookie, or another incarnation
  // the same key.
  void Add(ServerEntry& entry);
  // Makes `entry` the latest incarnation of its server. Precondition: it was
  // added.
  void MakeLatest(ServerEntry& entry);
  // Makes `entry` the server at its address, unless another one there started
  // later.
  void SetAddress(ServerEntry& entry);
  // Removes `entry` from everything but its service.
  void Remove(const ServerEntry& entry);
  // Replaces the entries by service.
  void SetServices(std::span<const std::unique_ptr<ServerEntry>> entries);

  // The latest incarnation of the server `name`, or null.
  ServerEntry* FindByName(std::string_view name) const;
  // The latest incarnation of the server that `cookie` identifies, or null.
  ServerEntry* FindByCookie(FlowCookie cookie) const;
  // The incarnation that `key` identifies, or null.
  ServerEntry* FindByKey(IncarnationKey key) const;
  // The server that started last at `address`, or null.
  const ServerEntry* LatestAt(const Endpoint& address) const;
  // The entries of one service, all and by availability zone. The spans are
  // valid until the next call of SetServices().
  std::span<ServerEntry* const> OfService(std::string_view service) const;
  std::span<const ZoneServers> ZonesOfService(std::string_view service) const;

 private:
  struct ServiceServers {
    std::vector<ServerEntry*> all;
    std::vector<ZoneServers> zones;
  };

  std::map<std::string, ServerEntry*, std::less<>> by_name_;
  absl::flat_hash_map<FlowCookie, ServerEntry*> by_cookie_;
  absl::flat_hash_map<IncarnationKey, ServerEntry*> by_key_;
  absl::flat_hash_map<Endpoint, ServerEntry*> by_address_;
  std::map<std::string, ServiceServers, std::less<>> by_service_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_INDEX_H_
