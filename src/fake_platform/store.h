#ifndef GCW_SRC_FAKE_PLATFORM_STORE_H_
#define GCW_SRC_FAKE_PLATFORM_STORE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "gcw/platform/platform_client.h"

namespace gcw::fake_platform {

using platform::Listing;
using platform::Object;
using platform::Version;
using platform::WatchAnswer;
using platform::WatchEvent;

// Maximum size of the value of one object, in bytes.
inline constexpr std::size_t kMaxStoredBytes = 1'000'000;

// The limits of one page of a listing; 0: no limit.
struct PageLimits {
  std::size_t objects = 0;
  std::size_t bytes = 0;  // Of the values; one object exceeds it if need be.
};

// One page of a listing.
struct StorePage {
  Listing listing;
  bool more = false;  // Whether more pages follow.
};

// In-memory store of versioned objects. All writes draw their versions from one
// counter and are conditional on the current version of the object. A log keeps
// the most recent events for watches. Does no I/O. Not thread-safe.
class Store {
 public:
  // The log keeps the latest `max_log_events` events; older ones are compacted.
  explicit Store(std::size_t max_log_events);

  // Writes an object if its current version is `if_version`, or creates it if
  // `if_version` is 0. Returns the version of the write. Fails with
  // kPlatformConflict, kTooLarge or kMalformedJson.
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version);
  // Writes an object of an unknown writer under any condition: `value` need not
  // be JSON. Returns the version of the write.
  Version PutRaw(std::string_view key, std::string_view value);
  // Deletes an object if its current version is `if_version`. Returns the
  // version of the deletion. Fails with kNotFound or kPlatformConflict.
  Result<Version> Delete(std::string_view key, Version if_version);
  // Returns the object at `key`. Fails with kNotFound.
  Result<Object> Get(std::string_view key) const;
  // Returns all objects whose key starts with `prefix`, sorted by key.
  Listing List(std::string_view prefix) const;
  // Returns one page of the objects whose key starts with `prefix`: those with
  // keys after `after`, sorted by key.
  StorePage ListPage(std::string_view prefix,
                     std::string_view after,
                     const PageLimits& limits) const;
  // Returns the events after version `after` on keys that start with `prefix`.
  // Fails with kPlatformCompacted if some of these events have been compacted
  // or if no change has the version `after`, because the store was restored.
  Result<WatchAnswer> EventsAfter(std::string_view prefix, Version after) const;

  // Returns the version of the object at `key`, or 0 if it does not exist.
  Version VersionOf(std::string_view key) const;
  // Returns the version of the last write or deletion.
  Version revision() const { return revision_; }
  // How often the store was restored.
  StoreEpoch epoch() const { return epoch_; }

  // Replaces all objects and the revision by those of `copy`, an earlier state
  // of this store. Later changes are lost and their versions are assigned
  // again. No events are kept.
  void RestoreFrom(const Store& copy);

  // Discards all events so far. A watch after an older revision then fails with
  // kPlatformCompacted.
  void Compact();

 private:
  // Appends an event to the log and compacts the oldest event if the log is
  // full.
  void Append(WatchEvent event);

  std::size_t max_log_events_;
  StoreEpoch epoch_ = 0;
  Version revision_ = 0;
  // Events up to this version are no longer in the log.
  Version compacted_revision_ = 0;
  std::map<std::string, Object, std::less<>> objects_;
  std::deque<WatchEvent> log_;
};

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_STORE_H_
