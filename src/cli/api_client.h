#ifndef GCW_SRC_CLI_API_CLIENT_H_
#define GCW_SRC_CLI_API_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/config/resources.h"

namespace gcw::cli {

using config::Version;

// Options of ApiClient.
struct ApiClientOptions {
  // Servers of the same API, at least one.
  std::vector<Endpoint> endpoints;
  std::string token;
  // For one call with its retries.
  absl::Duration time_limit = absl::Seconds(15);
};

// Parses a comma-separated list of "http://IP:PORT" or "IP:PORT". Fails with
// kUsage. Thread-safe.
Result<std::vector<Endpoint>> ParseApiEndpoints(std::string_view text);

// Conditions under which the API performs a write.
struct Preconditions {
  Version if_match = 0;    // The resource's version; 0: any.
  Version if_created = 0;  // The version at its creation; 0: any.
  nlohmann::json if_spec;  // Values of some of its fields; null: any.
  // A version before the write. The API looks for an earlier attempt of the
  // same write after this version; 0: not known.
  Version operation_after = 0;
};

// A client of the resource API. If an API server does not answer, the next one
// is tried. A write carries an operation id, so that it takes effect at most
// once although it is sent again when its answer is lost. Errors have the code
// that the API returned, kApiRefused if that code is unknown, or
// kApiUnreachable. Blocks; not thread-safe.
class ApiClient {
 public:
  explicit ApiClient(ApiClientOptions options);
  ~ApiClient();

  // Returns the JSON body of the response, like Write.
  Result<nlohmann::json> Get(const std::string& path);
  // Sends a write with a new operation id.
  Result<nlohmann::json> Write(const std::string& method,
                               const std::string& path,
                               const nlohmann::json& body,
                               const Preconditions& preconditions);
  // Passes each line of a watch to `on_line` until it returns false or the
  // connection ends.
  Status Stream(const std::string& path,
                const std::function<bool(const nlohmann::json&)>& on_line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_API_CLIENT_H_
