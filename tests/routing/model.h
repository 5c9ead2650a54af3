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

// Parameters of the simulation. Delays are drawn evenly between 0 and the given
// maximum in seconds; probabilities are from 0 to 1.
struct ModelOptions {
  std::string policy = "tables";
  // Availability zone of each daemon.
  std::vector<std::string> zones = {"a", "b", "c", "a"};
  std::uint64_t seed = 1;
  // Maximum delay of a packet, of a control message and of a configuration
  // update.
  double packet_delay = 0.003;
  double control_delay = 0.020;
  double config_delay = 0.5;
  // Probability that a control message is lost, and that a packet of a caller
  // is duplicated.
  double control_loss = 0;
  double packet_duplicates = 0;
  double flows_per_second = 200;
  // Mean time between two packets of a flow and mean length of a flow, in
  // seconds.
  double packet_interval = 0.4;
  double flow_seconds = 30;
  std::uint32_t control_bytes_per_second = 3500;
  std::uint32_t max_flows = 60'000;
};

// Counts of the flows and of the failures in a simulation.
struct ModelReport {
  // Flows that callers began, that got a first answer, and that sent their last
  // packet.
  std::uint64_t opened = 0;
  std::uint64_t established = 0;
  std::uint64_t finished = 0;
  // Established flows that reached another server or were reset, although their
  // server still accepted packets.
  std::uint64_t broken = 0;
  // Packets that reached a server of another service.
  std::uint64_t misdelivered = 0;
  // Packets to servers that had been out of service for more than kLateSeconds,
  // and new flows to servers that had been draining or out for more than
  // kLateSeconds.
  std::uint64_t late_packets_to_out = 0;
  std::uint64_t late_new_flows_to_draining = 0;
  // Flows whose SYN was not answered in any attempt.
  std::uint64_t never_established = 0;
  // Flows that ended because their server was deleted or out of service.
  std::uint64_t given_up = 0;
  // Description of the first failure, for the test log.
  std::string first_failure;
};

// A discrete-event simulation of daemons, servers and callers. It runs the real
// policies; packets and messages between them are delayed, lost or duplicated.
class Model {
 public:
  // Time after which no daemon may send packets to a server that went out of
  // service, or new flows to a draining one.
  static constexpr double kLateSeconds = 3.0;

  explicit Model(const ModelOptions& options, const ConfigBuilder& config);

  // Runs the simulation until `seconds` of simulated time.
  void RunUntil(double seconds);
  // Schedules `action` at `seconds` of simulated time.
  void Schedule(double seconds, std::function<void()> action);
  double now() const { return now_; }

  ConfigBuilder& config() { return config_; }
  // Sends the edited configuration to all daemons, each after its own delay.
  void Publish();

  // Stops a daemon without notice; the others suspect it and then remove it
  // from their member lists.
  void Kill(int daemon);
  // Delays all events of a daemon for `seconds`.
  void Pause(int daemon, double seconds);
  // Starts a daemon with empty state under its old name.
  void Start(int daemon);
  // Shuts a daemon down gracefully: it stops once it has handed over its
  // records, or after 10 s.
  void Leave(int daemon);
  // Drops all traffic between the daemons in `side` and the others. An empty
  // set ends the partition.
  void PartitionNetwork(const std::set<int>& side);
  // Callers open no more flows.
  void StopOpening() { opening_ = false; }

  RoutingPolicy& policy(int daemon) { return *daemons_[daemon].policy; }
  bool running(int daemon) const { return daemons_[daemon].running; }
  const ModelReport& report() const { return report_; }
  // Number of flows that are established and have not ended.
  std::uint64_t live_flows() const;
  // Simulated seconds since the daemon started, to compute rates.
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
  // Schedules `action` at `at` for a daemon. It runs only if the daemon has not
  // been restarted, and after the end of a pause.
  void RunOnDaemon(int daemon, double at, std::function<void()> action);

  void OpenFlow();
  // Sends the SYN of the flow, and repeats it until it is answered.
  void SendOpening(const std::shared_ptr<Flow>& flow);
  // Sends a packet of an established flow, and schedules the next one.
  void SendData(const std::shared_ptr<Flow>& flow);
  FlowPacket PacketOf(const Flow& flow, bool syn, bool fin) const;
  // Sends a packet to a random daemon.
  void SendPacket(const std::shared_ptr<Flow>& flow, const FlowPacket& packet);
  // Carries out the decision of a daemon for a packet.
  void ApplyDecision(int daemon,
                     const std::shared_ptr<Flow>& flow,
                     const FlowPacket& packet,
                     const Decision& decision);
  // Delivers a packet to the server at `address`, checks that it is the right
  // one, and sends the reply back through the daemon.
  void DeliverToServer(int daemon,
                       const std::shared_ptr<Flow>& flow,
                       const FlowPacket& packet,
                       const Endpoint& address);
  // Handles an RST to the caller of an established flow: a failure if the
  // server of the flow still accepts packets.
  void OnReset(const std::shared_ptr<Flow>& flow, int daemon);
  // Ends the flow and counts it as broken for the reason `why`.
  void RecordBrokenFlow(const std::shared_ptr<Flow>& flow,
                        const std::string& why);
  void Tick(int daemon);
  void SendMessages(int daemon);
  void SetView(int daemon);
  // Tells all daemons after about `delay` seconds of a new state of a daemon,
  // or that it is dead.
  void AnnounceState(int daemon, MemberState state, bool dead, double delay);

  const ModelOptions options_;
  ConfigBuilder config_;
  config::SnapshotPtr published_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Daemon> daemons_;
  std::set<int> partition_side_;
  std::map<std::pair<int, int>, double> control_arrival_;
  std::map<Endpoint, std::string> server_of_;
  std::map<std::string, double> out_since_;
  std::map<std::string, double> draining_since_;
  std::vector<std::shared_ptr<Flow>> flows_;
  std::uint32_t next_flow_ = 0;
  bool opening_ = true;
  ModelReport report_;
};

}  // namespace gcw::routing::testing

#endif  // GCW_TESTS_ROUTING_MODEL_H_
