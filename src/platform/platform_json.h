#ifndef GCW_SRC_PLATFORM_PLATFORM_JSON_H_
#define GCW_SRC_PLATFORM_PLATFORM_JSON_H_

#include <string_view>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// Decode response bodies of the platform in the format of docs/WIRE.md. Each
// function fails with kPlatformBadAnswer if the body is invalid. Thread-safe.
Result<Listing> DecodeListing(std::string_view body);
Result<Object> DecodeObject(std::string_view body);
Result<Version> DecodeVersion(std::string_view body);
Result<WatchAnswer> DecodeWatch(std::string_view body);
Result<std::vector<Vm>> DecodeVms(std::string_view body);

}  // namespace gcw::platform

#endif  // GCW_SRC_PLATFORM_PLATFORM_JSON_H_
