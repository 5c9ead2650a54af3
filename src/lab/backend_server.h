#ifndef SRC_LAB_BACKEND_SERVER_H_
#define SRC_LAB_BACKEND_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "src/lab/ledger.h"
#include "src/lab/load_meter.h"
#include "src/lab/random.h"
#include "src/lab/request_ledger.h"
#include "src/lab/scheduler.h"
#include "src/lab/udp_port.h"
#include "src/lab/world.h"

namespace gcw::lab {

// What a server reports when a daemon queries its load: the true values, no
// load at all, or all slots in use and unhealthy.
enum class LoadReporting { kHonest, kClaimsIdle, kClaimsBusy };

// Faults that an event of a scenario gives to a server. The defaults are a
// healthy server.
struct ServerBehavior {
  double shed_share = 0;   // Of requests that are shed on arrival.
  double slow_factor = 1;  // Multiplies service times.
  // Of answers that are also sent to the sender of another running request.
  double cross_share = 0;
  double duplicate_share = 0;   // Of answers sent twice.
  absl::Duration answer_delay;  // Added before each answer is sent.
  absl::Duration load_lag;      // Age of the values in load reports.
  LoadReporting load_reporting = LoadReporting::kHonest;
};

// Cold start after a restart: the capacity of a server grows linearly over
// `length` from `first_share` of its slots and flow rate to all of them.
struct ColdStart {
  absl::Duration length = absl::Seconds(4);
  double first_share = 0.34;
};

// An emulated backend server. It accepts connections, runs requests in its
// slots for a service time each, sheds requests beyond its slots, obeys
// cancellations and deadlines, and has less capacity during a cold start. The
// ledgers and the load meter count what it receives and does. Not thread-safe.
class BackendServer {
 public:
  using Send = std::function<void(Bytes payload, const Endpoint& to)>;

  // Objects shared by all servers. Each must be set and outlive the server.
  struct Context {
    Scheduler* scheduler = nullptr;
    World* world = nullptr;
    Ledger* ledger = nullptr;
    RequestLedger* requests = nullptr;
    LoadMeter* meter = nullptr;
  };

  // `send` transmits a datagram to a daemon; `seed` determines which requests
  // and answers get the faults of set_behavior().
  BackendServer(const Context& context,
                ServerIndex index,
                std::uint64_t seed,
                Send send);
  ~BackendServer();

  // Handles a datagram that arrived from `from`. `daemon` is the daemon with
  // that address, or nothing if no daemon has it.
  void OnDatagram(std::span<const std::uint8_t> bytes,
                  const Endpoint& from,
                  std::optional<DaemonIndex> daemon);

  // Drops all connections and running requests and starts cold as a new
  // incarnation. If `announced`, daemons can know of the restart from now on;
  // otherwise only from the first datagram that the new incarnation sends.
  void Restart(const ColdStart& cold, bool announced);
  // Drops all connections and running requests and answers nothing until
  // Restart().
  void Kill();
  // Replaces the faults of this server; the new faults apply to later requests,
  // answers and load reports.
  void set_behavior(const ServerBehavior& behavior);
  // Sets the number of new flows per second that a warm server can take,
  // against which the load meter judges new flows during a cold start. 0, the
  // initial value, turns that judgement off.
  void set_flow_rate(double per_second);
  // Drops all further packets of a random share of the connections without a
  // reset, as a stateful network device on the path does that lost its state.
  // Calls `on_silenced` with the caller's endpoint of each such connection.
  void SilenceFlows(double share,
                    const std::function<void(const Endpoint&)>& on_silenced);
  // Makes `service` the only service of this server from now on, as when its
  // address is given to a server of another service.
  void Reassign(ServiceIndex service);

  // Running requests, current capacity and whether a cold start is in progress.
  ServerLoad load() const;
  // The number of the server's current incarnation: grows by one with each
  // Restart().
  std::uint64_t incarnation() const;
  // Number of open connections, silenced ones included.
  std::size_t connections() const;

  // The time that the request `id` takes on an idle warm server: exponentially
  // distributed around `mean` over the ids, at most 3 times `mean`, and the
  // same for each attempt of a request. Thread-safe.
  static absl::Duration ServiceTime(const std::string& id, absl::Duration mean);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_BACKEND_SERVER_H_
