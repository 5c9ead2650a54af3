#ifndef GCW_EXAMPLES_JOIN_AND_LEASE_MEMORY_STORE_H_
#define GCW_EXAMPLES_JOIN_AND_LEASE_MEMORY_STORE_H_

#include <map>
#include <string>
#include <string_view>

#include "gcw/lease/lease_store.h"

// A store in the memory of one process, sufficient to demonstrate a lease. A
// real program implements LeaseStore with its platform's read and conditional
// write (compare-and-swap on the version). Not thread-safe.
class MemoryStore : public gcw::lease::LeaseStore {
 public:
  gcw::Result<gcw::lease::StoredObject> Read(std::string_view key) override {
    const auto it = objects_.find(key);
    return it == objects_.end() ? gcw::lease::StoredObject() : it->second;
  }

  gcw::Result<gcw::lease::Version> PutIf(
      std::string_view key,
      std::string_view json,
      gcw::lease::Version if_version) override {
    gcw::lease::StoredObject& object = objects_[std::string(key)];
    if (object.version != if_version) {
      return gcw::Error{gcw::ResultCode::kPlatformConflict, "if_version",
                        "the object has another version"};
    }
    object = {++version_, std::string(json)};
    return version_;
  }

 private:
  std::map<std::string, gcw::lease::StoredObject, std::less<>> objects_;
  gcw::lease::Version version_ = 0;
};

#endif  // GCW_EXAMPLES_JOIN_AND_LEASE_MEMORY_STORE_H_
