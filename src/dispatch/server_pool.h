#ifndef GCW_DISPATCH_SERVER_POOL_H_
#define GCW_DISPATCH_SERVER_POOL_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/dispatch/context.h"
#include "src/dispatch/server_state.h"
#include "src/dispatch/slot_policy.h"

namespace gcw::dispatch {

// The state of all configured backend servers. A server is managed by this
// daemon if the slot policy lets this daemon send requests to it. Not
// thread-safe.
class ServerPool {
 public:
  // `context` and `policy` must outlive the pool.
  ServerPool(Context& context, const SlotPolicy& policy);

  // Applies the context's configuration and members. Returns the names of
  // servers whose running attempts end: those that are deleted, out, or in a
  // zone that is out.
  std::vector<std::string> Refresh(absl::Time now);

  // Returns the server for the next attempt of `service`, never `avoid_server`,
  // or nullptr if none has a free slot.
  ServerState* Pick(std::string_view service,
                    std::string_view avoid_server,
                    absl::Time now);
  // Whether a server other than `avoid_server` accepts new work of `service`
  // from this daemon, also if it has no free slot now.
  bool Serves(std::string_view service, std::string_view avoid_server) const;

  // Return nullptr if there is no such server.
  ServerState* Find(std::string_view name);
  ServerState* FindByAddress(Endpoint address);

  // Ejects a server that seems to have failed, unless that would exceed the
  // limit of ejected servers. Returns whether the server was ejected.
  bool TryEject(ServerState& server, absl::Time now);

  // Applies what the previous home reported about a server, unless this daemon
  // has seen the server's incarnation itself.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  // The state of servers that this daemon manages or managed until lately.
  std::vector<ServerHint> ServerHints(absl::Time now) const;

  // The allowed and the free slots of the servers of `service`.
  SlotHint Hint(const std::string& service, absl::Time now) const;
  // Releases the slots of cancelled attempts whose release time
  // (ServerState::ReleaseSlotAt) has passed, and queries the load of failing
  // servers.
  void OnTick(absl::Time now);

  const std::map<std::string, ServerState, std::less<>>& servers() const {
    return servers_;
  }
  // Whether this daemon manages `server`.
  bool Manages(const ServerState& server) const;

 private:
  // Number of servers that may be ejected at the same time.
  std::size_t EjectionLimit() const;

  Context& context_;
  const SlotPolicy& policy_;
  std::map<std::string, ServerState, std::less<>> servers_;
  // When this daemon ceased to manage each server; InfiniteFuture while it
  // manages the server, InfinitePast if it never did.
  std::map<std::string, absl::Time, std::less<>> managed_until_;
  // Servers of each service with a weight above 0.
  std::map<std::string, std::vector<ServerState*>, std::less<>> services_;
  absl::Time last_query_ = absl::InfinitePast();
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SERVER_POOL_H_
