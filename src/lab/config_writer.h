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

// Makes the changes of configuration that operators make, as writes to the
// store of the fake platform, which accepts each write at once. Not
// thread-safe.
class ConfigWriter {
 public:
  // Called with the version of each accepted write.
  using OnAccepted = std::function<void(config::Version)>;

  // `topology` and `platform` must outlive the writer.
  ConfigWriter(const Topology& topology,
               fake_platform::FakePlatform& platform,
               OnAccepted on_accepted);

  // Writes all organisations, zones, servers and services of the topology.
  void WriteAll();
  // Writes the server with `state`.
  void SetServerState(ServerIndex server, config::ServerState state);
  // Writes the availability zone with `state`.
  void SetZoneState(ZoneIndex zone, config::ZoneState state);
  // Sets the server's weight in the service; adds the server to the service if
  // it is no member.
  void SetWeight(ServiceIndex service,
                 ServerIndex server,
                 std::uint32_t weight);
  // Removes the server from all services and deletes it. Precondition: the
  // server exists.
  void DeleteServer(ServerIndex server);
  // Writes a server that DeleteServer() deleted and adds it to `service`.
  void CreateServer(ServerIndex server, ServiceIndex service);

  // Writes again what the platform has lost in a restore, and deletes what it
  // has brought back.
  void WriteAgain();

  // The store version of the last write; 0 before the first write.
  config::Version last_version() const { return last_version_; }

 private:
  // Writes `resource` to the store in place of the resource's last version.
  void Write(const config::Resource& resource);
  // Writes `value` to `key`, whose present revision is in `versions_`.
  void Put(const std::string& key, const std::string& value);
  // Reports that the store has accepted a write as `revision`.
  void OnAcceptedRevision(std::uint64_t revision);

  const Topology& topology_;
  fake_platform::FakePlatform& platform_;
  OnAccepted on_accepted_;
  std::uint64_t operations_ = 0;
  config::Version last_version_ = 0;
  // Revisions and values of the objects in the store, by key.
  std::map<std::string, config::Version> versions_;
  std::map<std::string, std::string> values_;
  std::map<ServerIndex, config::BackendServer> servers_;
  std::map<ServiceIndex, config::Service> services_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_CONFIG_WRITER_H_
