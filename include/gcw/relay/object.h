#ifndef GCW_RELAY_OBJECT_H_
#define GCW_RELAY_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gcw/base/store_version.h"

namespace gcw::relay {

// The version of a change. The versions of all objects come from one sequence,
// so a version also identifies a state of the whole configuration.
using Version = StoreVersion;

// One version of a configuration object, as daemons exchange it, or the
// deletion of the object.
struct Object {
  std::string key;
  Version version = 0;
  Version created = 0;  // The version at which the object was created.
  std::string json;     // The value as JSON text; empty if deleted.
  bool deleted = false;

  bool operator==(const Object&) const = default;
};

}  // namespace gcw::relay

#endif  // GCW_RELAY_OBJECT_H_
