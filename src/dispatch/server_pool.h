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

// The backend servers that this daemon sends requests to. Not thread-safe.
class ServerPool {
 public:
  // Both must outlive the pool.
  ServerPool(Context& context, const SlotPolicy& policy);

  // Takes configuration and members over from the context. Returns the names
  // of servers whose work is given up: out, or in a zone that is out.
  std::vector<std::string> Refresh(absl::Time now);

  // The server for the next attempt of `service`, not `avoid`; nullptr if none
  // has a free slot.
  ServerState* Pick(std::string_view service,
                    std::string_view avoid,
                    absl::Time now);
  // Whether this daemon has a server for `service` other than `avoid`.
  bool Serves(std::string_view service, std::string_view avoid) const;

  ServerState* Find(std::string_view name);
  ServerState* FindByAddress(Endpoint address);

  // Takes a server that seems to have failed out of use, unless too many are
  // already. Returns whether it did.
  bool TryEject(ServerState& server, absl::Time now);

  // The home before this one said what it knows of a server.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  // What this daemon knows of servers that are or lately were its own.
  std::vector<ServerHint> ServerHints(absl::Time now) const;

  SlotHint Hint(const std::string& service, absl::Time now) const;
  void OnTick(absl::Time now);

  const std::map<std::string, ServerState, std::less<>>& servers() const {
    return servers_;
  }
  bool Manages(const ServerState& server) const;

 private:
  std::size_t EjectionLimit() const;

  Context& context_;
  const SlotPolicy& policy_;
  std::map<std::string, ServerState, std::less<>> servers_;
  // Until when each server was this daemon's; InfiniteFuture if it still is.
  std::map<std::string, absl::Time, std::less<>> managed_until_;
  std::map<std::string, std::vector<ServerState*>, std::less<>> services_;
  absl::Time last_query_ = absl::InfinitePast();
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SERVER_POOL_H_
