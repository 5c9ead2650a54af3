#ifndef GCW_TESTS_ROUTING_MODEL_H_
#define GCW_TESTS_ROUTING_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "tests/routing/fixtures.h"

namespace gcw::routing::testing {

// How messages travel in the model.
struct ModelOptions {
  std::string policy = "tables";
  std::vector<std::string> zones = {"a", "b", "c", "a"};  // One for a daemon.
  std::uint64_t seed = 1;
  double packet_delay = 0.003;   // Largest, in seconds.
  double control_delay = 0.020;  // Largest, in seconds.
  double config_delay = 0.5;     // Largest, in seconds.
  double control_loss = 0;
  double packet_duplicates = 0;
  double flows_per_second = 200;
  double packet_interval = 0.4;
  double flow_seconds = 30;
  std::uint32_t control_bytes_per_second = 3500;
  std::uint32_t max_flows = 60'000;
};

// What went wrong.
struct ModelReport {
  std::uint64_t opened = 0;
  std::uint64_t established = 0;
  std::uint64_t finished = 0;
  // Established flows that reached another server or were reset, although
  // their server lived.
  std::uint64_t broken = 0;
  // Packets that reached a server of another service.
  std::uint64_t misdelivered = 0;
  // Packets to servers that had been out for `late` seconds; new flows to
  // servers that had been leaving for as long.
  std::uint64_t to_out_late = 0;
  std::uint64_t new_to_leaving_late = 0;
  std::uint64_t never_established = 0;
  std::uint64_t given_up = 0;  // Reset, and their server was gone or out.
  std::string first_failure;
};

// A small model of daemons, servers and callers: discrete events over real
// policies, with the messages between them delayed, lost and repeated.
class Model {
 public:
  static constexpr double kLateSeconds = 3.0;

  explicit Model(const ModelOptions& options, const ConfigBuilder& config);

  // Runs until `seconds` of model time.
  void RunUntil(double seconds);
  // Schedules `action` at `seconds`.
  void Schedule(double seconds, std::function<void()> action);
  double now() const { return now_; }

  ConfigBuilder& config() { return config_; }
  // Sends the edited configuration to all daemons, each after its own delay.
  void Publish();

  void Kill(int daemon);
  void Pause(int daemon, double seconds);
  // Starts a daemon anew and empty, under its old name.
  void Start(int daemon);
  // Leaves gracefully: stops once it handed over, or after 10 s.
  void Leave(int daemon);
  // Cuts all traffic between daemons of different sides; empty heals.
  void PartitionNetwork(const std::set<int>& side);
  // Stops opening flows.
  void StopOpening() { opening_ = false; }

  RoutingPolicy& policy(int daemon) { return *daemons_[daemon].policy; }
  bool running(int daemon) const { return daemons_[daemon].running; }
  const ModelReport& report() const { return report_; }
  std::uint64_t live_flows() const;
  // Model seconds that the daemon has run, for rates.
  double uptime(int daemon) const { return now_ - daemons_[daemon].started; }

 private:
  struct Daemon {
    std::string name;
    std::string zone;
    std::unique_ptr<RoutingPolicy> policy;
    bool running = false;
    bool leaving = false;
    double started = 0;
    double paused_until = 0;
    int generation = 0;
    std::uint64_t revision = 0;
    std::vector<Member> view;
  };
  struct Flow {
    std::uint32_t id = 0;
    Endpoint service;
    std::string service_name;
    Endpoint server;
    std::uint64_t server_created = 0;
    bool reached = false;
    bool established = false;
    bool ended = false;
    double ends_at = 0;
    int attempts = 0;
  };
  struct Event {
    double at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  absl::Time Time() const { return testing::TimeAt(now_); }
  double Random(double limit);
  bool Chance(double probability);
  int RandomDaemon();
  bool Connected(int a, int b) const;
  // Runs `action` on the daemon if it still is the same process, after its
  // pause if it is paused.
  void OnDaemon(int daemon, double at, std::function<void()> action);

  void OpenFlow();
  void SendOpening(const std::shared_ptr<Flow>& flow);
  void SendData(const std::shared_ptr<Flow>& flow);
  FlowPacket PacketOf(const Flow& flow, bool syn, bool fin) const;
  void SendPacket(const std::shared_ptr<Flow>& flow, const FlowPacket& packet);
  void ApplyDecision(int daemon,
                     const std::shared_ptr<Flow>& flow,
                     const FlowPacket& packet,
                     const Decision& decision);
  void DeliverToServer(int daemon,
                       const std::shared_ptr<Flow>& flow,
                       const FlowPacket& packet,
                       const Endpoint& server);
  void OnReset(const std::shared_ptr<Flow>& flow, int daemon);
  void RecordBrokenFlow(const std::shared_ptr<Flow>& flow,
                        const std::string& why);
  void Tick(int daemon);
  void SendMessages(int daemon);
  void SetView(int daemon);
  void AnnounceState(int daemon, MemberState state, bool dead, double delay);

  const ModelOptions options_;
  ConfigBuilder config_;
  config::SnapshotPtr published_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Daemon> daemons_;
  std::set<int> side_;
  std::map<std::pair<int, int>, double> control_arrival_;
  std::map<Endpoint, std::string> server_of_;
  std::map<std::string, double> out_since_;
  std::map<std::string, double> leaving_since_;
  std::vector<std::shared_ptr<Flow>> flows_;
  std::uint32_t next_flow_ = 0;
  bool opening_ = true;
  ModelReport report_;
};

}  // namespace gcw::routing::testing

#endif  // GCW_TESTS_ROUTING_MODEL_H_
