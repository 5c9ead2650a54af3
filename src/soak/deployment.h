#ifndef GCW_SOAK_DEPLOYMENT_H_
#define GCW_SOAK_DEPLOYMENT_H_

#include <array>
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
#include "gcw/direct/resources.h"
#include "platform/stand_in_packet.h"
#include "src/fake_platform/fake_platform.h"
#include "src/lab/event_loop.h"
#include "src/lab/loopback_claim.h"
#include "src/lab/network.h"
#include "src/lab/udp_port.h"
#include "src/soak/caller.h"
#include "src/soak/fleet.h"
#include "src/soak/server_reports.h"
#include "src/soak/soak_run.h"

namespace gcw::soak {

// The users' bound on how long daemons may open flows on a draining server.
inline constexpr absl::Duration kDrainBound = absl::Seconds(3);
// How long servers stay cold.
inline constexpr absl::Duration kColdTime = absl::Seconds(2);
// Receives what callers and servers observe. `server` and `daemon` are indexes.
class DeploymentObserver : public CallerObserver {
 public:
  // `daemon` sent `server` the SYN of a flow that the server does not have.
  virtual void OnFlowOpen(std::size_t server,
                          std::size_t daemon,
                          const direct::FlowKey& flow) = 0;
  // A packet arrived corrupted or is not of the expected kind; `where` says who
  // received it.
  virtual void OnChangedBytes(const std::string& where) = 0;
  // `server` executed `request`, a text that identifies the request and
  // attempt.
  virtual void OnRequestExecuted(std::size_t server,
                                 const std::string& request) = 0;
};

// Real daemon processes in three availability zones, with simulated callers,
// backend servers, store and network links, which can be made to fail. Not
// thread-safe.
class Deployment {
 public:
  static constexpr std::size_t kZones = 3;

  // Starts everything except the callers. Fails with kBindFailed or kInternal.
  // `observer` must outlive the deployment.
  static Result<std::unique_ptr<Deployment>> Make(const SoakOptions& options,
                                                  DeploymentObserver& observer);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartCallers();
  // Accepts pending probes, restarts crashed daemons and measures what daemons
  // use, then schedules its own next call. Call it once.
  void RunMaintenance();

  lab::EventLoop& loop() { return *loop_; }
  absl::Time now() const { return loop_->now(); }
  Fleet& fleet() { return *fleet_; }
  fake_platform::FakePlatform& store() { return *store_; }
  lab::Network& network() { return *network_; }
  // The state of partitions between zones.
  lab::World& world() { return *world_; }
  std::vector<ServerRecord>& servers() { return servers_; }
  const std::vector<ServerRecord>& servers() const { return servers_; }
  // The servers' entries in the store.
  ServerReports& reports() { return *reports_; }

  // While `cut`, packets from the zone's daemons to servers in other zones are
  // lost.
  void SetOutboundCut(std::size_t zone, bool cut);
  // Restarts the server without flows, marks it as up and writes its entry. The
  // server accepts probes again, and stays cold for `cold_for`.
  void RestartServer(std::size_t server,
                     absl::Duration cold_for = absl::ZeroDuration());
  // Writes a new configuration version with or without the optional route.
  void WriteConfiguration(bool with_optional_route);
  // Restores the store from the copy that was saved last. The operators write
  // again at once what it has lost.
  void RestoreStore();
  // Takes the zone out of service. Returns false without effect if the zone is
  // out already or only one zone is still in service.
  bool TakeZoneOut(std::size_t zone);
  // Returns the zone to service. Precondition: TakeZoneOut() took it out.
  void PutZoneBack(std::size_t zone);

  // Marks the zone as under a load pattern until EndLoad(). With `burst`, its
  // callers ask several times as much meanwhile. Calls may overlap; each needs
  // one EndLoad() with the same `burst`.
  void BeginLoad(std::size_t zone, bool burst);
  void EndLoad(std::size_t zone, bool burst);
  // Whether the latest load pattern of the zone was active at `time`.
  bool IsLoaded(std::size_t zone, absl::Time time) const;
  // The zone of the caller of `flow`.
  std::size_t CallerZone(const direct::FlowKey& flow) const;

  // Whether `flow` uses the optional route, which operators add and remove.
  static bool IsOptional(const direct::FlowKey& flow);
  // Whether the latest configuration has the optional route.
  bool optional_route() const { return optional_route_; }
  // When the latest configuration was written.
  absl::Time routes_changed_at() const { return routes_changed_at_; }
  // When the zone was taken out of service; nullopt while it is in service.
  std::optional<absl::Time> ZoneOutSince(std::size_t zone) const;

