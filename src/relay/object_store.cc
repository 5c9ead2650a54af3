#include "src/relay/object_store.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "gcw/base/hash.h"

namespace gcw::relay {
namespace {

std::uint64_t HashOf(const Object& object) {
  return StableHash(object.key, object.version);
}

}  // namespace

void ObjectStore::Put(const Object& object) {
  tombstones_.erase(object.key);
  const auto [it, inserted] = live_.try_emplace(object.key);
  if (!inserted) {
    hash_ ^= HashOf(it->second);
  }
  it->second = object;
  hash_ ^= HashOf(object);
}

void ObjectStore::Remove(std::string_view key, Version version) {
  const auto it = live_.find(key);
  if (it != live_.end()) {
    hash_ ^= HashOf(it->second);
    live_.erase(it);
  }
  tombstones_[std::string(key)] = version;
}

// Removes old tombstones if there are too many. A removed deletion can no
// longer be sent to peers, so compacted_version rises to its version.
void ObjectStore::TrimTombstones() {
  if (tombstones_.size() <= max_tombstones_) {
    return;
  }
  std::vector<Version> versions;
  for (const auto& [key, version] : tombstones_) {
    versions.push_back(version);
  }
  // Removes about half of the tombstones at once, so that this is rare.
  const auto last_dropped =
      versions.begin() +
      static_cast<std::ptrdiff_t>(versions.size() - max_tombstones_ / 2 - 1);
  std::nth_element(versions.begin(), last_dropped, versions.end());
  const Version limit = *last_dropped;
  std::erase_if(tombstones_,
                [&](const auto& entry) { return entry.second <= limit; });
  compacted_version_ = std::max(compacted_version_, limit);
}

// Applies the changes with versions in (complete_version, to] in order of
// version. Returns the version of the last one, or 0 if there is none. Changes
// at or below complete_version were merged earlier and are skipped.
Version ObjectStore::ApplyChanges(Version to, std::span<const Object> changes) {
  std::vector<const Object*> new_changes;
  for (const Object& change : changes) {
    if (change.version > complete_version_ && change.version <= to) {
      new_changes.push_back(&change);
    }
  }
  std::sort(
      new_changes.begin(), new_changes.end(),
      [](const Object* a, const Object* b) { return a->version < b->version; });
  for (const Object* change : new_changes) {
    if (change->deleted) {
      Remove(change->key, change->version);
    } else {
      Put(*change);
    }
  }
  return new_changes.empty() ? 0 : new_changes.back()->version;
}

// Makes `objects` the live objects, except that a stored object is not replaced
// by an older version of itself. Objects that are removed get tombstones with
// version `to`. Returns whether anything changed.
bool ObjectStore::ReplaceAll(Version to, std::span<const Object> objects) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const Object& object : objects) {
    present.insert(object.key);
    const Object* stored = Find(object.key);
    if (stored == nullptr || stored->version < object.version) {
      Put(object);
      changed = true;
    }
  }
  std::vector<std::string> deleted_keys;
  for (const auto& [key, object] : live_) {
    if (!present.contains(key)) {
      deleted_keys.push_back(key);
    }
  }
  for (const std::string& key : deleted_keys) {
    Remove(key, to);
    changed = true;
  }
  return changed;
}

MergeResult ObjectStore::ApplyList(Version to,
                                   std::span<const Object> objects) {
  if (to < complete_version_) {
    return MergeResult::kNoChange;
  }
  const bool changed = ReplaceAll(to, objects);
  const bool first = !std::exchange(has_state_, true);
  complete_version_ = to;
  // The list does not show objects that were created and deleted again since
  // the previous state. A peer below `to` may hold one of these objects and is
  // therefore sent all live objects.
  compacted_version_ = to;
  if (!changed && !first) {
    return MergeResult::kNoChange;
  }
  revision_ = to;
  TrimTombstones();
  return MergeResult::kApplied;
}

MergeResult ObjectStore::ApplyWatch(Version after,
                                    Version to,
                                    std::span<const Object> changes) {
  if (to <= complete_version_) {
    return MergeResult::kNoChange;
  }
  if (!has_state_ || after > complete_version_) {
    return MergeResult::kGap;
  }
  const Version last = ApplyChanges(to, changes);
  complete_version_ = to;
  if (last == 0) {
    return MergeResult::kNoChange;
  }
  revision_ = last;
  TrimTombstones();
  return MergeResult::kApplied;
}

MergeResult ObjectStore::ApplyUpdate(const Update& update) {
  if (has_state_ && update.to <= revision_) {
    return MergeResult::kNoChange;
  }
  if (has_state_ && update.to <= complete_version_) {
    return CompareWithPeer(update);
  }
  if (!update.full && (!has_state_ || update.from > complete_version_)) {
    return MergeResult::kGap;
  }
  if (update.full) {
    ReplaceAll(update.to, update.objects);
    compacted_version_ = update.to;
  } else {
    ApplyChanges(update.to, update.objects);
  }
  has_state_ = true;
  complete_version_ = update.to;
  revision_ = update.to;
  TrimTombstones();
  return MergeResult::kApplied;
}

// Returns whether applying `update` would leave the stored objects unchanged.
bool ObjectStore::Matches(const Update& update) const {
  std::uint64_t hash = 0;
  for (const Object& object : update.objects) {
    const Object* stored = Find(object.key);
    if (object.deleted != (stored == nullptr) ||
        (stored != nullptr && stored->version != object.version)) {
      return false;
    }
    hash ^= HashOf(object);
  }
  return !update.full || hash == hash_;
}

// Compares the store with the update of a peer whose revision is above
// revision_ and at most complete_version_. If both hold the same objects, the
// peer took its revision from a later list, and this store adopts that
// revision. Otherwise the peer holds a change that was undone before
// complete_version_. Raising revision_ and compacted_version_ to that version
// then ensures that the peer is sent a full update and accepts it.
MergeResult ObjectStore::CompareWithPeer(const Update& update) {
  if (Matches(update)) {
    revision_ = update.to;
    return MergeResult::kApplied;
  }
  revision_ = complete_version_;
  compacted_version_ = complete_version_;
  return MergeResult::kPeerOutdated;
}

Update ObjectStore::ChangesSince(Version since) const {
  Update update;
  update.to = revision_;
  update.full = since < compacted_version_ || since == 0;
  update.from = update.full ? 0 : std::min(since, revision_);
  for (const auto& [key, object] : live_) {
    if (object.version > update.from) {
      update.objects.push_back(object);
    }
  }
  if (update.full) {
    return update;
  }
  for (const auto& [key, version] : tombstones_) {
    if (version > update.from) {
      update.objects.push_back(Object{key, version, 0, "", true});
    }
  }
  return update;
}

const Object* ObjectStore::Find(std::string_view key) const {
  const auto it = live_.find(key);
  return it == live_.end() ? nullptr : &it->second;
}

std::vector<Object> ObjectStore::LiveObjects() const {
  std::vector<Object> objects;
  objects.reserve(live_.size());
  for (const auto& [key, object] : live_) {
    objects.push_back(object);
  }
  return objects;
}

}  // namespace gcw::relay
