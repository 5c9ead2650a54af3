#ifndef GCW_DIRECT_BALANCER_RETAINED_OBJECTS_H_
#define GCW_DIRECT_BALANCER_RETAINED_OBJECTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "gcw/relay/object.h"

namespace gcw::direct_balancer {

// Objects that a daemon still honours although the store lacks them, or holds
// an older state of them. A daemon that starts now cannot read them from the
// store, so its peers tell it.
struct RetainedBatch {
  std::uint64_t id = 0;  // Higher than those of all earlier batches.
  absl::Time since;      // When the daemon noticed it.
  // The version of the store's state that lacks the objects.
  relay::Version store_version = 0;
  std::vector<relay::Object> objects;
};

// Keeps the objects that vanish from one feed for a limited time. Has no I/O.
// Not thread-safe.
class RetainedObjects {
 public:
  // Whether an object that vanished is to be kept. `restored` tells that the
  // store was restored between the two states.
  using Filter =
      std::function<bool(const relay::Object& object, bool restored)>;

  using Versions = absl::flat_hash_set<relay::Version>;

  // Keeps the objects that `filter` accepts for `lifetime`.
  RetainedObjects(absl::Duration lifetime, Filter filter);

  // The feed has `objects`, sorted by key, as of the store's `revision`. Keeps
  // those that have vanished since the last call, and drops those that are
  // back. An object with a version in `outdated` does not replace an older one
  // with its key: its writer wrote it before that one.
  void OnObjects(std::span<const relay::Object> objects,
                 relay::Version revision,
                 absl::Time now,
                 const Versions& outdated = {});
  // A peer keeps `objects` since `since`, because the store's state of
  // `store_version` lacks them. Keeps those that are unknown here, for the rest
  // of their lifetime.
  void OnTold(std::span<const relay::Object> objects,
              relay::Version store_version,
              absl::Time since);
  // Drops objects whose lifetime has ended.
  void OnTick(absl::Time now);

  // The objects that are kept, oldest batch first. Valid until the next call of
  // another method.
  std::span<const RetainedBatch> batches() const { return batches_; }

 private:
  // Makes `objects` the objects of `current_` and returns those that it lost.
  // Copies only objects that have changed.
  std::vector<relay::Object> ReplaceCurrent(
      std::span<const relay::Object> objects,
      const Versions& outdated);
  // Whether a batch has the object `key`.
  bool Keeps(std::string_view key) const;
  // Adds `objects` as a batch, if there are any.
  void AddBatch(std::vector<relay::Object> objects,
                relay::Version store_version,
                absl::Time since);
  // Removes the objects with keys in `current_` from all batches.
  void DropReturned();

  const absl::Duration lifetime_;
  const Filter filter_;
  std::map<std::string, relay::Object, std::less<>> current_;  // By key.
  relay::Version revision_ = 0;                                // Of `current_`.
  std::uint64_t last_id_ = 0;
  std::vector<RetainedBatch> batches_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_RETAINED_OBJECTS_H_
