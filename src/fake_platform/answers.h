#ifndef GCW_SRC_FAKE_PLATFORM_ANSWERS_H_
#define GCW_SRC_FAKE_PLATFORM_ANSWERS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gcw/base/result_code.h"
#include "gcw/platform/platform_client.h"

namespace gcw::fake_platform {

// Encode response bodies in the format of docs/WIRE.md. Thread-safe.
nlohmann::json ToJson(const platform::Listing& listing);
nlohmann::json ToJson(const platform::Object& object);
nlohmann::json ToJson(const platform::WatchAnswer& answer);
nlohmann::json ToJson(const std::vector<platform::Vm>& vms);

// Returns the value of `object` for an answer. A value that is not plain JSON,
// or that nests deeply, becomes a marker that WithRawValues() replaces.
// Thread-safe.
nlohmann::json ValueToJson(const platform::Object& object);
// Returns the text of an answer with the bytes of each value in place of its
// marker. Thread-safe.
std::string WithRawValues(std::string answer);

// Returns the HTTP status for an error code of the Store. Thread-safe.
int StatusOf(ResultCode code);

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_ANSWERS_H_