 private:
  struct CallerRecord {
    std::size_t zone = 0;
    bool optional_route = false;
    bool burst = false;    // Sends requests only in bursts.
    std::size_t port = 0;  // Index in `caller_ports_`.
    std::unique_ptr<Caller> caller;
  };

  // Ignores what callers of the optional route observe, because their flows
  // fail whenever the route is removed. Violations on this
  // route are detected where servers receive SYNs.
  class IgnoringCallerObserver : public CallerObserver {
   public:
    void OnRequest(absl::Time) override {}
    void OnFinished(const direct::FlowKey&, absl::Time, bool) override {}
    void OnRefused(const direct::FlowKey&) override {}
    void OnWrongAnswer() override {}
    void OnDaemonReset(const direct::FlowKey&) override {}
  };

  Deployment(const SoakOptions& options, DeploymentObserver& observer)
      : options_(options), observer_(observer) {}

  Status Start();
  void MakeNetwork();
  Status StartStore();
  Status StartServers();
  Status StartFleet();
  Status MakeCallers();
  void StartOrStopBurst(std::size_t zone);
  // Creates the caller with number `index` among the usual callers or the burst
  // callers of the zone.
  void AddCaller(std::size_t zone, std::size_t index, bool burst);
  // Creates a caller of the zone that leaves its flow idle for seconds between
  // two requests.
  void AddIdleCaller(std::size_t zone, std::size_t index);
  // The address 127.OCTET.`net`.(`host` + 1).
  std::uint32_t LoopbackIp(std::uint32_t net, std::size_t host) const;
  // The version of the store's object `key`; 0 if there is none.
  config::Version StoredVersion(const std::string& key) const;
  // Writes the latest configuration and the zones out of service again.
  void WriteOperatorsStateAgain();

  // Passes a caller's packet through the link to the daemon that Fleet::Route()
  // picks.
  void OnCallerPacket(std::size_t caller, const adapter::EndHostPacket& end);
  // Takes a datagram that a daemon sent to a server and passes it through the
  // simulated link.
  void ForwardToServer(std::size_t server,
                       std::span<const std::uint8_t> bytes,
                       const Endpoint& from);
  // Hands a datagram that passed the link to the server.
  void DeliverToServer(std::size_t server,
                       std::size_t daemon,
                       std::span<const std::uint8_t> bytes);
  // Passes a server's packet through the link to its caller; replies do not
  // pass a daemon.
  void OnServerPacket(std::size_t server, const adapter::EndHostPacket& end);
  // Takes a packet that a daemon itself created for a caller. Only resets are
  // expected.
  void OnDaemonPacket(std::span<const std::uint8_t> bytes);
  void DeliverToCaller(const adapter::EndHostPacket& end);

  const SoakOptions options_;
  DeploymentObserver& observer_;
  IgnoringCallerObserver ignoring_observer_;
  std::unique_ptr<lab::LoopbackClaim> claim_;
  std::unique_ptr<lab::EventLoop> loop_;
  lab::Topology topology_;
  std::unique_ptr<lab::World> world_;
  std::unique_ptr<lab::Network> network_;
  std::unique_ptr<fake_platform::FakePlatform> store_;
  std::vector<ServerRecord> servers_;
  std::unique_ptr<ServerReports> reports_;
  std::unique_ptr<Fleet> fleet_;
  // Of the usual callers of each zone, then of the burst callers of each zone.
  std::vector<std::unique_ptr<lab::UdpPort>> caller_ports_;
  std::vector<CallerRecord> callers_;
  std::uint64_t configuration_number_ = 0;  // `version` in the configuration.
  std::string configuration_text_;          // As stored.
  // Version of the store entry that holds the configuration.
  config::Version configuration_version_ = 0;
  bool optional_route_ = false;
  absl::Time routes_changed_at_;
  absl::Time next_usage_ = absl::InfinitePast();  // See RunMaintenance().
  std::set<std::size_t> outbound_cut_zones_;      // See SetOutboundCut().
  struct OutZone {
    absl::Time since;
    config::Version version = 0;  // Of the store entry that takes it out.
  };
  std::map<std::size_t, OutZone> out_zones_;
  struct ZoneLoad {
    int patterns = 0;  // Load patterns that are active, and bursts of them.
    int bursts = 0;
    absl::Time began = absl::InfiniteFuture();
    absl::Time ended = absl::InfinitePast();
  };
  std::array<ZoneLoad, kZones> loads_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_DEPLOYMENT_H_
