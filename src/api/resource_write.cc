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

Errors One(ResultCode code, std::string_view field, std::string message) {
  return {{code, std::string(field), std::move(message)}};
}

// Whether the write may go on with the object as it is.
Errors CheckExistence(const ResourceWrite& write,
                      const platform::Object* current) {
  const bool creates = write.mode == WriteMode::kCreate;
  if (creates && current != nullptr) {
    return One(ResultCode::kVersionConflict, "name",
               fmt::format("{} '{}' exists already at version {}",
                           config::ToString(write.id.kind), write.id.name,
                           current->version));
  }
  if (!creates && current == nullptr) {
    return One(ResultCode::kNotFound, "",
               fmt::format("there is no {} '{}'",
                           config::ToString(write.id.kind), write.id.name));
  }
  if (write.if_match.has_value() && current != nullptr &&
      *write.if_match != current->version) {
    return One(ResultCode::kVersionConflict, kIfMatchField,
               fmt::format("{} '{}' is at version {}, not {}",
                           config::ToString(write.id.kind), write.id.name,
                           current->version, *write.if_match));
  }
  return {};
}

// Whether the resource is still the one that the caller has in mind.
Errors CheckPreconditions(const ResourceWrite& write,
                          const platform::Object& current,
                          const Resource& before) {
  if (write.if_created.has_value() && *write.if_created != current.created) {
    return One(ResultCode::kVersionConflict, kIfCreatedField,
               fmt::format("{} '{}' was deleted and created anew",
                           config::ToString(write.id.kind), write.id.name));
  }
  if (!write.if_spec.is_object()) {
    return {};
  }
  const nlohmann::json spec = config::EncodeSpec(before);
  for (const auto& [field, value] : write.if_spec.items()) {
    const nlohmann::json is = spec.value(field, nlohmann::json());
    if (is != value) {
      return One(
          ResultCode::kVersionConflict, kIfSpecField,
          fmt::format("{} is {}, not {}", field, is.dump(), value.dump()));
    }
  }
  return {};
}

// The spec that the write asks for.
nlohmann::json WantedSpec(const ResourceWrite& write,
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
    return One(ResultCode::kInvalidField, "name", "is reserved for the pool");
  }
  if (!organisation.token_sha256.empty() &&
      !auth::IsTokenHash(organisation.token_sha256)) {
    return One(ResultCode::kInvalidField, "token_sha256",
               "is not a token hash; make one with 'gcw hash-token'");
  }
  return {};
}

std::variant<Resource, Errors> DecodeWanted(
    const ResourceWrite& write,
    const std::optional<Resource>& before) {
  if (write.mode == WriteMode::kPatch && !write.body.is_object()) {
    return One(ResultCode::kInvalidField, "", "must be a JSON object");
  }
  config::DecodedResource decoded = config::DecodeSpec(
      write.id.kind, WantedSpec(write, before), config::UnknownFields::kRefuse);
  if (!decoded.resource.has_value()) {
    return std::move(decoded.errors);
  }
  if (config::NameOf(*decoded.resource) != write.id.name) {
    return One(ResultCode::kInvalidField, "name",
               "must be the name in the path");
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

const Resource* OrNull(const std::optional<Resource>& resource) {
  return resource.has_value() ? &*resource : nullptr;
}

// Reads the stored object into `plan`.
Status ReadBefore(const ResourceWrite& write,
                  const platform::Object& current,
                  PlannedWrite* plan) {
  Result<config::StoredObject> stored = config::DecodeStored(
      write.id, current.value, current.version, current.created);
  if (!stored.ok()) {
    return Error{ResultCode::kInternal, "",
                 "the stored object is broken: " + ToString(stored.error())};
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
    const Status read = ReadBefore(write, *current, &plan);
    if (!read.ok()) {
      return Errors{read.error()};
    }
  }
  // Whose resource it is comes first: versions and states of another
  // organisation's resources are not told.
  const Status owner =
      CheckAccess(write.identity, OrNull(plan.before), OrNull(plan.before));
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
    auto wanted = DecodeWanted(write, plan.before);
    if (std::holds_alternative<Errors>(wanted)) {
      return std::get<Errors>(std::move(wanted));
    }
    plan.after = std::get<Resource>(std::move(wanted));
  }
  const Status access =
      CheckAccess(write.identity, OrNull(plan.before), OrNull(plan.after));
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
  AddressClaims fresh;
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
    Result<AddressClaims> claimed = ClaimAddresses(write, plan, &fresh);
    if (!claimed.ok()) {
      errors = {claimed.error()};
      return errors.front();
    }
    claims = std::move(claimed).value();
    return platform::DesiredState{
        config::EncodeStored(write.op, *plan.after, claims)};
  };
  const Result<platform::WriteOutcome> outcome = writer_.Write(
      {.key = config::KeyOf(write.id),
       .op = write.op,
       .intent = intent,
       .base_revision = snapshot.revision,
       .may_be_repeat = write.may_be_repeat,
       .repeat_after =
           write.operation_after.value_or(write.if_match.value_or(0)),
       .search_events_first =
           write.may_be_repeat && write.operation_after.has_value()});
  if (!outcome.ok()) {
    const bool may_be_made =
        outcome.error().code == ResultCode::kPlatformOutcomeUnknown;
    if (!may_be_made) {
      ReleaseOthers(fresh, {});
    }
    const bool is_refusal =
        !errors.empty() && errors.front() == outcome.error();
    return is_refusal ? errors : Errors{outcome.error()};
  }
  if (!outcome.value().superseded) {
    ReleaseOthers(plan.old_claims, claims);
    ReleaseOthers(fresh, claims);
  }
  return WriteResult{outcome.value(), plan.after};
}

Result<AddressClaims> ResourceWriter::ClaimAddresses(const ResourceWrite& write,
                                                     const PlannedWrite& plan,
                                                     AddressClaims* fresh) {
  AddressClaims claims;
  const std::vector<Endpoint> addresses = config::AddressesOf(*plan.after);
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const auto held = plan.old_claims.find(addresses[i]);
    if (held != plan.old_claims.end()) {
      claims.insert(*held);
      continue;
    }
    const Result<ClaimGrant> claim =
        claims_.Acquire(addresses[i], write.id, write.op);
    if (!claim.ok()) {
      Error error = claim.error();
      const bool is_service = write.id.kind == ResourceKind::kService;
      error.field = is_service ? fmt::format("addresses[{}]", i) : "address";
      return error;
    }
    claims.emplace(addresses[i], claim.value().version);
    if (claim.value().is_new) {
      (*fresh)[addresses[i]] = claim.value().version;
    }
  }
  return claims;
}

void ResourceWriter::ReleaseOthers(const AddressClaims& held,
                                   const AddressClaims& kept) {
  for (const auto& [address, claim] : held) {
    if (!kept.contains(address)) {
      claims_.Release(address, claim);
    }
  }
}

}  // namespace gcw::api
