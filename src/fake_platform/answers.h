#ifndef GCW_SRC_FAKE_PLATFORM_ANSWERS_H_
#define GCW_SRC_FAKE_PLATFORM_ANSWERS_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/result_code.h"
#include "gcw/platform/platform_client.h"

namespace gcw::fake_platform {

// Encode response bodies in the format of docs/WIRE.md. Thread-safe.
nlohmann::json ToJson(const platform::Listing& listing);
nlohmann::json ToJson(const platform::Object& object);
nlohmann::json ToJson(const platform::WatchAnswer& answer);
nlohmann::json ToJson(const std::vector<platform::Vm>& vms);

// Returns the value of `object` for an answer. A value that is long, not plain
// JSON, or nests deeply, becomes a marker that RawValues replaces. Thread-safe.
nlohmann::json ValueToJson(const platform::Object& object);

// The values that stand in an answer byte by byte. Not thread-safe.
class RawValues {
 public:
  // Adds the value of `object`, which must outlive this object.
  void Add(const platform::Object& object);
  // Returns the text of an answer with the values in place of their markers.
  std::string InsertInto(const std::string& answer) const;

 private:
  std::map<std::string, std::string_view, std::less<>> values_;  // By marker.
};

// Returns the HTTP status for an error code of the Store. Thread-safe.
int StatusOf(ResultCode code);

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_ANSWERS_H_
