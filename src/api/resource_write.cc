#include "src/api/resource_write.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gcw/auth/token_hash.h"

namespace gcw::api {
namespace {

using config::AddressClaims;
using config::Resource;
using config::ResourceKind;
using Errors = std::vector<Error>;

Errors SingleError(ResultCode code,
                   std::string_view field,
                   std::string message) {
  return {{code, std::string(field), std::move(message)}};
}

// Checks that the resource exists, or for a creation does not exist, and that
// its version matches If-Match.
Errors CheckExistence(const ResourceWrite& write,
                      const platform::Object* current) {
  const bool is_create = write.mode == WriteMode::kCreate;
  if (is_create && current != nullptr) {
    return SingleError(ResultCode::kVersionConflict, "name",
                       fmt::format("{} '{}' exists already at version {}",
                                   config::ToString(write.id.kind),
                                   write.id.name, current->version));
  }
  if (!is_create && current == nullptr) {
    return SingleError(
        ResultCode::kNotFound, "",
        fmt::format("there is no {} '{}'", config::ToString(write.id.kind),
                    write.id.name));
  }
  if (write.if_match.has_value() && current != nullptr &&
      *write.if_match != current->version) {
    return SingleError(
        ResultCode::kVersionConflict, kIfMatchField,
        fmt::format("{} '{}' is at version {}, not {}",
                    config::ToString(write.id.kind), write.id.name,
                    current->version, *write.if_match));
  }
  return {};
}

// Checks If-Created and If-Spec: the resource was not deleted and created
// again, and its fields have the expected values.
Errors CheckPreconditions(const ResourceWrite& write,
                          const platform::Object& current,
                          const Resource& before) {
  if (write.if_created.has_value() && *write.if_created != current.created) {
    return SingleError(
        ResultCode::kVersionConflict, kIfCreatedField,
        fmt::format("{} '{}' was deleted and created again",
                    config::ToString(write.id.kind), write.id.name));
  }
  if (!write.if_spec.is_object()) {
    return {};
  }
  const nlohmann::json spec = config::EncodeSpec(before);
  for (const auto& [field, value] : write.if_spec.items()) {
    const nlohmann::json actual = spec.value(field, nlohmann::json());
    if (actual != value) {
      return SingleError(
          ResultCode::kVersionConflict, kIfSpecField,
          fmt::format("{} is {}, not {}", field, actual.dump(), value.dump()));
    }
  }
  return {};
}

// The spec that the write requests: the body, or for a patch the current spec
// merged with the body.
nlohmann::json RequestedSpec(const ResourceWrite& write,
                             const std::optional<Resource>& before) {
  if (write.mode != WriteMode::kPatch) {
    return write.body;
  }
  nlohmann::json spec = config::EncodeSpec(*before);
  spec.merge_patch(write.body);
  return spec;
}

Errors CheckOrganisation(const config::Organisation& organisation) {
  if (organisation.name == kPoolName) {
    return SingleError(ResultCode::kInvalidField, "name",
                       "is reserved for the pool");
  }
  if (!organisation.token_sha256.empty() &&
      !auth::IsTokenHash(organisation.token_sha256)) {
    return SingleError(ResultCode::kInvalidField, "token_sha256",
                       "is not a token hash; make one with 'gcw hash-token'");
  }
  return {};
}

std::variant<Resource, Errors> DecodeRequested(
    const ResourceWrite& write,
    const std::optional<Resource>& before) {
  if (write.mode == WriteMode::kPatch && !write.body.is_object()) {
    return SingleError(ResultCode::kInvalidField, "", "must be a JSON object");
  }
  config::DecodedResource decoded =
      config::DecodeSpec(write.id.kind, RequestedSpec(write, before),
                         config::UnknownFields::kRefuse);
  if (!decoded.resource.has_value()) {
    return std::move(decoded.errors);
  }
  if (config::NameOf(*decoded.resource) != write.id.name) {
    return SingleError(ResultCode::kInvalidField, "name",
                       "must equal the name in the path");
  }
  if (const auto* organisation =
          std::get_if<config::Organisation>(&*decoded.resource)) {
    Errors errors = CheckOrganisation(*organisation);
    if (!errors.empty()) {
      return errors;
    }
  }
  return std::move(*decoded.resource);
}

const Resource* PointerOrNull(const std::optional<Resource>& resource) {
  return resource.has_value() ? &*resource : nullptr;
}

// Decodes the stored object into `before` and `old_claims` of `plan`.
Status DecodeCurrent(const ResourceWrite& write,
                     const platform::Object& current,
                     PlannedWrite* plan) {
  Result<config::StoredObject> stored = config::DecodeStored(
      write.id, current.value, current.version, current.created);
  if (!stored.ok()) {
    return Error{
        ResultCode::kInternal, "",
        "the stored object cannot be decoded: " + ToString(stored.error())};
  }
  plan->before = std::move(stored.value().resource);
  plan->old_claims = std::move(stored.value().claims);
  return OkStatus();
}

}  // namespace

std::variant<PlannedWrite, Errors> PlanWrite(const ResourceWrite& write,
                                             const platform::Object* current,
                                             const config::Snapshot& snapshot) {
  PlannedWrite plan;
  if (current != nullptr) {
    const Status read = DecodeCurrent(write, *current, &plan);
    if (!read.ok()) {
      return Errors{read.error()};
    }
  }
  // Access is checked first, because the errors of the other checks would
  // reveal the version and the state of another organisation's resource.
  const Status owner = CheckAccess(write.identity, PointerOrNull(plan.before),
                                   PointerOrNull(plan.before));
  if (plan.before.has_value() && !owner.ok()) {
    return Errors{owner.error()};
  }
  Errors errors = CheckExistence(write, current);
  if (!errors.empty()) {
    return errors;
  }
  if (current != nullptr) {
    errors = CheckPreconditions(write, *current, *plan.before);
    if (!errors.empty()) {
      return errors;
    }
  }
  if (write.mode != WriteMode::kDelete) {
    auto requested = DecodeRequested(write, plan.before);
    if (std::holds_alternative<Errors>(requested)) {
      return std::get<Errors>(std::move(requested));
    }
    plan.after = std::get<Resource>(std::move(requested));
  }
  const Status access = CheckAccess(write.identity, PointerOrNull(plan.before),
                                    PointerOrNull(plan.after));
  if (!access.ok()) {
    return Errors{access.error()};
  }
  errors =
      config::ValidateChange(snapshot, {write.id, plan.after, plan.before});
  if (!errors.empty()) {
    return errors;
  }
  return plan;
}

ResourceWriter::ResourceWriter(platform::PlatformClient* client,
                               std::uint64_t seed)
    : writer_(client, platform::WriteOptions{}, seed),
      claims_(client, &writer_) {}

std::variant<WriteResult, Errors> ResourceWriter::Run(
    const ResourceWrite& write,
    const config::Snapshot& snapshot) {
  Errors errors;
  PlannedWrite plan;
  AddressClaims claims;
  AddressClaims new_claims;
  const auto intent =
      [&](const platform::Object* current) -> Result<platform::DesiredState> {
    auto planned = PlanWrite(write, current, snapshot);
    if (std::holds_alternative<Errors>(planned)) {
      errors = std::get<Errors>(std::move(planned));
      return errors.front();
    }
    plan = std::get<PlannedWrite>(std::move(planned));
    if (!plan.after.has_value()) {
      return platform::DesiredState{};
    }
    Result<AddressClaims> claimed = ClaimAddresses(write, plan, &new_claims);
    if (!claimed.ok()) {
      errors = {claimed.error()};
      return errors.front();
    }
    claims = std::move(claimed).value();
    return platform::DesiredState{
        config::EncodeStored(write.operation_id, *plan.after, claims)};
  };
  const Result<platform::WriteOutcome> outcome = writer_.Write(
      {.key = config::KeyOf(write.id),
       .op = write.operation_id,
       .intent = intent,
       .base_revision = snapshot.revision,
       .may_be_repeat = write.may_be_repeat,
       .repeat_after =
           write.operation_after.value_or(write.if_match.value_or(0)),
       .search_events_first =
           write.may_be_repeat && write.operation_after.has_value()});
  if (!outcome.ok()) {
    const bool may_have_succeeded =
        outcome.error().code == ResultCode::kPlatformOutcomeUnknown;
    // If the write may have succeeded, the stored resource may need its claims.
    if (!may_have_succeeded) {
      ReleaseClaimsNotIn(new_claims, {});
    }
    const bool is_refusal =
        !errors.empty() && errors.front() == outcome.error();
    return is_refusal ? errors : Errors{outcome.error()};
  }
  if (!outcome.value().superseded) {
    ReleaseClaimsNotIn(plan.old_claims, claims);
    ReleaseClaimsNotIn(new_claims, claims);
  }
  return WriteResult{outcome.value(), plan.after};
}

Result<AddressClaims> ResourceWriter::ClaimAddresses(
    const ResourceWrite& write,
    const PlannedWrite& plan,
    AddressClaims* new_claims) {
  AddressClaims claims;
  const std::vector<Endpoint> addresses = config::AddressesOf(*plan.after);
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const auto held = plan.old_claims.find(addresses[i]);
    if (held != plan.old_claims.end()) {
      claims.insert(*held);
      continue;
    }
    const Result<ClaimGrant> claim =
        claims_.Acquire(addresses[i], write.id, write.operation_id);
    if (!claim.ok()) {
      Error error = claim.error();
      const bool is_service = write.id.kind == ResourceKind::kService;
      error.field = is_service ? fmt::format("addresses[{}]", i) : "address";
      return error;
    }
    claims.emplace(addresses[i], claim.value().version);
    if (claim.value().is_new) {
      (*new_claims)[addresses[i]] = claim.value().version;
    }
  }
  return claims;
}

void ResourceWriter::ReleaseClaimsNotIn(const AddressClaims& held,
                                        const AddressClaims& kept) {
  for (const auto& [address, claim] : held) {
    if (!kept.contains(address)) {
      claims_.Release(address, claim);
    }
  }
}

}  // namespace gcw::api
