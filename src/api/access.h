#ifndef GCW_SRC_API_ACCESS_H_
#define GCW_SRC_API_ACCESS_H_

#include <optional>
#include <string>
#include <string_view>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot.h"

namespace gcw::api {

// Tokens of the pool's operators start with this name; no organisation may bear
// it.
inline constexpr std::string_view kPoolName = "pool";

// Who makes a call: operators of one organisation, or the operators of the pool
// that the organisations share.
struct Identity {
  std::string organisation;  // Empty for the pool.

  bool is_pool() const { return organisation.empty(); }
  std::string_view name() const {
    return is_pool() ? kPoolName : std::string_view(organisation);
  }
  bool operator==(const Identity&) const = default;
};

// The organisation that the header "Bearer ORGANISATION.SECRET" names, not yet
// verified; empty if it names none. Thread-safe.
std::string_view ClaimedOrganisation(std::string_view authorization);

// Tells who holds the token in an Authorization header "Bearer
// ORGANISATION.SECRET": the hash of the whole token is kept in the
// organisation, that of the pool in `pool_token_hash`. Fails with
// kUnauthenticated, without saying why, so that a guesser learns nothing.
// Thread-safe.
Result<Identity> Authenticate(std::string_view authorization,
                              const config::Snapshot& snapshot,
                              std::string_view pool_token_hash);

// Whether `identity` may see the resource: its own, shared backend servers and
// availability zones. Thread-safe.
bool MayRead(const Identity& identity, const config::Resource& resource);

// Whether `identity` may bring about the change: an organisation its own
// services and backend servers and the token of its own organisation, the pool
// everything. `before` and `after` are null where there is no such state. Fails
// with kForbidden. Thread-safe.
Status CheckAccess(const Identity& identity,
                   const config::Resource* before,
                   const config::Resource* after);

}  // namespace gcw::api

#endif  // GCW_SRC_API_ACCESS_H_
