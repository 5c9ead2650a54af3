#ifndef GCW_SRC_ROUTING_SERVER_REGISTRY_H_
#define GCW_SRC_ROUTING_SERVER_REGISTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gcw/base/endpoint.h"
#include "gcw/config/snapshot.h"
#include "gcw/routing/packet.h"

namespace gcw::routing {

// Index of one incarnation of a backend server in the ServerRegistry of this
// daemon.
using ServerIndex = std::uint32_t;

// No server, or one that this daemon does not know.
inline constexpr ServerIndex kNoServer = 0xffffffff;
// An incarnation that ended before this daemon heard of it.
inline constexpr ServerIndex kEndedServer = 0xfffffffe;

// One incarnation of a backend server. It begins when the server may receive
// packets, and ends when the server is deleted, moves to another address, or is
// taken out of service alone or with its availability zone. A server that
// returns from "out" is a new incarnation, because the flows of the old one
// were given up.
struct ServerIncarnation {
  std::string name;
  ServerId id = 0;
  Endpoint address;
  // Revision at which the server was created.
  config::Version created = 0;
  bool accepts_packets = false;    // The incarnation has not ended.
  bool accepts_new_flows = false;  // The server is neither draining nor out.
  std::uint32_t connections = 0;
  // Tick of the last packet from the server to any caller.
  std::uint32_t last_reply = 0;
  // Tick of the first reply after a time in which the server answered no flow
  // of this daemon.
  std::uint32_t replying_since = 0;
  // Limit from SetServerShareLimits: fraction of its share of new flows that
  // the server may get, 0 to 1.
  double share_limit = 1.0;
  // Tick at which slow start began, when a table brought the server in; 0 if
  // the server gets its full share.
  std::uint32_t ramp_start_tick = 0;
  // Flows of this incarnation in the flow table.
  std::uint64_t flows = 0;
  // New flows that this daemon placed on it.
  std::uint64_t placed = 0;
};

// All incarnations of backend servers that this daemon knows. Indices stay
// valid as long as the registry exists. Not thread-safe.
class ServerRegistry {
 public:
  // Begins and ends incarnations to match `snapshot`. Returns whether any began
  // or ended.
  bool Apply(const config::Snapshot& snapshot);

  // Returns the current incarnation with the identifier `id`, or kNoServer.
  ServerIndex Find(ServerId id) const;
  // Returns the current incarnation of the server `name`, or kNoServer.
  ServerIndex FindByName(const std::string& name) const;
  // Returns the current incarnation at `address`, or kNoServer.
  ServerIndex FindByAddress(const Endpoint& address) const;

  // Precondition: `index` came from this registry.
  const ServerIncarnation& at(ServerIndex index) const {
    return incarnations_[index];
  }
  ServerIncarnation& at(ServerIndex index) { return incarnations_[index]; }
  // Whether the incarnation `index` has not ended. False for kNoServer and
  // kEndedServer.
  bool accepts_packets(ServerIndex index) const {
    return index < incarnations_.size() && incarnations_[index].accepts_packets;
  }

  std::size_t size() const { return incarnations_.size(); }

 private:
  std::vector<ServerIncarnation> incarnations_;
  absl::flat_hash_map<ServerId, ServerIndex> by_id_;
  absl::flat_hash_map<Endpoint, ServerIndex> by_address_;
  absl::flat_hash_map<std::string, ServerIndex> by_name_;
};

// Whether packets may be sent to `server`: neither the server nor its
// availability zone is out of service.
bool AcceptsPackets(const config::Snapshot& snapshot,
                    const config::BackendServer& server);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SERVER_REGISTRY_H_
