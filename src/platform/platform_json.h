#ifndef GCW_SRC_PLATFORM_PLATFORM_JSON_H_
#define GCW_SRC_PLATFORM_PLATFORM_JSON_H_

#include <string_view>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// Decode response bodies of the platform, or their entries, in the format of
// docs/WIRE.md. Each function fails with kPlatformBadAnswer if the text is
// invalid. A value that cannot be decoded is replaced, see CompactJson().
// Thread-safe.
Result<Object> ReadObject(std::string_view text);
Result<WatchEvent> ReadEvent(std::string_view text);
Result<Version> DecodeVersion(std::string_view body);
Result<std::vector<Vm>> DecodeVms(std::string_view body);

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_PLATFORM_JSON_H_
