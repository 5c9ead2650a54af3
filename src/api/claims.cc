#include "src/api/claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/log.h"
#include "gcw/config/validate.h"

namespace gcw::api {
namespace {

using nlohmann::json;

constexpr Logger kLog("claims");

// The content of a claim object. A malformed object reads as a claim of the
// infinite past without an owner, so that it may be taken over.
struct ClaimValue {
  std::string owner;
  absl::Time at = absl::InfinitePast();
};

ClaimValue ReadClaim(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return {};
  }
  ClaimValue claim;
  const auto owner = value.find("owner");
  if (owner != value.end() && owner->is_string()) {
    claim.owner = owner->get<std::string>();
  }
  const auto at = value.find("at_ms");
  if (at != value.end() && at->is_number_integer()) {
    claim.at = absl::FromUnixMillis(at->get<std::int64_t>());
  }
  return claim;
}

std::string WriteClaim(std::string_view operation_id,
                       const config::ResourceId& owner) {
  const json value = {{"op", std::string(operation_id)},
                      {"owner", config::KeyOf(owner)},
                      {"at_ms", absl::ToUnixMillis(absl::Now())}};
  return value.dump();
}

Error AddressClaimedError(const Endpoint& address) {
  return {ResultCode::kAddressClaimed, "",
          fmt::format("{} is claimed by another service or backend server",
                      ToString(address))};
}

bool UsesAddress(const config::Resource& resource, const Endpoint& address) {
  const std::vector<Endpoint> addresses = config::AddressesOf(resource);
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

}  // namespace

std::string ClaimKeyOf(const Endpoint& address) {
  return fmt::format("claim/{}", ToString(address));
}

Claims::Claims(platform::PlatformClient* client,
               platform::ConditionalWriter* writer)
    : client_(client), writer_(writer) {}

Result<ClaimGrant> Claims::Acquire(const Endpoint& address,
                                   const config::ResourceId& owner,
                                   std::string_view operation_id) {
  const platform::DesiredState new_claim{WriteClaim(operation_id, owner)};
  bool is_new = false;
  const auto intent =
      [&](const platform::Object* current) -> Result<platform::DesiredState> {
    is_new = current == nullptr ||
             ReadClaim(current->value).owner != config::KeyOf(owner);
    if (current != nullptr && is_new) {
      const Status takeover = CheckCanTakeOver(*current, address);
      if (!takeover.ok()) {
        return takeover.error();
      }
    }
    return new_claim;
  };
  const Result<platform::WriteOutcome> outcome =
      writer_->Write({.key = ClaimKeyOf(address),
                      .op = std::string(operation_id),
                      .intent = intent});
  if (!outcome.ok()) {
    return outcome.error();
  }
  if (outcome.value().superseded) {
    return AddressClaimedError(address);
  }
  return ClaimGrant{outcome.value().version, is_new};
}

void Claims::Release(const Endpoint& address, Version claim) {
  const Result<Version> deleted = client_->Delete(ClaimKeyOf(address), claim);
  if (!deleted.ok()) {
    kLog.Info("Failed to release the claim of {}: {}.", ToString(address),
              ToString(deleted.error()));
  }
}

Status Claims::CheckCanTakeOver(const platform::Object& claim,
                                const Endpoint& address) {
  const ClaimValue value = ReadClaim(claim.value);
  if (absl::Now() - value.at < kClaimGracePeriod) {
    return AddressClaimedError(address);
  }
  const std::optional<config::ResourceId> holder =
      config::ParseKey(value.owner);
  if (!holder.has_value()) {
    return OkStatus();
  }
  const Result<platform::Object> object = client_->Get(value.owner);
  if (!object.ok()) {
    const bool is_gone = object.error().code == ResultCode::kNotFound;
    return is_gone ? OkStatus() : Status(object.error());
  }
  const Result<config::StoredObject> stored =
      config::DecodeStored(*holder, object.value().value, 0, 0);
  if (!stored.ok() || UsesAddress(stored.value().resource, address)) {
    return AddressClaimedError(address);
  }
  return OkStatus();
}

}  // namespace gcw::api
