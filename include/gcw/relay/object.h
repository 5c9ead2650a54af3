#ifndef GCW_RELAY_OBJECT_H_
#define GCW_RELAY_OBJECT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace gcw::relay {

// Versions of all objects come from one counter of the platform, so a version
// is also a revision of the whole configuration.
using Version = std::uint64_t;

// An object of the platform as it travels between daemons, or its deletion.
struct Object {
  std::string key;
  Version version = 0;
  Version created = 0;
  std::string json;  // The value's JSON text; empty if deleted.
  bool deleted = false;

  bool operator==(const Object&) const = default;
};

}  // namespace gcw::relay

#endif  // GCW_RELAY_OBJECT_H_
