#ifndef SRC_LAB_CONFIG_WRITER_H_
#define SRC_LAB_CONFIG_WRITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "gcw/config/codec.h"
#include "gcw/config/resources.h"
#include "src/fake_platform/fake_platform.h"
#include "src/lab/topology.h"

namespace gcw::lab {

// Writes configuration as operators do, straight into the platform's store.
// Each write is accepted at once. Not thread-safe.
class ConfigWriter {
 public:
  // Called with the version of each accepted write.
  using OnAccepted = std::function<void(config::Version)>;

  // Both must outlive the writer.
  ConfigWriter(const Topology& topology,
               fake_platform::FakePlatform& platform,
               OnAccepted on_accepted);

  // Writes everything that the topology has.
  void WriteAll();
  void SetServerState(ServerIndex server, config::ServerState state);
  void SetZoneState(ZoneIndex zone, config::ZoneState state);
  // Sets the weight; adds the server to the service if it is no member.
  void SetWeight(ServiceIndex service,
                 ServerIndex server,
                 std::uint32_t weight);
  // Takes the server out of all services and deletes it.
  void DeleteServer(ServerIndex server);
  // Creates the server anew, as the only member added to `service`.
  void CreateServer(ServerIndex server, ServiceIndex service);

  config::Version last_version() const { return last_version_; }

 private:
  void Write(const config::Resource& resource);

  const Topology& topology_;
  fake_platform::FakePlatform& platform_;
  OnAccepted on_accepted_;
  std::uint64_t operations_ = 0;
  config::Version last_version_ = 0;
  std::map<std::string, config::Version> versions_;  // By key.
  std::map<ServerIndex, config::BackendServer> servers_;
  std::map<ServiceIndex, config::Service> services_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_CONFIG_WRITER_H_
