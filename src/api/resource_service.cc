#include "src/api/resource_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include "absl/time/clock.h"
#include "gcw/base/hash.h"
#include "gcw/base/log.h"
#include "gcw/config/object_reader.h"
#include "src/api/resource_write.h"
#include "src/api/views.h"

namespace gcw::api {
namespace {

using nlohmann::json;
using Errors = std::vector<Error>;

constexpr Logger kLog("api");
constexpr std::string_view kStatusPrefix = "status/";
constexpr int kCreated = 201;

Error UnsupportedMethodError(std::string_view what) {
  return {ResultCode::kUnsupportedMethod, "",
          fmt::format("{} does not support this method", what)};
}

std::optional<WriteMode> WriteModeOf(Method method) {
  switch (method) {
    case Method::kPost:
      return WriteMode::kCreate;
    case Method::kPut:
      return WriteMode::kReplace;
    case Method::kPatch:
      return WriteMode::kPatch;
    case Method::kDelete:
      return WriteMode::kDelete;
    case Method::kGet:
      break;
  }
  return std::nullopt;
}

void ReadVersionHeader(std::string_view field,
                       std::string_view text,
                       Errors* errors,
                       std::optional<Version>* target) {
  const Result<std::optional<Version>> version =
      ParseVersionHeader(field, text);
  if (version.ok()) {
    *target = version.value();
  } else {
    errors->push_back(version.error());
  }
}

void ReadIfSpecHeader(const std::string& text, Errors* errors, json* target) {
  if (text.empty()) {
    return;
  }
  Result<json> parsed = config::ParseJson(text);
  if (parsed.ok() && parsed.value().is_object()) {
    *target = std::move(parsed).value();
    return;
  }
  errors->push_back({ResultCode::kInvalidField, std::string(kIfSpecField),
                     "must be a JSON object of fields and values"});
}

// Parses the headers and the body of a write. The identity, the operation id
// and the name of a resource to create remain for the caller to set.
std::variant<ResourceWrite, Errors> ParseWrite(const ApiRequest& request,
                                               const Target& target) {
  ResourceWrite write;
  write.mode = *WriteModeOf(request.method);
  write.id = {target.resource_kind, target.name};
  Errors errors;
  ReadVersionHeader(kIfMatchField, request.if_match, &errors, &write.if_match);
  ReadVersionHeader(kIfCreatedField, request.if_created, &errors,
                    &write.if_created);
  ReadVersionHeader(kOperationAfterField, request.operation_after, &errors,
                    &write.operation_after);
  ReadIfSpecHeader(request.if_spec, &errors, &write.if_spec);
  const bool needs_version =
      write.mode == WriteMode::kReplace || write.mode == WriteMode::kDelete;
  if (needs_version && request.if_match.empty()) {
    errors.push_back({ResultCode::kVersionRequired, std::string(kIfMatchField),
                      "is required to replace or delete a resource"});
  }
  if (!request.operation_id.empty() && !IsOperationId(request.operation_id)) {
    errors.push_back(
        {ResultCode::kInvalidField, std::string(kOperationIdField),
         "must be 1 to 64 characters of A-Z, a-z, 0-9, '-' and '_'"});
  }
  if (write.mode != WriteMode::kDelete) {
    Result<json> body = config::ParseJson(request.body);
    if (body.ok()) {
      write.body = std::move(body).value();
    } else {
      errors.push_back(body.error());
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  return write;
}

// Sets the name of the resource to create from the request's body.
Status ReadNameFromBody(ResourceWrite* write) {
  const json& body = write->body;
  const bool has_name = body.is_object() && body.contains("name") &&
                        body.at("name").is_string() &&
                        config::IsName(body.at("name").get<std::string>());
  if (has_name) {
    write->id.name = body.at("name").get<std::string>();
    return OkStatus();
  }
  return Error{ResultCode::kInvalidField, "name",
               "is required and must be a resource name"};
}

// The errors in the body of a creation without a valid name. Returns
// `name_error` if decoding the body finds no error.
Errors ErrorsOfUnnamedCreation(const ResourceWrite& write,
                               const Error& name_error) {
  Errors errors = config::DecodeSpec(write.id.kind, write.body,
                                     config::UnknownFields::kRefuse)
                      .errors;
  return errors.empty() ? Errors{name_error} : errors;
}

const platform::Object* FindObject(const CallContext& context,
                                   const config::ResourceId& id) {
  const std::string key = config::KeyOf(id);
  for (const platform::Object& object : context.objects) {
    if (object.key == key) {
      return &object;
    }
  }
  return nullptr;
}

// The largest version of a configuration resource. The platform's revision
// cannot be used instead, because writes of status and leases increase it too.
Version LatestVersion(const CallContext& context) {
  Version latest = 0;
  for (const platform::Object& object : context.objects) {
    latest = std::max(latest, object.version);
  }
  return latest;
}

Error NotFoundError(const Target& target) {
  return {ResultCode::kNotFound, "",
          fmt::format("there is no {} '{}'",
                      config::ToString(target.resource_kind), target.name)};
}

ApiResponse DryRun(const ResourceWrite& write, const CallContext& context) {
  const platform::Object* current = FindObject(context, write.id);
  auto planned = PlanWrite(write, current, *context.configuration.snapshot);
  if (std::holds_alternative<Errors>(planned)) {
    return MakeErrorResponse(std::get<Errors>(planned));
  }
  const auto& plan = std::get<PlannedWrite>(planned);
  json body = {{"dry_run", true}};
  for (const auto& [field, state] :
       {std::pair{"before", &plan.before}, std::pair{"after", &plan.after}}) {
    body[field] =
        state->has_value() ? config::EncodeSpec(**state) : json(nullptr);
  }
  return {200, body.dump(), 0};
}

ApiResponse MakeWriteResponse(const ResourceWrite& write,
                              const WriteResult& result) {
  const Version version = result.outcome.version;
  json body = {{"kind", config::ToString(write.id.kind)},
               {"name", write.id.name},
               {"version", version},
               {"operation", write.operation_id},
               {"recognized", result.outcome.recognized},
               {"superseded", result.outcome.superseded}};
  if (result.resource.has_value()) {
    body["spec"] = config::EncodeSpec(*result.resource);
  }
  const bool is_new = write.mode == WriteMode::kCreate;
  return {is_new ? kCreated : 200, body.dump(), version};
}

}  // namespace

ResourceService::ResourceService(platform::PlatformClient* client,
                                 const ApiSettings* settings,
                                 std::uint64_t seed)
    : client_(client), settings_(settings), seed_(seed) {}

Result<CallContext> ResourceService::LoadContext(const ApiRequest& request) {
  // A request without a token is refused before it costs a platform call.
  if (request.authorization.empty()) {
    return Error{ResultCode::kUnauthenticated, "Authorization",
                 "the token is missing or wrong"};
  }
  Result<platform::Listing> listing = client_->List(config::kConfigPrefix);
  if (!listing.ok()) {
    return listing.error();
  }
  const platform::SkippedEntries& skipped = listing.value().skipped;
  if (skipped.count > 0) {
    kLog.Warning("{} entries of the platform are left out: {}", skipped.count,
                 ToString(skipped.first));
  }
  CallContext context;
  context.revision = listing.value().revision;
  context.objects = std::move(listing.value().objects);
  context.configuration =
      config::BuildSnapshot(context.objects, context.revision);
  Result<Identity> identity =
      Authenticate(request.authorization, *context.configuration.snapshot,
                   settings_->pool_token_hash);
  if (!identity.ok()) {
    return identity.error();
  }
  context.identity = std::move(identity).value();
  return context;
}

ApiResponse ResourceService::Handle(const ApiRequest& request) {
  const Result<Target> target = ParseTarget(request.path);
  if (!target.ok()) {
    return MakeErrorResponse(target.error());
  }
  if (target.value().kind == Target::Kind::kResource &&
      request.method == Method::kGet) {
    return Read(request, target.value());
  }
  const Result<CallContext> context = LoadContext(request);
  if (!context.ok()) {
    return MakeErrorResponse(context.error());
  }
  return Dispatch(request, target.value(), context.value());
}

ApiResponse ResourceService::Dispatch(const ApiRequest& request,
                                      const Target& target,
                                      const CallContext& context) {
  const bool is_read = request.method == Method::kGet;
  switch (target.kind) {
    case Target::Kind::kStatus:
      return is_read ? ShowStatus(context)
                     : MakeErrorResponse(UnsupportedMethodError("the status"));
    case Target::Kind::kCollection:
      if (is_read) {
        return List(target, context);
      }
      return request.method == Method::kPost
                 ? Write(request, target, context)
                 : MakeErrorResponse(UnsupportedMethodError("a collection"));
    case Target::Kind::kResource:
      break;
  }
  return request.method == Method::kPost
             ? MakeErrorResponse(UnsupportedMethodError("a resource"))
             : Write(request, target, context);
}

ApiResponse ResourceService::Read(const ApiRequest& request,
                                  const Target& target) {
  const Result<Identity> identity = Identify(request);
  if (!identity.ok()) {
    return MakeErrorResponse(identity.error());
  }
  const Result<platform::Object> object =
      client_->Get(config::KeyOf({target.resource_kind, target.name}));
  if (!object.ok()) {
    const bool is_absent = object.error().code == ResultCode::kNotFound;
    return MakeErrorResponse(is_absent ? NotFoundError(target)
                                       : object.error());
  }
  const std::optional<json> view =
      VisibleView(object.value(), identity.value());
  if (!view.has_value()) {
    return MakeErrorResponse(NotFoundError(target));
  }
  return {200, view->dump(), object.value().version};
}

Result<Identity> ResourceService::Identify(const ApiRequest& request) {
  std::vector<platform::Object> organisations;
  const std::string_view organisation =
      OrganisationInToken(request.authorization);
  if (config::IsName(organisation) && organisation != kPoolName) {
    Result<platform::Object> object = client_->Get(config::KeyOf(
        {config::ResourceKind::kOrganisation, std::string(organisation)}));
    if (object.ok()) {
      organisations.push_back(std::move(object).value());
    } else if (object.error().code != ResultCode::kNotFound) {
      return object.error();
    }
  }
  const config::BuiltSnapshot configuration =
      config::BuildSnapshot(organisations, 0);
  return Authenticate(request.authorization, *configuration.snapshot,
                      settings_->pool_token_hash);
}

ApiResponse ResourceService::List(const Target& target,
                                  const CallContext& context) {
  json items = json::array();
  for (const platform::Object& object : context.objects) {
    const auto id = config::ParseKey(object.key);
    if (!id.has_value() || id->kind != target.resource_kind) {
      continue;
    }
    std::optional<json> view = VisibleView(object, context.identity);
    if (view.has_value()) {
      items.push_back(std::move(*view));
    }
  }
  const json body = {{"revision", context.revision},
                     {"items", std::move(items)}};
  return {200, body.dump(), 0};
}

ApiResponse ResourceService::Write(const ApiRequest& request,
                                   const Target& target,
                                   const CallContext& context) {
  auto parsed = ParseWrite(request, target);
  if (std::holds_alternative<Errors>(parsed)) {
    return MakeErrorResponse(std::get<Errors>(parsed));
  }
  auto write = std::get<ResourceWrite>(std::move(parsed));
  if (write.mode == WriteMode::kCreate) {
    const Status name_status = ReadNameFromBody(&write);
    if (!name_status.ok()) {
      return MakeErrorResponse(
          ErrorsOfUnnamedCreation(write, name_status.error()));
    }
  }
  write.identity = context.identity;
  write.operation_id = MakeOperationId(request, context.identity);
  write.may_be_repeat = !request.operation_id.empty();
  if (request.dry_run) {
    return DryRun(write, context);
  }
  seed_ = MixHash(seed_, StableHash(write.operation_id));
  ResourceWriter writer(client_, seed_);
  auto write_result = writer.Run(write, *context.configuration.snapshot);
  if (std::holds_alternative<Errors>(write_result)) {
    const auto& errors = std::get<Errors>(write_result);
    kLog.Info("{}: operation {} on {} refused: {}.", context.identity.name(),
              write.operation_id, config::KeyOf(write.id),
              ToString(errors.front()));
    return MakeErrorResponse(errors);
  }
  const auto& result = std::get<WriteResult>(write_result);
  kLog.Info("{}: operation {} on {} accepted as version {}.",
            context.identity.name(), write.operation_id,
            config::KeyOf(write.id), result.outcome.version);
  return MakeWriteResponse(write, result);
}

ApiResponse ResourceService::ShowStatus(const CallContext& context) {
  const Result<platform::Listing> listing = client_->List(kStatusPrefix);
  if (!listing.ok()) {
    return MakeErrorResponse(listing.error());
  }
  const StatusInput input{&context.configuration, LatestVersion(context),
                          listing.value().objects, absl::Now(),
                          settings_->status_stale_after};
  return {200, StatusView(input, context.identity).dump(), 0};
}

// Prefixes the id with the caller's name, so that an organisation cannot reuse
// the operation id of another one.
std::string ResourceService::MakeOperationId(const ApiRequest& request,
                                             const Identity& identity) {
  if (!request.operation_id.empty()) {
    return fmt::format("{}/{}", identity.name(), request.operation_id);
  }
  std::random_device random;
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  return fmt::format("{}/{:08x}{:08x}{:08x}", identity.name(), high, low,
                     static_cast<std::uint64_t>(random()));
}

}  // namespace gcw::api
