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

// Names of request headers. An error about a header holds its name in `field`.
inline constexpr std::string_view kIfMatchField = "If-Match";
inline constexpr std::string_view kIfCreatedField = "If-Created";
inline constexpr std::string_view kIfSpecField = "If-Spec";
inline constexpr std::string_view kOperationIdField = "Operation-Id";
inline constexpr std::string_view kOperationAfterField = "Operation-After";

enum class Method { kGet, kPost, kPut, kPatch, kDelete };

// A request to the resource API. Values of headers and query parameters are as
// sent, not yet validated; empty if absent.
struct ApiRequest {
  Method method = Method::kGet;
  std::string path;
  std::string body;
  std::string authorization;
  std::string if_match;
  std::string if_created;
  std::string if_spec;
  std::string operation_id;
  std::string operation_after;
  bool dry_run = false;
  bool watch = false;
  std::string after;
};

// The response to an ApiRequest.
struct ApiResponse {
  int status = 200;
  std::string body;  // JSON.
  Version etag = 0;  // The resource's version; 0: no ETag header.
};

// What the path of a request addresses: a collection "/v1/KINDs", a resource
// "/v1/KINDs/NAME" or "/v1/status".
struct Target {
  enum class Kind { kCollection, kResource, kStatus };

  Kind kind = Kind::kCollection;
  config::ResourceKind resource_kind = config::ResourceKind::kOrganisation;
  std::string name;  // Set only for kResource.
};

// Parses the path of a request. Fails with kNotFound for an unknown path and
// with kInvalidField for an invalid resource name. Thread-safe.
Result<Target> ParseTarget(std::string_view path);

// Parses `text`, the value of the header `field`: a version `V` or `"V"`. For
// `*` and for an absent header (empty) the result holds no version. Fails with
// kInvalidField. Thread-safe.
Result<std::optional<Version>> ParseVersionHeader(std::string_view field,
                                                  std::string_view text);

// Whether `text` is a valid operation id: 1 to 64 characters of A-Z, a-z, 0-9,
// '-' and '_'. Thread-safe.
bool IsOperationId(std::string_view text);

// The HTTP status for an error code. Thread-safe.
int HttpStatusOf(ResultCode code);

// Builds the JSON response for one or more errors. The first error determines
// the HTTP status. Precondition: `errors` is not empty. Thread-safe.
ApiResponse MakeErrorResponse(const std::vector<Error>& errors);
ApiResponse MakeErrorResponse(const Error& error);

}  // namespace gcw::api

#endif  // GCW_SRC_API_MESSAGE_H_
