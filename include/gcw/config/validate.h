#ifndef GCW_CONFIG_VALIDATE_H_
#define GCW_CONFIG_VALIDATE_H_

#include <optional>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"
#include "gcw/config/snapshot.h"

namespace gcw::config {

// A change of one resource that has not been written yet.
struct Change {
  ResourceId id;
  std::optional<Resource> after;  // Nothing: the resource is deleted.
  // The resource as it is. Nothing: as the snapshot has it, if at all.
  std::optional<Resource> before = std::nullopt;
};

// Checks `change` against the rest of the configuration and names every fault:
// kAddressClaimed, kBrokenReference, kStillReferenced, kForbidden for a backend
// server of another organisation, kTooLarge, and kInvalidField for a field that
// may not change. Precondition: the name in `change.after` is that in
// `change.id`. Thread-safe.
std::vector<Error> ValidateChange(const Snapshot& snapshot,
                                  const Change& change);

// The addresses that the resource claims. Thread-safe.
std::vector<Endpoint> AddressesOf(const Resource& resource);

// The resource of that identity in the snapshot, or nothing. Thread-safe.
std::optional<Resource> FindResource(const Snapshot& snapshot,
                                     const ResourceId& id);

}  // namespace gcw::config

#endif  // GCW_CONFIG_VALIDATE_H_
