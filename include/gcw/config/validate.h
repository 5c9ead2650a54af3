#ifndef GCW_CONFIG_VALIDATE_H_
#define GCW_CONFIG_VALIDATE_H_

#include <optional>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot.h"

namespace gcw::config {

// A proposed change of one resource, not yet written to the platform.
struct Change {
  ResourceId id;
  // The resource after the change, or nullopt if the change is a deletion.
  std::optional<Resource> after;
  // The resource before the change. If nullopt, the state in the snapshot is
  // used; a resource that is not in the snapshot either is to be created.
  std::optional<Resource> before = std::nullopt;
};

// Checks whether `change` is consistent with the rest of the configuration.
// Returns all errors found, an empty vector if the change is valid:
// kAddressClaimed, kBrokenReference, kStillReferenced, kForbidden for a backend
// server of another organisation, kTooLarge, and kInvalidField for a change of
// an immutable field. Precondition: `change.after`, if set, has the kind and
// name of `change.id`. Thread-safe.
std::vector<Error> ValidateChange(const Snapshot& snapshot,
                                  const Change& change);

// Returns the addresses that a service or backend server uses; an empty vector
// for other kinds of resources. Thread-safe.
std::vector<Endpoint> AddressesOf(const Resource& resource);

// Returns a copy of the resource `id` in the snapshot, or nullopt if the
// snapshot does not have that resource. Thread-safe.
std::optional<Resource> FindResource(const Snapshot& snapshot,
                                     const ResourceId& id);

}  // namespace gcw::config

#endif  // GCW_CONFIG_VALIDATE_H_
