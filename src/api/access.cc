#include "src/api/access.h"

#include <fmt/format.h>

#include "gcw/auth/token_hash.h"

namespace gcw::api {
namespace {

using config::Resource;
using config::ResourceKind;

constexpr std::string_view kBearerScheme = "Bearer ";
// Verified in place of a missing hash, so that refusing an unknown organisation
// takes as long as refusing a wrong token.
constexpr std::string_view kPlaceholderHash =
    "pbkdf2-sha256:1000:00000000000000000000000000000000:"
    "0000000000000000000000000000000000000000000000000000000000000000";

Error Forbidden(std::string message) {
  return {ResultCode::kForbidden, "", std::move(message)};
}

std::string_view FindTokenHash(std::string_view name,
                               const config::Snapshot& snapshot,
                               std::string_view pool_token_hash) {
  if (name == kPoolName) {
    return pool_token_hash;
  }
  const auto it = snapshot.organisations.find(name);
  return it == snapshot.organisations.end() ? std::string_view()
                                            : it->second.token_sha256;
}

Status CheckResourceAccess(const Identity& identity, const Resource& resource) {
  switch (config::KindOf(resource)) {
    case ResourceKind::kZone:
      return Forbidden("only the pool may change availability zones");
    case ResourceKind::kServer:
      if (config::OwnerOf(resource).empty()) {
        return Forbidden("only the pool may change shared backend servers");
      }
      break;
    case ResourceKind::kOrganisation:
    case ResourceKind::kService:
      break;
  }
  if (config::OwnerOf(resource) != identity.organisation) {
    return Forbidden("the resource belongs to another organisation");
  }
  return OkStatus();
}

}  // namespace

std::string_view OrganisationInToken(std::string_view authorization) {
  if (!authorization.starts_with(kBearerScheme)) {
    return {};
  }
  const std::string_view token = authorization.substr(kBearerScheme.size());
  return token.substr(0, token.find('.'));
}

Result<Identity> Authenticate(std::string_view authorization,
                              const config::Snapshot& snapshot,
                              std::string_view pool_token_hash) {
  const Error unauthenticated{ResultCode::kUnauthenticated, "Authorization",
                              "the token is missing or wrong"};
  if (!authorization.starts_with(kBearerScheme)) {
    return unauthenticated;
  }
  const std::string_view token = authorization.substr(kBearerScheme.size());
  const std::string_view name = OrganisationInToken(authorization);
  const std::string_view stored_hash =
      FindTokenHash(name, snapshot, pool_token_hash);
  const bool is_known = !stored_hash.empty();
  if (!auth::VerifyToken(token, is_known ? stored_hash : kPlaceholderHash) ||
      !is_known) {
    return unauthenticated;
  }
  return Identity{name == kPoolName ? "" : std::string(name)};
}

bool MayRead(const Identity& identity, const Resource& resource) {
  if (identity.is_pool() || config::KindOf(resource) == ResourceKind::kZone) {
    return true;
  }
  const std::string_view owner = config::OwnerOf(resource);
  return owner.empty() || owner == identity.organisation;
}

Status CheckAccess(const Identity& identity,
                   const Resource* before,
                   const Resource* after) {
  if (identity.is_pool()) {
    return OkStatus();
  }
  const Resource* resource = before != nullptr ? before : after;
  const bool is_organisation =
      resource != nullptr &&
      config::KindOf(*resource) == ResourceKind::kOrganisation;
  if (is_organisation && (before == nullptr || after == nullptr)) {
    return Forbidden("only the pool may create and delete organisations");
  }
  for (const Resource* state : {before, after}) {
    if (state == nullptr) {
      continue;
    }
    Status status = CheckResourceAccess(identity, *state);
    if (!status.ok()) {
      return status;
    }
  }
  return OkStatus();
}

}  // namespace gcw::api
