#ifndef GCW_TESTS_RELAY_FAKE_PLATFORM_H_
#define GCW_TESTS_RELAY_FAKE_PLATFORM_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "gcw/relay/object.h"

namespace gcw::relay {

// A platform that keeps the complete history of its objects, so that a test can
// compare the state of a daemon with the objects at any revision.
class FakePlatform {
 public:
  using State = std::map<std::string, Object>;

  // Creates or replaces an object and returns its new version.
  Version Put(const std::string& key, const std::string& json) {
    Object object{key, ++revision_, revision_, json, false};
    const auto it = live_.find(key);
    if (it != live_.end()) {
      object.created = it->second.created;
    }
    live_[key] = object;
    Record(object);
    return revision_;
  }

  // Deletes an object and returns the version of the deletion.
  Version Delete(const std::string& key) {
    live_.erase(key);
    Record(Object{key, ++revision_, 0, "", true});
    return revision_;
  }

  // Writes an object outside the configuration, which only raises the revision.
  void WriteUnrelatedObject() {
    ++revision_;
    history_[revision_] = live_;
  }

  // Restores the objects as of `revision`. The changes since then are lost, and
  // the epoch rises.
  void Restore(Version revision) {
    const StoreEpoch epoch = EpochOf(revision_) + 1;
    live_ = At(revision);
    for (auto& [key, object] : live_) {
      object.version = MakeStoreVersion(epoch, RevisionOf(object.version));
      object.created = MakeStoreVersion(epoch, RevisionOf(object.created));
    }
    revision_ = MakeStoreVersion(epoch, RevisionOf(revision));
    restored_at_ = revision_;
    history_[revision_] = live_;
  }

  // The version of the last write of any object.
  Version revision() const { return revision_; }
  // The version of the last change in the configuration.
  Version last_change() const {
    return std::max(restored_at_,
                    changes_.empty() ? 0 : changes_.rbegin()->first);
  }

  std::vector<Object> List() const { return ListAt(revision_); }

  std::vector<Object> ListAt(Version revision) const {
    std::vector<Object> objects;
    for (const auto& [key, object] : At(revision)) {
      objects.push_back(object);
    }
    return objects;
  }

  // The changes with versions in (after, to], in order of version.
  std::vector<Object> Changes(Version after, Version to) const {
    std::vector<Object> events;
    for (auto it = changes_.upper_bound(after);
         it != changes_.end() && it->first <= to; ++it) {
      events.push_back(it->second);
    }
    return events;
  }

  // The live objects as of `revision`.
  const State& At(Version revision) const {
    static const State empty;
    auto it = history_.upper_bound(revision);
    return it == history_.begin() ? empty : std::prev(it)->second;
  }

 private:
  void Record(const Object& object) {
    changes_[object.version] = object;
    history_[object.version] = live_;
  }

  Version revision_ = 0;
  Version restored_at_ = 0;
  State live_;
  std::map<Version, Object> changes_;
  std::map<Version, State> history_;
};

}  // namespace gcw::relay

#endif  // GCW_TESTS_RELAY_FAKE_PLATFORM_H_
