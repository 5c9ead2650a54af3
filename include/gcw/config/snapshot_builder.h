#ifndef GCW_CONFIG_SNAPSHOT_BUILDER_H_
#define GCW_CONFIG_SNAPSHOT_BUILDER_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/snapshot.h"

namespace gcw::config {

// A live object of the platform as stored.
struct ObjectRecord {
  std::string key;
  Version version = 0;
  Version created = 0;
  std::string value;  // JSON text.
};

// Why an object, or a part of it, is not in the snapshot.
struct ObjectProblem {
  std::string key;
  Error error;

  bool operator==(const ObjectProblem&) const = default;
};

struct BuiltSnapshot {
  SnapshotPtr snapshot;
  std::vector<ObjectProblem> problems;  // In order of key.
};

// Builds snapshots from the objects of the platform. A snapshot depends on the
// records alone, so any two daemons with equal records hold equal snapshots:
//
// - an object that cannot be decoded is left out;
// - of two objects with one address the one with the later claim of it (or,
//   with equal claims, the larger version) keeps it: an address is claimed
//   before it is written, so the other one is a view from before its release
//   or a write that came too late. A service loses that address only, a
//   backend server is left out;
// - a service loses members that belong to another organisation.
//
// Keeps decoded objects for the next call, so that only changed ones are
// decoded. Not thread-safe; the snapshots are.
class SnapshotBuilder {
 public:
  SnapshotBuilder();
  ~SnapshotBuilder();
  SnapshotBuilder(SnapshotBuilder&&) noexcept;
  SnapshotBuilder& operator=(SnapshotBuilder&&) noexcept;

  // Builds the snapshot of all `records`. Records that are no configuration
  // are passed over. `revision` may be larger than every version, since
  // deletions count too. Never fails as a whole.
  BuiltSnapshot Build(std::span<const ObjectRecord> records, Version revision);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The same with nothing kept. Thread-safe.
BuiltSnapshot BuildSnapshot(std::span<const ObjectRecord> records,
                            Version revision);

}  // namespace gcw::config

#endif  // GCW_CONFIG_SNAPSHOT_BUILDER_H_
