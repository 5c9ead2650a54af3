#ifndef GCW_RELAY_OBJECT_H_
#define GCW_RELAY_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gcw::relay {

// The version of a change. The platform numbers the changes of all objects with
// one counter, so a version also identifies a revision of the whole
// configuration.
using Version = std::uint64_t;

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
