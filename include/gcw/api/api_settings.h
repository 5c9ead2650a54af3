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
  std::uint32_t bind = 0;  // Local address of platform calls; 0: any.
  // Hash of the token of the pool's operators, see auth::HashToken.
  std::string pool_token_hash;
  // A zone whose status is older counts as unreachable. Status writers write
  // an unchanged status every 30 s.
  absl::Duration status_stale = absl::Seconds(45);
  LogLevel log_level = LogLevel::kInfo;
};

// The settings, or every reason why there are none.
struct ParsedApiSettings {
  ApiSettings settings;
  std::vector<Error> errors;  // Empty: the settings hold.
};

// Parses settings in JSON and names each wrong field with its path.
// Thread-safe.
ParsedApiSettings ParseApiSettings(std::string_view text);

}  // namespace gcw::api

#endif  // GCW_API_API_SETTINGS_H_
