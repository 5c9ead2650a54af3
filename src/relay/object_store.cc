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

// A forgotten deletion cannot be listed any more, so the floor rises over it.
void ObjectStore::TrimTombstones() {
  if (tombstones_.size() <= max_tombstones_) {
    return;
  }
  std::vector<Version> versions;
  for (const auto& [key, version] : tombstones_) {
    versions.push_back(version);
  }
  // Half of them go at once, so that this is rare.
  const auto cut =
      versions.begin() +
      static_cast<std::ptrdiff_t>(versions.size() - max_tombstones_ / 2 - 1);
  std::nth_element(versions.begin(), cut, versions.end());
  const Version limit = *cut;
  std::erase_if(tombstones_,
                [&](const auto& entry) { return entry.second <= limit; });
  floor_ = std::max(floor_, limit);
}

// Applies the changes in (complete, to] in order; the version of the last one,
// or 0. What is offered again at or below `complete` was decided before.
Version ObjectStore::PutChanges(Version to, std::span<const Object> changes) {
  std::vector<const Object*> fresh;
  for (const Object& change : changes) {
    if (change.version > complete_ && change.version <= to) {
      fresh.push_back(&change);
    }
  }
  std::sort(fresh.begin(), fresh.end(), [](const Object* a, const Object* b) {
    return a->version < b->version;
  });
  for (const Object* change : fresh) {
    if (change->deleted) {
      Remove(change->key, change->version);
    } else {
      Put(*change);
    }
  }
  return fresh.empty() ? 0 : fresh.back()->version;
}

// Puts exactly `objects` in place, but never an older version of one; whether
// that changed anything.
bool ObjectStore::Replace(Version to, std::span<const Object> objects) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const Object& object : objects) {
    present.insert(object.key);
    const Object* held = Find(object.key);
    if (held == nullptr || held->version < object.version) {
      Put(object);
      changed = true;
    }
  }
  std::vector<std::string> gone;
  for (const auto& [key, object] : live_) {
    if (!present.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Remove(key, to);
    changed = true;
  }
  return changed;
}

Merge ObjectStore::ApplyList(Version to, std::span<const Object> objects) {
  if (to < complete_) {
    return Merge::kStale;
  }
  const bool changed = Replace(to, objects);
  const bool first = !std::exchange(known_, true);
  complete_ = to;
  // Objects that came and went since the last state are not known one by one.
  floor_ = to;
  if (!changed && !first) {
    return Merge::kStale;
  }
  revision_ = to;
  TrimTombstones();
  return Merge::kApplied;
}

Merge ObjectStore::ApplyWatch(Version after,
                              Version to,
                              std::span<const Object> changes) {
  if (to <= complete_) {
    return Merge::kStale;
  }
  if (!known_ || after > complete_) {
    return Merge::kGap;
  }
  const Version last = PutChanges(to, changes);
  complete_ = to;
  if (last == 0) {
    return Merge::kStale;
  }
  revision_ = last;
  TrimTombstones();
  return Merge::kApplied;
}

Merge ObjectStore::ApplyUpdate(const Update& update) {
  if (known_ && update.to <= revision_) {
    return Merge::kStale;
  }
  if (known_ && update.to <= complete_) {
    return Compare(update);
  }
  if (!update.full && (!known_ || update.from > complete_)) {
    return Merge::kGap;
  }
  if (update.full) {
    Replace(update.to, update.objects);
    floor_ = update.to;
  } else {
    PutChanges(update.to, update.objects);
  }
  known_ = true;
  complete_ = update.to;
  revision_ = update.to;
  TrimTombstones();
  return Merge::kApplied;
}

// Whether applying `update` here would change no object.
bool ObjectStore::Matches(const Update& update) const {
  std::uint64_t hash = 0;
  for (const Object& object : update.objects) {
    const Object* held = Find(object.key);
    if (object.deleted != (held == nullptr) ||
        (held != nullptr && held->version != object.version)) {
      return false;
    }
    hash ^= HashOf(object);
  }
  return !update.full || hash == hash_;
}

// A peer's last change lies between this store's last change and the version
// up to which it knows everything. Either the peer has the same objects and
// numbers them by a later list, or it missed that its change was undone.
Merge ObjectStore::Compare(const Update& update) {
  if (Matches(update)) {
    revision_ = update.to;
    return Merge::kApplied;
  }
  revision_ = complete_;
  floor_ = complete_;
  return Merge::kKnownBetter;
}

Update ObjectStore::ChangesSince(Version since) const {
  Update update;
  update.to = revision_;
  update.full = since < floor_ || since == 0;
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

std::vector<Object> ObjectStore::Live() const {
  std::vector<Object> objects;
  objects.reserve(live_.size());
  for (const auto& [key, object] : live_) {
    objects.push_back(object);
  }
  return objects;
}

}  // namespace gcw::relay
