#ifndef GCW_SRC_API_ACCESS_H_
#define GCW_SRC_API_ACCESS_H_

#include <optional>
#include <string>
#include <string_view>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot.h"

namespace gcw::api {

// The name in tokens of the pool's operators, in place of an organisation's
// name. Reserved: no organisation may have this name.
inline constexpr std::string_view kPoolName = "pool";

// The authenticated caller: an operator of one organisation, or an operator of
// the pool of zones and backend servers that the organisations share.
struct Identity {
  std::string organisation;  // Empty for the pool.

  bool is_pool() const { return organisation.empty(); }
  std::string_view name() const {
    return is_pool() ? kPoolName : std::string_view(organisation);
  }
  bool operator==(const Identity&) const = default;
};

// Returns the organisation that the header "Bearer ORGANISATION.SECRET" names,
// without verifying the token; empty if the header holds no bearer token.
// Thread-safe.
std::string_view OrganisationInToken(std::string_view authorization);

// Authenticates the caller by the Authorization header "Bearer
// ORGANISATION.SECRET". The hash of an organisation's whole token is stored in
// its resource in `snapshot`; the hash of the pool's token is
// `pool_token_hash`. Fails with kUnauthenticated and one message for all
// causes, so that a failed guess reveals nothing. Thread-safe.
Result<Identity> Authenticate(std::string_view authorization,
                              const config::Snapshot& snapshot,
                              std::string_view pool_token_hash);

// Whether `identity` may see the resource. The pool may see every resource, an
// organisation its own resources, shared backend servers and availability
// zones. Thread-safe.
bool MayRead(const Identity& identity, const config::Resource& resource);

// Checks whether `identity` may change a resource from `before` to `after`. An
// organisation may write its own services and backend servers and update its
// own organisation, for example the token; the pool may write everything.
// `before` is null for a creation, `after` for a deletion. Fails with
// kForbidden. Thread-safe.
Status CheckAccess(const Identity& identity,
                   const config::Resource* before,
                   const config::Resource* after);

}  // namespace gcw::api

#endif  // GCW_SRC_API_ACCESS_H_
