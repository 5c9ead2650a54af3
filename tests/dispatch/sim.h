#ifndef GCW_TESTS_DISPATCH_SIM_H_
#define GCW_TESTS_DISPATCH_SIM_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gcw/dispatch/dispatcher.h"

namespace gcw::dispatch {

// The simulated deployment, its load and its faults.
struct SimOptions {
  std::string policy = "home";
  std::uint64_t seed = 1;
  std::vector<std::string> zones = {"sondrio", "tirano", "morbegno"};
  int daemons = 4;
  int main_servers = 14;
  int small_servers = 4;
  std::uint32_t slots = 3;
  absl::Duration service_time = absl::Milliseconds(200);
  double idempotent_share = 0.5;
  absl::Duration deadline = absl::Seconds(1);
  absl::Duration repeat_after = absl::InfiniteDuration();
  double duplicate_request_share = 0;  // Of requests, sent through two daemons.
  double cancel_share = 0;
  double loss = 0;         // Probability to lose a datagram.
  double duplication = 0;  // Probability of a copy, up to 300 ms late.
  absl::Duration failure_detection_time = absl::Seconds(2);  // Upper bound.
  absl::Duration warm_up = absl::Seconds(5);
  double retry_share = 0.1;
  double retry_burst = 10;
};

// The faults of one backend server.
struct SimFaults {
  double shed_share = 0;
  double slow_factor = 1;
  absl::Duration answer_delay;
  double misdirected_share = 0;  // Of answers, copied to a random daemon.
};

// One simulated backend server.
struct SimServer {
  std::string name;
  std::string zone;
  Endpoint address;
  std::uint32_t slots = 0;
  bool up = true;
  std::uint64_t incarnation = 1;
  absl::Time cold_since = absl::InfinitePast();
  absl::Time first_response = absl::InfiniteFuture();  // Since the restart.
  SimFaults faults;
  std::map<std::string, std::string> runs;  // Request by attempt id.
  std::set<std::string> received_attempts;
  double busy_seconds = 0;
  absl::Time busy_updated;
};

// How one request ended for its caller.
enum class SimEnd { kOpen, kDelivered, kRefused, kUnknown, kCancelled };

// One request as its caller sees it, with the number of times that it ran.
struct SimRequest {
  Request request;
  std::string service;
  Endpoint caller;
  absl::Time sent;
  absl::Time deadline;
  SimEnd end = SimEnd::kOpen;
  int runs = 0;
  bool told_not_run = false;
  std::map<std::uint32_t, Bytes> parts;
};

// Counts of violated invariants and of what is measured.
struct SimTotals {
  std::uint64_t sent = 0;
  std::uint64_t delivered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;  // Refused without knowing if they ran.
  std::uint64_t unanswered = 0;
  std::uint64_t run_twice = 0;      // Non-idempotent requests only.
  std::uint64_t false_not_run = 0;  // Ran, but were refused as not run.
  std::uint64_t wrong_answer = 0;   // Of another request, or with a wrong body.
  std::uint64_t misdelivered = 0;   // Attempts at another service's server.
  std::uint64_t attempts = 0;
  std::uint64_t sheds = 0;
  // The largest number of attempts on a cold server, relative to the number
  // that the server can sustain.
  double cold_overload = 0;
  std::vector<std::string> notes;  // Details of violations.
};

// Simulates several dispatchers with servers, callers and a network in one
// thread and in simulated time. A run is deterministic: equal options give
// equal runs.
class Sim {
 public:
  explicit Sim(const SimOptions& options);

  // Runs for `span` while callers send new requests of each service at `load`
  // times the rate that its slots can sustain.
  void Run(absl::Duration span, double load);
  // Runs for `span` without new requests.
  void RunWithoutNewRequests(absl::Duration span);
  // Runs `action` at the simulated time `after` from now.
  void At(absl::Duration after, std::function<void()> action);

  // Sends one request through daemon `daemon` and returns its id.
  std::string Send(const std::string& service, bool idempotent, int daemon);
  void Repeat(const std::string& id, int daemon);
  void SendCancel(const std::string& id, int daemon);

