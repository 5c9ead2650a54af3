#ifndef GCW_LEASE_LEASE_STORE_H_
#define GCW_LEASE_LEASE_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gcw/base/result.h"
#include "gcw/base/store_version.h"

namespace gcw::lease {

// The version of a stored object; each write of the object gives it a higher
// one.
using Version = StoreVersion;

// A stored object. Version 0 means that the object does not exist.
struct StoredObject {
  Version version = 0;
  std::string json;
  StoreEpoch epoch = 0;  // The store's, also if the object does not exist.
};

// The versioned store that holds leases and guarded objects. Implementations
// may block for a bounded time; each documents its own thread safety.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;

  // Reads the object; its version is 0 if it does not exist. Fails with one of
  // the kPlatform result codes.
  virtual Result<StoredObject> Read(std::string_view key) = 0;

  // Writes `json` if the object's version is `if_version` (0: the object must
  // not exist) and returns the new version. Fails with kPlatformConflict if the
  // object has another version and with kPlatformOutcomeUnknown if the write
  // may have taken effect. With any other code the write has not taken effect.
  virtual Result<Version> PutIf(std::string_view key,
                                std::string_view json,
                                Version if_version) = 0;
};

}  // namespace gcw::lease

#endif  // GCW_LEASE_LEASE_STORE_H_
