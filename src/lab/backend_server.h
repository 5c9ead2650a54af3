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

// What a server's load endpoint says.
enum class LoadReporting { kHonest, kClaimsIdle, kClaimsBusy };

// How a server behaves beside the ordinary.
struct ServerBehavior {
  double shed_share = 0;        // Of requests, shed at once.
  double slow_factor = 1;       // Multiplies service times.
  double cross_share = 0;       // Answers that also go to another asker.
  double duplicate_share = 0;   // Answers sent twice.
  absl::Duration answer_delay;  // Each answer leaves this much later.
  absl::Duration load_lag;      // Load reports are this old.
  LoadReporting load_reporting = LoadReporting::kHonest;
};

// Cold start: what a server bears grows from `first_share` to all of it.
struct ColdStart {
  absl::Duration length = absl::Seconds(4);
  double first_share = 0.34;
};

// One backend server: connections, slots, service times, cold starts, sheds,
// cancellation, deadlines. All it does is counted in the ledgers. Not
// thread-safe.
class BackendServer {
 public:
  using Send = std::function<void(Bytes payload, const Endpoint& to)>;

  // What all servers share; all must outlive the server.
  struct Context {
    Scheduler* scheduler = nullptr;
    World* world = nullptr;
    Ledger* ledger = nullptr;
    RequestLedger* requests = nullptr;
    LoadMeter* meter = nullptr;
  };

  BackendServer(const Context& context,
                ServerIndex index,
                std::uint64_t seed,
                Send send);
  ~BackendServer();

  // A datagram arrived from `from`; `daemon` is who has that address.
  void OnDatagram(std::span<const std::uint8_t> bytes,
                  const Endpoint& from,
                  std::optional<DaemonIndex> daemon);

  // Loses all connections and runs and comes up cold as a new incarnation.
  // Without `announced`, nobody can know before it has spoken again.
  void Restart(const ColdStart& cold, bool announced);
  // Loses everything and answers nothing until Restart.
  void Kill();
  void set_behavior(const ServerBehavior& behavior);
  // New flows a second that a warm server bears.
  void set_flow_rate(double per_second);
  // Forgets a share of the connections without a word, as a network device
  // between does that lost its state. Calls `forgotten` with each caller.
  void SilenceFlows(double share,
                    const std::function<void(const Endpoint&)>& forgotten);
  // Serves another set of services from now on: its address was given anew.
  void Reassign(ServiceIndex service);

  ServerLoad load() const;
  std::uint64_t incarnation() const;
  std::size_t connections() const;

  // The time that the request `id` takes on an idle server. Thread-safe.
  static absl::Duration ServiceTime(const std::string& id, absl::Duration mean);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_BACKEND_SERVER_H_