  void KillDaemon(int daemon);
  void StartDaemon(int daemon);
  void PauseDaemon(int daemon, absl::Duration length);
  void StopDaemon(int daemon);  // A planned stop with draining.
  void RestartServer(const std::string& name);
  void KillServer(const std::string& name);
  // Drops, or stops dropping, all datagrams between `zone` and other zones.
  void CutZone(const std::string& zone, bool cut) {
    cut ? (void)cut_zones_.insert(zone) : (void)cut_zones_.erase(zone);
  }
  void SetZone(const std::string& zone, config::ZoneState state);
  void SetServer(const std::string& name, config::ServerState state);

  SimServer& server(const std::string& name) { return servers_.at(name); }
  std::vector<std::string> server_names(const std::string& zone = "") const;
  Dispatcher* dispatcher(int daemon) {
    return daemons_[daemon].dispatcher.get();
  }
  const SimRequest& request(const std::string& id) const {
    return requests_.at(id);
  }
  const SimTotals& totals() const { return totals_; }
  // Refusals by result code and reason, since the start or ResetMeasurements.
  const std::map<std::string, int>& refusal_reasons() const {
    return refusal_reasons_;
  }
  // Restarts the measurement of delivered_share, imbalance and refusal_reasons.
  void ResetMeasurements() {
    measured_from_ = now_;
    refusal_reasons_.clear();
    for (auto& [n, s] : servers_) {
      UpdateBusyTime(s);
      s.busy_seconds = 0;
    }
  }
  // The worth of answered requests of an organisation as a share of the worth
  // of all its requests that were not cancelled.
  double delivered_share(const std::string& organisation) const;
  // The largest slot use of a server of the main service, divided by the mean.
  double imbalance();

  double retries_per_first_attempt() const;
  absl::Time now() const { return now_; }

 private:
  struct Event {
    absl::Time when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };
  struct Daemon {
    std::string name;
    std::string zone;
    bool up = false;
    bool leaving = false;
    absl::Time paused_until = absl::InfinitePast();
    std::uint64_t boot_id = 0;
    std::unique_ptr<Dispatcher> dispatcher;
    std::set<int> known_dead;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool Chance(double p) { return p > 0 && Uniform() < p; }
  void Schedule(absl::Duration after, std::function<void()> action);
  void Deliver(const std::string& from_zone,
               const std::string& to_zone,
               std::function<void()> action);
  // Calls the dispatcher of `daemon`, after its pause if it is paused, and
  // performs the actions. Does nothing if the daemon is down.
  void CallDaemon(int daemon, std::function<void(Dispatcher&)> call);
  // Carries out the actions of the dispatcher of `daemon`.
  void PerformActions(int daemon);
  void Tick(int daemon, std::uint64_t boot_id);
  // Sends a request and schedules the next one, until `end`.
  void SendNextRequest(const std::string& service, absl::Time end, double rate);
  void SendCopy(const std::string& id, int daemon);
  void OnCaller(Endpoint caller, Endpoint service, const Message& message);
  void OnServer(SimServer& server, int daemon, const Message& message);
  void StartRun(SimServer& server, int daemon, const Request& request);
  void SendAnswer(SimServer& server,
                  int daemon,
                  const Request& request,
                  absl::Duration took);
  // Adds the slot time since the last call to the server's total.
  void UpdateBusyTime(SimServer& server);
  // The number of attempts that the server can run without slowing down.
  std::uint32_t SustainableSlots(const SimServer& server) const;
  void PublishMembers();
  void PublishSnapshot();
  // Counts the request if it ran twice, or ran although it was refused as not
  // run.
  void RecordViolations(SimRequest& request);
  int RandomLiveDaemon();

  SimOptions options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  absl::Time measured_from_ = absl::InfinitePast();
  std::uint64_t next_event_order_ = 0;
  std::uint64_t boot_count_ = 0;
  std::uint64_t request_count_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Daemon> daemons_;
  std::map<std::string, SimServer> servers_;
  std::map<std::string, SimRequest> requests_;
  std::map<Endpoint, std::string> callers_;
  std::set<std::string> cut_zones_;
  std::shared_ptr<config::Snapshot> snapshot_;
  SimTotals totals_;
  std::map<std::string, int> refusal_reasons_;
};

}  // namespace gcw::dispatch

#endif  // GCW_TESTS_DISPATCH_SIM_H_
