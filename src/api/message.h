#ifndef GCW_SRC_API_MESSAGE_H_
#define GCW_SRC_API_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"

namespace gcw::api {

using config::Version;

// Headers of requests, which errors name as fields.
inline constexpr std::string_view kIfMatchField = "If-Match";
inline constexpr std::string_view kIfCreatedField = "If-Created";
inline constexpr std::string_view kIfSpecField = "If-Spec";
inline constexpr std::string_view kOperationIdField = "Operation-Id";
inline constexpr std::string_view kOperationAfterField = "Operation-After";

enum class Method { kGet, kPost, kPut, kPatch, kDelete };

// A call of the resource API, parsed but not yet checked against resources.
struct ApiRequest {
  Method method = Method::kGet;
  std::string path;
  std::string body;
  std::string authorization;
  std::string if_match;         // As sent.
  std::string if_created;       // As sent.
  std::string if_spec;          // As sent.
  std::string operation_id;     // As sent; empty: none.
  std::string operation_after;  // As sent.
  bool dry_run = false;
  bool watch = false;
  std::string after;  // As sent.
};

struct ApiResponse {
  int status = 200;
  std::string body;  // JSON.
  Version etag = 0;  // 0: none.
};

// What a path names: "/v1/KINDs" or "/v1/KINDs/NAME", or the status.
struct Target {
  enum class Kind { kCollection, kResource, kStatus };

  Kind kind = Kind::kCollection;
  config::ResourceKind resource_kind = config::ResourceKind::kOrganisation;
  std::string name;  // Only for kResource.
};

// Fails with kNotFound for a path that names nothing and with kInvalidField
// for a name that is none. Thread-safe.
Result<Target> ParseTarget(std::string_view path);

// The version in the header `field`: `V` or `"V"`; `*` and an absent header are
// nothing. Fails with kInvalidField. Thread-safe.
Result<std::optional<Version>> ParseVersionHeader(std::string_view field,
                                                  std::string_view text);

// Whether `text` may be an operation id: 1 to 64 of A-Z, a-z, 0-9, '-', '_'.
// Thread-safe.
bool IsOperationId(std::string_view text);

// The HTTP status of an error. Thread-safe.
int HttpStatusOf(ResultCode code);

// The JSON answer for errors, the first one in front. Precondition: there is
// at least one. Thread-safe.
ApiResponse MakeErrorResponse(const std::vector<Error>& errors);
ApiResponse MakeErrorResponse(const Error& error);

}  // namespace gcw::api

#endif  // GCW_SRC_API_MESSAGE_H_
