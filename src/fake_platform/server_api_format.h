#ifndef GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_
#define GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/platform/platform_client.h"
#include "src/fake_platform/fault_injector.h"

namespace gcw::fake_platform {

// A call as HTTP brings it.
struct ApiHttpCall {
  std::string_view method;  // "GET".
  std::string_view path;
  std::string_view body;
  // The value of a query parameter, or empty.
  std::function<std::string(const char*)> param;
};

// What a call asks of the store.
struct ApiCall {
  CallKind kind = CallKind::kGet;
  std::string prefix;      // kList, kWatch.
  std::string list_after;  // kList: the last key of the page before.
  std::string key;         // The others.
  std::string value;       // kPut.
  platform::Version if_version = 0;
  platform::Version after = 0;  // kWatch.
  absl::Duration wait;          // kWatch.
};

// How the stand-in is spoken to: the other side of platform::ApiFormat. Keeps
// no state. Thread-safe.
class ServerApiFormat {
 public:
  virtual ~ServerApiFormat() = default;

  // What `call` asks, or nothing if no such call exists.
  virtual std::optional<ApiCall> Parse(const ApiHttpCall& call) const = 0;

  // `more`: other pages follow.
  virtual nlohmann::json ListAnswer(const platform::Listing& page,
                                    bool more) const = 0;
  virtual nlohmann::json ObjectAnswer(const platform::Object& object) const = 0;
  virtual nlohmann::json WatchAnswer(
      const platform::WatchAnswer& answer) const = 0;
  // The object is now at `version`, after a write or in place of one.
  virtual nlohmann::json WriteAnswer(std::string_view key,
                                     platform::Version version) const = 0;
};

// The form that docs/WIRE.md states. Never destroyed.
const ServerApiFormat& FlatServerApiFormat();

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_SERVER_API_FORMAT_H_
