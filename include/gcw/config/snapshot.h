#ifndef GCW_CONFIG_SNAPSHOT_H_
#define GCW_CONFIG_SNAPSHOT_H_

#include <map>
#include <memory>
#include <string>

#include "gcw/config/resources.h"

namespace gcw::config {

// The whole configuration at one revision. Resources are mapped by name. A
// snapshot does not change after it is built, so any thread may read it through
// a SnapshotPtr.
struct Snapshot {
  // The snapshot includes all writes up to this platform version.
  Version revision = 0;
  std::map<std::string, Organisation, std::less<>> organisations;
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, BackendServer, std::less<>> servers;
  std::map<std::string, AvailabilityZone, std::less<>> zones;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace gcw::config

#endif  // GCW_CONFIG_SNAPSHOT_H_
