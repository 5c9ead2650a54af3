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

// A resource as answers show it: {"kind","name","version","created","spec"}.
// Thread-safe.
nlohmann::json ViewOf(const config::Resource& resource,
                      Version version,
                      Version created);

// The view of a stored object; nothing if it is no resource, cannot be decoded
// or `identity` may not see it. Thread-safe.
std::optional<nlohmann::json> VisibleView(const platform::Object& object,
                                          const Identity& identity);

// What the status is gathered from.
struct StatusInput {
  const config::BuiltSnapshot* built = nullptr;
  Version revision = 0;  // The largest version of a resource.
  std::span<const platform::Object> objects;  // Under "status/".
  absl::Time now;
  absl::Duration stale;
};

// The status as `identity` may see it. A zone whose status object is absent,
// broken or old is listed as unreachable, never as well. Pure; thread-safe.
nlohmann::json StatusView(const StatusInput& input, const Identity& identity);

}  // namespace gcw::api

#endif  // GCW_SRC_API_VIEWS_H_
