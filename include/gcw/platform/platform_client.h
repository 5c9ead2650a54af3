#ifndef GCW_PLATFORM_PLATFORM_CLIENT_H_
#define GCW_PLATFORM_PLATFORM_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/config/snapshot_builder.h"

namespace gcw::platform {

using config::Version;

// A live object as stored.
using Object = config::ObjectRecord;

struct Listing {
  Version revision = 0;
  std::vector<Object> objects;  // In order of key.
};

struct WatchEvent {
  Object object;  // Without a value if deleted.
  bool deleted = false;
};

struct WatchAnswer {
  Version revision = 0;            // Watch on after this one.
  std::vector<WatchEvent> events;  // In order of version; empty: wait is over.
};

enum class VmState { kLive, kLeaving };

// A VM of the deployment as the platform's lagging list knows it.
struct Vm {
  std::string name;
  std::string address;  // "a.b.c.d".
  std::string zone;
  VmState state = VmState::kLive;

  bool operator==(const Vm&) const = default;
};

// The platform's object API. Calls block. An instance belongs to one thread at
// a time unless its class says otherwise.
//
// Errors of every call: kPlatformUnavailable (not reachable, an outage, or a
// read without an answer), kPlatformRateLimited, kPlatformBadAnswer. A write
// may also end in kPlatformConflict, or in kPlatformOutcomeUnknown when no
// answer came: then it may have taken effect, or may still do so.
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;

  // All live objects whose key starts with `prefix`.
  virtual Result<Listing> List(std::string_view prefix) = 0;

  // The object at `key`; kNotFound if there is none.
  virtual Result<Object> Get(std::string_view key) = 0;

  // Writes `value` (JSON text) if the object is at `if_version`; 0 stands for
  // an object that must not exist. Returns the version of the write.
  virtual Result<Version> Put(std::string_view key,
                              std::string_view value,
                              Version if_version) = 0;

  // Deletes the object if it is at `if_version`. kNotFound if there is none.
  virtual Result<Version> Delete(std::string_view key, Version if_version) = 0;

  // Waits at most `wait` for events after revision `after` on keys that start
  // with `prefix`. kPlatformCompacted if `after` is too old: list again.
  virtual Result<WatchAnswer> Watch(std::string_view prefix,
                                    Version after,
                                    absl::Duration wait) = 0;

  // The VMs of the deployment. The list lags.
  virtual Result<std::vector<Vm>> Vms() = 0;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_PLATFORM_CLIENT_H_
