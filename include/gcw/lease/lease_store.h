#ifndef GCW_LEASE_LEASE_STORE_H_
#define GCW_LEASE_LEASE_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gcw/base/result.h"

namespace gcw::lease {

using Version = std::uint64_t;

// A stored object; version 0 stands for one that does not exist.
struct StoredObject {
  Version version = 0;
  std::string json;
};

// The part of the platform that leases need. Implementations may block for a
// bounded time; each states its own thread safety.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;

  // The object, with version 0 if it does not exist. Fails with a kPlatform
  // code.
  virtual Result<StoredObject> Read(std::string_view key) = 0;

  // Writes `json` if the object's version is `if_version` (0: must not exist)
  // and answers the new version. Fails with kPlatformConflict if it is another
  // and with kPlatformOutcomeUnknown if the write may have taken effect; with
  // any other code it has not taken effect.
  virtual Result<Version> PutIf(std::string_view key,
                                std::string_view json,
                                Version if_version) = 0;
};

}  // namespace gcw::lease

#endif  // GCW_LEASE_LEASE_STORE_H_
