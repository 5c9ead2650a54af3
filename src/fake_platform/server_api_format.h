#ifndef GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_
#define GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/platform/platform_client.h"
#include "src/fake_platform/fault_injector.h"

namespace gcw::fake_platform {

// An HTTP request as the fake platform received it.
struct ApiHttpCall {
  std::string_view method;  // For example "GET".
  std::string_view path;
  std::string_view body;
  // Returns the value of the query parameter with the given name, or an empty
  // string if the request does not have that parameter.
  std::function<std::string(const char*)> param;
};

// A parsed call of the object API.
struct ApiCall {
  CallKind kind = CallKind::kGet;
  std::string prefix;      // Key prefix of kList and kWatch.
  std::string list_after;  // Last key of the previous page of kList.
  std::string key;         // Key of kGet, kPut and kDelete.
  std::string value;       // New value of kPut.
  // Version on which kPut and kDelete are conditional.
  platform::Version if_version = 0;
  platform::Version after = 0;  // Revision that kWatch continues after.
  absl::Duration wait;          // Maximum wait of kWatch for an event.
};

// Decodes HTTP requests of an object API and encodes the response bodies: the
// server side of platform::ApiFormat. Implementations keep no state and are
// thread-safe.
class ServerApiFormat {
 public:
  virtual ~ServerApiFormat() = default;

  // The name of the response header that has the epoch of the store.
  virtual const char* EpochHeader() const = 0;

  // Parses an HTTP request. Returns nullopt if the API does not have such a
  // call.
  virtual std::optional<ApiCall> Parse(const ApiHttpCall& call) const = 0;

  // Encodes one page of a listing. `more` is true if more pages follow.
  virtual nlohmann::json ListAnswer(const platform::Listing& page,
                                    bool more) const = 0;
  // Encodes the response to a read of one object.
  virtual nlohmann::json ObjectAnswer(const platform::Object& object) const = 0;
  // Encodes the response to a watch.
  virtual nlohmann::json WatchAnswer(
      const platform::WatchAnswer& answer) const = 0;
  // Encodes the response to a write or deletion. `version` is the version of a
  // successful write or, after a failed one, the current version of the object.
  virtual nlohmann::json WriteAnswer(std::string_view key,
                                     platform::Version version) const = 0;
};

// Returns the server side of the object API that docs/WIRE.md specifies. The
// object is never destroyed. Thread-safe.
const ServerApiFormat& FlatServerApiFormat();

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_
