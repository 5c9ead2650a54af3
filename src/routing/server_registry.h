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

// The index of one life of a backend server on this daemon.
using ServerIndex = std::uint32_t;

inline constexpr ServerIndex kNoServer = 0xffffffff;
// A life that ended before this daemon heard of it.
inline constexpr ServerIndex kEndedServer = 0xfffffffe;

// One life of a backend server, from when it may take packets until it is
// deleted, moved, or taken out with its availability zone. A server that comes
// back from "out" begins another life: flows of the old one were given up.
struct ServerIncarnation {
  std::string name;
  ServerId id = 0;
  Endpoint address;
  config::Version created = 0;
  bool accepts_packets = false;    // May take packets.
  bool accepts_new_flows = false;  // May take new flows.
  std::uint32_t connections = 0;
  // Ticks of the last packet from the server to any caller.
  std::uint32_t last_reply = 0;
  // The first reply after a time in which the server answered nobody here.
  std::uint32_t replying_since = 0;
  // Part of its share of new flows, from 0 to 1, by local knowledge.
  double share_limit = 1.0;
  // When it came to take new flows beside others, in ticks; 0: no ramp.
  std::uint32_t ramp_start_tick = 0;
  std::uint64_t flows = 0;
  std::uint64_t placed = 0;
};

// All lives of backend servers that this daemon knows. Indices stay valid for
// as long as the registry lives. Not thread-safe.
class ServerRegistry {
 public:
  // Brings lives in step with `snapshot`. Returns whether any life
  // began or ended.
  bool Apply(const config::Snapshot& snapshot);

  // The current life of `id`, or kNoServer.
  ServerIndex Find(ServerId id) const;
  ServerIndex FindByName(const std::string& name) const;
  // The current life at `address`, or kNoServer.
  ServerIndex FindByAddress(const Endpoint& address) const;

  // Precondition: `index` came from this registry.
  const ServerIncarnation& at(ServerIndex index) const {
    return incarnations_[index];
  }
  ServerIncarnation& at(ServerIndex index) { return incarnations_[index]; }
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

// Whether `server` may take packets, its availability zone considered.
bool AcceptsPackets(const config::Snapshot& snapshot,
                    const config::BackendServer& server);

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_SERVER_REGISTRY_H_
