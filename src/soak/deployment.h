#ifndef GCW_SOAK_DEPLOYMENT_H_
#define GCW_SOAK_DEPLOYMENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "platform/stand_in_packet.h"
#include "src/fake_platform/fake_platform.h"
#include "src/lab/event_loop.h"
#include "src/lab/loopback_claim.h"
#include "src/lab/network.h"
#include "src/lab/udp_port.h"
#include "src/soak/caller.h"
#include "src/soak/fleet.h"
#include "src/soak/server.h"
#include "src/soak/soak_run.h"

namespace gcw::soak {

// The users' bound on how long new flows go to a server that leaves.
inline constexpr absl::Duration kDrainBound = absl::Seconds(3);

// One backend server and its entry in the store.
struct ServerSite {
  std::size_t zone = 0;
  std::uint64_t number = 0;
  std::uint64_t incarnation = 1;
  Endpoint address;
  std::unique_ptr<Server> server;
  std::unique_ptr<ProbeTarget> probes;
  std::unique_ptr<lab::UdpPort> port;
  bool up = true;
  absl::Time draining_since = absl::InfiniteFuture();
  config::Version version = 0;  // Of its entry; 0: it has none.

  // Whether it is up and listed as usual.
  bool plain() const {
    return up && version != 0 && draining_since == absl::InfiniteFuture();
  }
};

// What callers, servers and links see.
class DeploymentObserver : public CallerObserver {
 public:
  // A daemon opens a flow at a server that does not hold it yet.
  virtual void OnOpening(std::size_t server,
                         std::size_t daemon,
                         const direct::FlowKey& flow) = 0;
  virtual void OnChangedBytes(const std::string& where) = 0;
  // A server ran a request.
  virtual void OnRan(std::size_t server, const std::string& request) = 0;
};

// Real daemons in three zones with stand-ins for all that they speak to:
// callers, backend servers, the store, and links between them that can be made
// to fail. Belongs to one thread.
class Deployment {
 public:
  static constexpr std::size_t kZones = 3;

  // Starts everything but the callers. Fails with kBindFailed or kInternal.
  // `observer` must outlive the deployment.
  static Result<std::unique_ptr<Deployment>> Make(const SoakOptions& options,
                                                  DeploymentObserver& observer);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartCallers();
  // Looks after probes and daemons, from now on.
  void Housekeep();

  lab::EventLoop& loop() { return *loop_; }
  absl::Time now() const { return loop_->now(); }
  Fleet& fleet() { return *fleet_; }
  fake_platform::FakePlatform& store() { return *store_; }
  lab::Network& network() { return *network_; }
  lab::World& links() { return *world_; }
  std::vector<ServerSite>& servers() { return servers_; }
  const std::vector<ServerSite>& servers() const { return servers_; }

  // Packets of the zone's daemons to servers of others are lost, or not.
  void SetOneWay(std::size_t zone, bool cut);
  // Writes the server's entry as it is now, or removes it.
  void List(std::size_t server);
  void Unlist(std::size_t server);
  // A new incarnation of the server, up and listed.
  void StartAnew(std::size_t server);
  // Writes the configuration with the optional route or without it.
  void PutRoutes(bool optional);
  // Takes a zone out; false if it is out, or only one other is in.
  bool TakeZoneOut(std::size_t zone);
  void TakeZoneIn(std::size_t zone);

  // Whether `flow` is of the route that comes and goes.
  static bool IsOptional(const direct::FlowKey& flow);
  bool optional_route() const { return optional_route_; }
  absl::Time routes_changed() const { return routes_changed_; }
  // Since when the zone is out; nothing if it is in.
  std::optional<absl::Time> OutSince(std::size_t zone) const;

 private:
  struct CallerSite {
    std::size_t zone = 0;
    bool optional_route = false;
    std::unique_ptr<Caller> caller;
  };

  // What callers of the route that comes and goes see is judged at servers.
  class Unjudged : public CallerObserver {
   public:
    void OnRequest(absl::Time) override {}
    void OnAnswered(absl::Time) override {}
    void OnWrongAnswer() override {}
    void OnSystemReset(const direct::FlowKey&) override {}
  };

  Deployment(const SoakOptions& options, DeploymentObserver& observer)
      : options_(options), observer_(observer) {}

  Status Start();
  void MakeLinks();
  Status StartStore();
  Status StartServers();
  Status StartFleet();
  Status MakeCallers();
  void AddCaller(std::size_t zone, std::size_t index);
  std::uint32_t Ip(std::uint32_t net, std::size_t host) const;
  std::string KeyOf(std::size_t server) const;

  void FromCaller(std::size_t caller, const adapter::EndHostPacket& end);
  // A datagram of a daemon for a server, before what the link does to it.
  void ToServer(std::size_t server,
                std::span<const std::uint8_t> bytes,
                const Endpoint& from);
  void Arrive(std::size_t server,
              std::size_t daemon,
              std::span<const std::uint8_t> bytes);
  void FromServer(std::size_t server, const adapter::EndHostPacket& end);
  // A packet of a daemon's own for a caller: a reset.
  void FromSystem(std::span<const std::uint8_t> bytes);
  void Deliver(const adapter::EndHostPacket& end);

  const SoakOptions options_;
  DeploymentObserver& observer_;
  Unjudged unjudged_;
  std::unique_ptr<lab::LoopbackClaim> claim_;
  std::unique_ptr<lab::EventLoop> loop_;
  lab::Topology topology_;
  std::unique_ptr<lab::World> world_;
  std::unique_ptr<lab::Network> network_;
  std::unique_ptr<fake_platform::FakePlatform> store_;
  std::vector<ServerSite> servers_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<std::unique_ptr<lab::UdpPort>> caller_ports_;
  std::vector<CallerSite> callers_;
  std::uint64_t configuration_ = 0;
  config::Version configuration_version_ = 0;
  bool optional_route_ = false;
  absl::Time routes_changed_;
  std::set<std::size_t> one_way_;  // Zones that nothing leaves.
  struct OutZone {
    absl::Time since;
    config::Version version = 0;  // Of its entry.
  };
  std::map<std::size_t, OutZone> zones_out_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_DEPLOYMENT_H_
