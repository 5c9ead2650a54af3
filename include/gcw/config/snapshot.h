#ifndef GCW_CONFIG_SNAPSHOT_H_
#define GCW_CONFIG_SNAPSHOT_H_

#include <map>
#include <memory>
#include <string>

#include "gcw/config/resources.h"

namespace gcw::config {

// The whole configuration as of one revision. Immutable once shared, so it may
// be read from any thread through a SnapshotPtr.
struct Snapshot {
  // The largest platform version that this snapshot includes.
  Version revision = 0;
  std::map<std::string, Organisation, std::less<>> organisations;
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, BackendServer, std::less<>> servers;
  std::map<std::string, AvailabilityZone, std::less<>> zones;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace gcw::config

#endif  // GCW_CONFIG_SNAPSHOT_H_
