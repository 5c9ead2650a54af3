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

// What a run is made of.
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
  double double_share = 0;  // Requests sent at once through two daemons.
  double cancel_share = 0;
  double loss = 0;         // Of datagrams, on each way.
  double duplication = 0;  // Of datagrams, the copy up to 300 ms late.
  absl::Duration death_noticed = absl::Seconds(2);  // At most.
  absl::Duration warm_up = absl::Seconds(5);
  double retry_share = 0.1;
  double retry_burst = 10;
};

// A backend server's faults.
struct SimBehavior {
  double shed_share = 0;
  double slow_factor = 1;
  absl::Duration answer_delay;
  double cross_share = 0;
};

struct SimServer {
  std::string name;
  std::string zone;
  Endpoint address;
  std::uint32_t slots = 0;
  bool up = true;
  std::uint64_t incarnation = 1;
  absl::Time cold_since = absl::InfinitePast();
  absl::Time evidence = absl::InfiniteFuture();  // First word since a restart.
  SimBehavior behavior;
  std::map<std::string, std::string> runs;  // Attempt to request.
  std::set<std::string> seen;
  double busy_seconds = 0;
  absl::Time busy_since;
};

// How one request ended for its caller.
enum class SimEnd { kOpen, kDelivered, kRefused, kUnknown, kCancelled };

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

// Everything that must not happen and everything that is measured.
struct SimTotals {
  std::uint64_t sent = 0;
  std::uint64_t delivered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t run_twice = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t wrong_answer = 0;
  std::uint64_t misdelivered = 0;  // Work for a server that is not its own.
  std::uint64_t attempts = 0;
  std::uint64_t sheds = 0;
  double cold_overload = 0;
  std::vector<std::string> notes;
};

// Several dispatchers with fake servers, callers and network, in one thread
// and its own time. The same options give the same run.
class Sim {
 public:
  explicit Sim(const SimOptions& options);

  // Runs for `span`; callers offer `load` times the slots of each service.
  void Run(absl::Duration span, double load);
  // Runs on without new requests.
  void Settle(absl::Duration span);
  void At(absl::Duration after, std::function<void()> action);

  // Sends one request through daemon `daemon` and returns its id.
  std::string Send(const std::string& service, bool idempotent, int daemon);
  void Repeat(const std::string& id, int daemon);
  void SendCancel(const std::string& id, int daemon);

  void KillDaemon(int daemon);
  void StartDaemon(int daemon);
  void PauseDaemon(int daemon, absl::Duration length);
  void StopDaemon(int daemon);  // Planned.
  void RestartServer(const std::string& name);
  void KillServer(const std::string& name);
  void CutZone(const std::string& zone, bool cut) {
    cut ? (void)cut_.insert(zone) : (void)cut_.erase(zone);
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
  // Why requests were refused, since the start or ResetService.
  const std::map<std::string, int>& reasons() const { return reasons_; }
  // Totals of requests that were sent from now on.
  void ResetService() {
    counted_from_ = now_;
    reasons_.clear();
    for (auto& [n, s] : servers_) {
      Account(s);
      s.busy_seconds = 0;
    }
  }
  // Worth delivered over worth offered, of an organisation's requests.
  double service(const std::string& organisation) const;
  // Largest over mean slot use of the servers of the main service.
  double imbalance();
  double extra_attempts() const;
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
    std::uint64_t boot = 0;
    std::unique_ptr<Dispatcher> dispatcher;
    std::set<int> seen_dead;
  };

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  bool Chance(double p) { return p > 0 && Uniform() < p; }
  void Schedule(absl::Duration after, std::function<void()> action);
  void Deliver(const std::string& from_zone,
               const std::string& to_zone,
               std::function<void()> action);
  void ToDaemon(int daemon, std::function<void(Dispatcher&)> call);
  void Carry(int daemon);
  void Tick(int daemon, std::uint64_t boot);
  void OfferNext(const std::string& service, absl::Time end, double rate);
  void SendCopy(const std::string& id, int daemon);
  void OnCaller(Endpoint caller, Endpoint service, const Message& message);
  void OnServer(SimServer& server, int daemon, const Message& message);
  void Begin(SimServer& server, int daemon, const Request& request);
  void SendAnswer(SimServer& server,
                  int daemon,
                  const Request& request,
                  absl::Duration took);
  void Account(SimServer& server);
  std::uint32_t Borne(const SimServer& server) const;
  void PublishMembers();
  void PublishSnapshot();
  void Judge(SimRequest& request);
  int LiveDaemon();

  SimOptions options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  absl::Time counted_from_ = absl::InfinitePast();
  std::uint64_t order_ = 0;
  std::uint64_t boots_ = 0;
  std::uint64_t count_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Daemon> daemons_;
  std::map<std::string, SimServer> servers_;
  std::map<std::string, SimRequest> requests_;
  std::map<Endpoint, std::string> callers_;
  std::set<std::string> cut_;
  std::shared_ptr<config::Snapshot> snapshot_;
  SimTotals totals_;
  std::map<std::string, int> reasons_;
};

}  // namespace gcw::dispatch

#endif  // GCW_TESTS_DISPATCH_SIM_H_
