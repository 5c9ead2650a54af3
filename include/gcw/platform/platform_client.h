#ifndef GCW_PLATFORM_PLATFORM_CLIENT_H_
#define GCW_PLATFORM_PLATFORM_CLIENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/config/snapshot_builder.h"

namespace gcw::platform {

using config::Version;

// An existing (not deleted) object as the platform stores it.
using Object = config::ObjectRecord;

// Entries of an answer that are left out because their name or version cannot
// be decoded.
struct SkippedEntries {
  std::size_t count = 0;
  Error first;  // Why the first one is left out.

  void Add(const SkippedEntries& other) {
    first = count == 0 ? other.first : first;
    count += other.count;
  }
  void Add(const Error& error) { Add(SkippedEntries{1, error}); }
};

// All objects under a key prefix at one revision.
struct Listing {
  Version revision = 0;
  std::vector<Object> objects;  // Sorted by key.
  SkippedEntries skipped;
};

// One write or deletion of an object.
struct WatchEvent {
  Object object;  // Has no value if the object was deleted.
  bool deleted = false;
};

// The result of a watch.
struct WatchAnswer {
  Version revision = 0;  // The next watch continues after this revision.
  // Sorted by version. Empty if the wait ended without an event.
  std::vector<WatchEvent> events;
  SkippedEntries skipped;
};

// Whether the platform keeps a VM or is about to remove it.

enum class VmState { kLive, kLeaving };

// A VM of the deployment, as listed by the platform. The list lags behind the
// actual state of the VMs.
struct Vm {
  std::string name;
  std::string address;  // "a.b.c.d".
  std::string zone;
  VmState state = VmState::kLive;

  bool operator==(const Vm&) const = default;
};

// Client of the platform's object store. Calls block. Not thread-safe unless a
// derived class states otherwise.
//
// Every call may fail with kPlatformUnavailable (the platform is unreachable,
// has an outage, or did not answer a read), kPlatformRateLimited or
// kPlatformBadAnswer. A write may also fail with kPlatformConflict, or with
// kPlatformOutcomeUnknown if no answer came: the write may have taken effect or
// may still take effect.
//
// All versions are StoreVersions, which include the platform's epoch. A call
// with a version from before the latest restore of the platform fails as if the
// object had changed since (writes, kPlatformConflict) or the events were gone
// (watches, kPlatformCompacted).
class PlatformClient {
 public:
  virtual ~PlatformClient() = default;

  // Returns all existing objects whose key starts with `prefix`.
  virtual Result<Listing> List(std::string_view prefix) = 0;

  // Returns the object at `key`. Fails with kNotFound if the object does not
  // exist.
  virtual Result<Object> Get(std::string_view key) = 0;

  // Writes `value` (JSON text) if the current version of the object is
  // `if_version`; 0: if the object does not exist. Returns the version of the
  // write.
  virtual Result<Version> Put(std::string_view key,
                              std::string_view value,
                              Version if_version) = 0;

  // Deletes the object if its current version is `if_version`. Returns the
  // version of the deletion. Fails with kNotFound if the object does not exist.
  virtual Result<Version> Delete(std::string_view key, Version if_version) = 0;

  // Waits at most `wait` for events after revision `after` on keys that start
  // with `prefix`; 0 stands for all events. Fails with kPlatformCompacted if
  // the platform no longer has all events after `after`; the caller then has to
  // list the objects again.
  virtual Result<WatchAnswer> Watch(std::string_view prefix,
                                    Version after,
                                    absl::Duration wait) = 0;

  // The highest epoch of the platform in any answer so far; 0 before the first.
  virtual StoreEpoch epoch() const = 0;

  // Returns the VMs of the deployment. The list lags behind their actual state.
  virtual Result<std::vector<Vm>> Vms() = 0;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_PLATFORM_CLIENT_H_
