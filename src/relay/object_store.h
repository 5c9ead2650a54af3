#ifndef GCW_SRC_RELAY_OBJECT_STORE_H_
#define GCW_SRC_RELAY_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/relay/message.h"
#include "gcw/relay/object.h"

namespace gcw::relay {

// What became of changes that were offered.
enum class Merge {
  kStale,        // Nothing in them is new.
  kGap,          // Changes before them are missing: ask for those.
  kKnownBetter,  // This store knows that they are outdated.
  kApplied,
};

// The objects as of one revision, and the deletions that others may still have
// to hear of. Three marks say what is known, none of them above `complete`:
//
// - complete: every change of this version or less is known here.
// - revision: the version of the last change. Between revision and complete
//   the platform numbered only objects outside the configuration.
// - floor: for a peer at this revision or above, the changes since then can be
//   listed one by one; for one below, only all objects together are exact.
//
// Nothing at or below `complete` can change, whoever says so. Not thread-safe.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  // The platform's list: all live objects as of `to`. At an equal revision it
  // is right where a peer and this store differ.
  Merge ApplyList(Version to, std::span<const Object> objects);

  // The platform's answer to a watch: all changes in (after, to].
  Merge ApplyWatch(Version after, Version to, std::span<const Object> changes);

  // What a peer knows. After kKnownBetter this store's revision lies above the
  // peer's, so the peer must be sent ChangesSince.
  Merge ApplyUpdate(const Update& update);

  // What brings a store at `since` to this one.
  Update ChangesSince(Version since) const;

  Version revision() const { return revision_; }
  Version complete() const { return complete_; }
  Version floor() const { return floor_; }
  // Whether a whole state was ever learned.
  bool known() const { return known_; }
  // Over the live objects.
  std::uint64_t hash() const { return hash_; }
  std::size_t tombstone_count() const { return tombstones_.size(); }

  const Object* Find(std::string_view key) const;
  std::vector<Object> Live() const;

 private:
  void Put(const Object& object);
  void Remove(std::string_view key, Version version);
  bool Replace(Version to, std::span<const Object> objects);
  Version PutChanges(Version to, std::span<const Object> changes);
  bool Matches(const Update& update) const;
  Merge Compare(const Update& update);
  void TrimTombstones();

  std::size_t max_tombstones_;
  std::map<std::string, Object, std::less<>> live_;
  std::map<std::string, Version, std::less<>> tombstones_;
  bool known_ = false;
  Version floor_ = 0;
  Version revision_ = 0;
  Version complete_ = 0;
  std::uint64_t hash_ = 0;
};

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_OBJECT_STORE_H_
