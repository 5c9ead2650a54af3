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

// The result of merging changes from the platform or a peer into a store.
enum class MergeResult {
  kNoChange,  // The changes contain nothing new.
  kGap,       // Not applied: earlier changes are missing and must be requested.
  kPeerOutdated,  // Not applied: the store knows that the peer is outdated.
  kApplied,       // The objects or the revision changed.
};

// Holds the live objects as of one revision, and tombstones of the deletions
// that peers may have missed. Three versions describe what the store knows:
//
// - complete_version: every change of this version or less is known. The other
//   two versions are never higher.
// - revision: the version of the latest change. The platform assigned the
//   versions from there to complete_version to objects outside the
//   configuration.
// - compacted_version: a peer at this revision or above can be sent the
//   individual changes that it misses. A peer below it needs all live objects.
//
// Changes at or below complete_version are ignored, whoever sends them, except
// in a list of the platform as of complete_version. Not thread-safe.
class ObjectStore {
 public:
  explicit ObjectStore(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  // Merges a list from the platform: all live objects as of `to`. If `to` is
  // equal to complete_version(), the list overrides what peers have sent.
  MergeResult ApplyList(Version to, std::span<const Object> objects);

  // Merges the platform's answer to a watch: all changes with versions in
  // (after, to].
  MergeResult ApplyWatch(Version after,
                         Version to,
                         std::span<const Object> changes);

  // Merges an update from a peer. After kPeerOutdated, revision() is higher
  // than the revision of the peer, which must be sent ChangesSince(update.to).
  MergeResult ApplyUpdate(const Update& update);

  // Returns the update that brings a store at revision `since` to revision().
  Update ChangesSince(Version since) const;

  // The class comment explains these three versions.
  Version revision() const { return revision_; }
  Version complete_version() const { return complete_version_; }
  Version compacted_version() const { return compacted_version_; }
  // Whether the store has ever learned a complete state.
  bool has_state() const { return has_state_; }
  // A hash of the keys and versions of all live objects.
  std::uint64_t hash() const { return hash_; }
  // The number of deletions that are remembered individually.
  std::size_t tombstone_count() const { return tombstones_.size(); }

  // The live object `key`, or null. Valid until the next non-const call.
  const Object* Find(std::string_view key) const;
  // All live objects, sorted by key.
  std::vector<Object> LiveObjects() const;

 private:
  void Put(const Object& object);
  void Remove(std::string_view key, Version version);
  bool ReplaceAll(Version to, std::span<const Object> objects);
  Version ApplyChanges(Version to, std::span<const Object> changes);
  bool Matches(const Update& update) const;
  MergeResult CompareWithPeer(const Update& update);
  void TrimTombstones();

  std::size_t max_tombstones_;
  std::map<std::string, Object, std::less<>> live_;
  std::map<std::string, Version, std::less<>> tombstones_;
  bool has_state_ = false;
  Version compacted_version_ = 0;
  Version revision_ = 0;
  Version complete_version_ = 0;
  std::uint64_t hash_ = 0;
};

}  // namespace gcw::relay

#endif  // GCW_SRC_RELAY_OBJECT_STORE_H_
