#ifndef GCW_CONFIG_SNAPSHOT_BUILDER_H_
#define GCW_CONFIG_SNAPSHOT_BUILDER_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/snapshot.h"

namespace gcw::config {

// An existing (not deleted) object as the platform stores it.
struct ObjectRecord {
  std::string key;
  Version version = 0;  // Version of the last write.
  Version created = 0;  // Version of the write that created the object.
  std::string value;    // JSON text.
};

// Says why an object, or a part of an object, was left out of a snapshot.
struct ObjectProblem {
  std::string key;
  Error error;

  bool operator==(const ObjectProblem&) const = default;
};

// A snapshot and the problems found in the objects it was built from.
struct BuiltSnapshot {
  SnapshotPtr snapshot;
  std::vector<ObjectProblem> problems;  // Sorted by key.
};

// Builds configuration snapshots from the objects of the platform. The result
// depends only on the records and the revision, so daemons with equal input
// hold equal snapshots:
//
// - An object that cannot be decoded is left out.
// - If two objects have the same address, the address belongs to the object
//   with the larger claim version or, if the claim versions are equal, to the
//   object with the larger version. A writer claims an address before it writes
//   the object, so the other object either was read before its release of the
//   address or was written after it had lost the claim. A service that loses an
//   address keeps its other addresses; a backend server that loses its address
//   is left out.
// - Backend servers that belong to another organisation than the service are
//   removed from the service.
//
// The builder caches decoded objects, so that the next call decodes only the
// objects that have changed. The builder is not thread-safe; the snapshots are.
class SnapshotBuilder {
 public:
  SnapshotBuilder();
  ~SnapshotBuilder();
  SnapshotBuilder(SnapshotBuilder&&) noexcept;
  SnapshotBuilder& operator=(SnapshotBuilder&&) noexcept;

  // Builds a snapshot from `records`, which hold all existing configuration
  // objects. Ignores records whose key is not that of a configuration object.
  // `revision` is the platform's revision at which the records were read; it is
  // larger than the version of every record if the last write was a deletion.
  // Does not fail: invalid objects are reported in BuiltSnapshot::problems.
  BuiltSnapshot Build(std::span<const ObjectRecord> records, Version revision);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Builds a snapshot like SnapshotBuilder::Build(), but without a cache of
// decoded objects. Thread-safe.
BuiltSnapshot BuildSnapshot(std::span<const ObjectRecord> records,
                            Version revision);

}  // namespace gcw::config

#endif  // GCW_CONFIG_SNAPSHOT_BUILDER_H_
