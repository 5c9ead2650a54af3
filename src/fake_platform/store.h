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

// The largest value that the platform holds.
inline constexpr std::size_t kMaxStoredBytes = 1'000'000;

// A store of versioned objects with one version counter, conditional updates
// and a log of events that is compacted. Pure; not thread-safe.
class Store {
 public:
  // Events beyond the latest `log_size` are compacted.
  explicit Store(std::size_t log_size);

  // Fails with kPlatformConflict, kTooLarge or kMalformedJson.
  Result<Version> Put(std::string_view key,
                      std::string_view value,
                      Version if_version);
  // Fails with kNotFound or kPlatformConflict.
  Result<Version> Delete(std::string_view key, Version if_version);
  Result<Object> Get(std::string_view key) const;
  Listing List(std::string_view prefix) const;
  // Events after `after`. Fails with kPlatformCompacted.
  Result<WatchAnswer> EventsAfter(std::string_view prefix, Version after) const;

  // 0 for no object.
  Version VersionOf(std::string_view key) const;
  Version revision() const { return revision_; }
  // Forgets all events up to now, so that every older watch has to list again.
  void Compact();

 private:
  void Append(WatchEvent event);

  std::size_t log_size_;
  Version revision_ = 0;
  Version compacted_ = 0;
  std::map<std::string, Object, std::less<>> objects_;
  std::deque<WatchEvent> log_;
};

}  // namespace gcw::fake_platform

#endif  // GCW_SRC_FAKE_PLATFORM_STORE_H_
