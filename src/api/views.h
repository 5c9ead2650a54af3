#ifndef GCW_SRC_API_VIEWS_H_
#define GCW_SRC_API_VIEWS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/platform/platform_client.h"
#include "src/api/access.h"

namespace gcw::api {

using config::Version;

// The JSON form of a resource in responses:
// {"kind","name","version","created","spec"}. Thread-safe.
nlohmann::json ViewOf(const config::Resource& resource,
                      Version version,
                      Version created);

// The JSON form of a stored object in responses; nullopt if the object is not a
// resource, cannot be decoded or may not be seen by `identity`. Thread-safe.
std::optional<nlohmann::json> VisibleView(const platform::Object& object,
                                          const Identity& identity);

// The input of StatusView.
struct StatusInput {
  const config::BuiltSnapshot* configuration = nullptr;
  Version revision = 0;  // The largest version of a resource.
  std::span<const platform::Object> objects;  // With keys under "status/".
  absl::Time now;
  absl::Duration stale_after;  // Zones with an older report are unreachable.
};

// The status in JSON, as far as `identity` may see it. A zone whose status
// object is absent, malformed or older than `stale_after` is always listed as
// unreachable. Pure; thread-safe.
nlohmann::json StatusView(const StatusInput& input, const Identity& identity);

}  // namespace gcw::api

#endif  // GCW_SRC_API_VIEWS_H_
