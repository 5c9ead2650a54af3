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

struct ApiClientOptions {
  std::vector<Endpoint> apis;  // Any of them will do; at least one.
  std::string token;
  absl::Duration budget = absl::Seconds(15);  // For one call with its retries.
};

// Parses "http://IP:PORT" or "IP:PORT", several with commas. Fails with kUsage.
// Thread-safe.
Result<std::vector<Endpoint>> ParseApis(std::string_view text);

// What a write is conditional on.
struct Preconditions {
  Version if_match = 0;    // This version; 0: any.
  Version if_created = 0;  // This incarnation; 0: any.
  nlohmann::json if_spec;  // These values of fields; null: any.
  // A version from before the write, so that a repeat is found; 0: not known.
  Version operation_after = 0;
};

// Calls the resource API, the next one when one does not answer. A write bears
// an operation id, so it may be sent again when its answer is lost and is made
// at most once. Errors bear the code that the API states, or kApiUnreachable.
// Blocks; not thread-safe.
class ApiClient {
 public:
  explicit ApiClient(ApiClientOptions options);
  ~ApiClient();

  Result<nlohmann::json> Get(const std::string& path);
  // Writes with a fresh operation id.
  Result<nlohmann::json> Write(const std::string& method,
                               const std::string& path,
                               const nlohmann::json& body,
                               const Preconditions& preconditions);
  // Hands each line of a watch to `on_line` until it returns false or the
  // connection ends.
  Status Stream(const std::string& path,
                const std::function<bool(const nlohmann::json&)>& on_line);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_API_CLIENT_H_
