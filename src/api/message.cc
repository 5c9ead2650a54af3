#include "src/api/message.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "gcw/config/object_reader.h"

namespace gcw::api {
namespace {

using config::ResourceKind;
using nlohmann::json;

constexpr std::string_view kBasePath = "/v1/";
constexpr std::size_t kMaxOperationIdLength = 64;
constexpr int kPreconditionFailed = 412;

std::string_view SuggestedAction(ResultCode code) {
  switch (code) {
    case ResultCode::kInvalidField:
    case ResultCode::kUnknownField:
    case ResultCode::kMissingField:
      return "Correct the named field.";
    case ResultCode::kMalformedJson:
      return "Send one JSON object.";
    case ResultCode::kNotFound:
      return "Check the kind and the name; list the resources to see them.";
    case ResultCode::kVersionConflict:
      return "Read the resource again and decide whether the change still "
             "applies.";
    case ResultCode::kUnauthenticated:
      return "Send 'Authorization: Bearer ORGANISATION.SECRET' with the "
             "organisation's token.";
    case ResultCode::kForbidden:
      return "Ask the owner, or the operators of the pool.";
    case ResultCode::kAddressClaimed:
      return "Choose another address, or remove this one from the other "
             "resource first; a claim left by an unfinished change expires "
             "within seconds.";
    case ResultCode::kBrokenReference:
      return "Create the referenced resource first, or reference another one.";
    case ResultCode::kStillReferenced:
      return "Remove the references to the resource first.";
    case ResultCode::kTooLarge:
      return "Send a smaller request.";
    case ResultCode::kVersionRequired:
      return "Read the resource and send its version in If-Match.";
    case ResultCode::kUnsupportedMethod:
      return "See docs/API.md for the methods of this path.";
    case ResultCode::kPlatformOutcomeUnknown:
      return "Send the same request with the same Operation-Id: a change that "
             "was already made is not repeated.";
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformRateLimited:
      return "Nothing was changed; try again shortly.";
    default:
      return "Report it with the log of gcw-api.";
  }
}

json ErrorJson(const Error& error) {
  return {{"code", static_cast<unsigned>(error.code)},
          {"name", ResultCodeName(error.code)},
          {"field", error.field},
          {"message", error.message},
          {"what_to_do", SuggestedAction(error.code)}};
}

std::optional<ResourceKind> ParseCollectionName(std::string_view word) {
  for (ResourceKind kind : {ResourceKind::kOrganisation, ResourceKind::kService,
                            ResourceKind::kServer, ResourceKind::kZone}) {
    if (word == fmt::format("{}s", config::ToString(kind))) {
      return kind;
    }
  }
  return std::nullopt;
}

// Whether `field` is a header that makes a request conditional.
bool IsPreconditionHeader(std::string_view field) {
  return field == kIfMatchField || field == kIfCreatedField ||
         field == kIfSpecField;
}

bool IsOperationIdChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_';
}

}  // namespace

Result<Target> ParseTarget(std::string_view path) {
  const Error unknown{ResultCode::kNotFound, "",
                      fmt::format("there is no path '{}'", path)};
  if (!path.starts_with(kBasePath)) {
    return unknown;
  }
  path.remove_prefix(kBasePath.size());
  if (path == "status") {
    return Target{Target::Kind::kStatus, {}, ""};
  }
  const std::size_t slash = path.find('/');
  const auto kind = ParseCollectionName(path.substr(0, slash));
  if (!kind.has_value()) {
    return unknown;
  }
  if (slash == std::string_view::npos) {
    return Target{Target::Kind::kCollection, *kind, ""};
  }
  const std::string_view name = path.substr(slash + 1);
  if (!config::IsName(name)) {
    return Error{ResultCode::kInvalidField, "path",
                 "the path does not end with a valid resource name"};
  }
  return Target{Target::Kind::kResource, *kind, std::string(name)};
}

Result<std::optional<Version>> ParseVersionHeader(std::string_view field,
                                                  std::string_view text) {
  if (text.empty() || text == "*") {
    return std::optional<Version>();
  }
  std::string_view digits = text;
  if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"') {
    digits = digits.substr(1, digits.size() - 2);
  }
  Version version = 0;
  const char* last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, version);
  if (digits.empty() || error != std::errc() || end != last || version == 0) {
    return Error{ResultCode::kInvalidField, std::string(field),
                 "must be a version as in an ETag header"};
  }
  return std::optional<Version>(version);
}

bool IsOperationId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxOperationIdLength &&
         std::all_of(text.begin(), text.end(), IsOperationIdChar);
}

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kInvalidField:
    case ResultCode::kUnknownField:
    case ResultCode::kMissingField:
    case ResultCode::kMalformedJson:
      return 400;
    case ResultCode::kUnauthenticated:
      return 401;
    case ResultCode::kForbidden:
      return 403;
    case ResultCode::kNotFound:
      return 404;
    case ResultCode::kUnsupportedMethod:
      return 405;
    case ResultCode::kVersionConflict:
    case ResultCode::kAddressClaimed:
    case ResultCode::kStillReferenced:
      return 409;
    case ResultCode::kPlatformCompacted:
      return 410;
    case ResultCode::kTooLarge:
      return 413;
    case ResultCode::kBrokenReference:
      return 422;
    case ResultCode::kVersionRequired:
      return 428;
    case ResultCode::kPlatformUnavailable:
    case ResultCode::kPlatformRateLimited:
      return 503;
    case ResultCode::kPlatformOutcomeUnknown:
      return 504;
    default:
      return 500;
  }
}

ApiResponse MakeErrorResponse(const std::vector<Error>& errors) {
  json all = json::array();
  for (const Error& error : errors) {
    all.push_back(ErrorJson(error));
  }
  const Error& first = errors.front();
  const bool is_precondition = first.code == ResultCode::kVersionConflict &&
                               IsPreconditionHeader(first.field);
  const json body = {{"error", all.front()}, {"errors", all}};
  // Errors may quote request bytes that are not valid UTF-8; dump() replaces
  // these bytes.
  return {is_precondition ? kPreconditionFailed : HttpStatusOf(first.code),
          body.dump(-1, ' ', false, json::error_handler_t::replace), 0};
}

ApiResponse MakeErrorResponse(const Error& error) {
  return MakeErrorResponse(std::vector{error});
}

}  // namespace gcw::api
