#ifndef GCW_API_API_SETTINGS_H_
#define GCW_API_API_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/log.h"
#include "gcw/base/result.h"

namespace gcw::api {

// The settings of gcw-api.
struct ApiSettings {
  Endpoint listen;
  Endpoint platform;
  // Local IPv4 address of connections to the platform; 0: any.
  std::uint32_t bind = 0;
  // Hash of the token of the pool's operators, who manage the zones and backend
  // servers that all organisations share; see auth::HashToken.
  std::string pool_token_hash;
  // A zone whose status report is older than this counts as unreachable. Status
  // writers renew an unchanged report every 30 s.
  absl::Duration status_stale_after = absl::Seconds(45);
  LogLevel log_level = LogLevel::kInfo;
};

// The result of parsing settings: the settings and every error found.
struct ParsedApiSettings {
  ApiSettings settings;
  std::vector<Error> errors;  // Empty: `settings` is valid.
};

// Parses settings in JSON. Each error names the path of the wrong field.
// Thread-safe.
ParsedApiSettings ParseApiSettings(std::string_view text);

}  // namespace gcw::api

#endif  // GCW_API_API_SETTINGS_H_
