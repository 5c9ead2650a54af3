#ifndef GCW_SOAK_FLEET_H_
#define GCW_SOAK_FLEET_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/lab/daemon_process.h"
#include "src/soak/held_sockets.h"
#include "src/soak/process_watch.h"
#include "src/soak/store_proxy.h"

namespace gcw::soak {

// A port on which a daemon listens.
struct ListenPort {
  std::uint16_t port = 0;
  PortType type = PortType::kTcp;
};

// Parameters of a fleet.
struct FleetOptions {
  std::string program;   // Path of the gcw-direct executable.
  std::string work_dir;  // Existing directory for settings files and logs.
  int octet = 10;        // Daemons use the loopback network 127.`octet`.0.0/16.
  std::size_t zones = 3;
  std::size_t daemons_per_zone = 2;
  Endpoint store;  // Where the store listens.
  lab::ProcessLimits limits;
};

// All daemons of a run as processes, each with its own proxy to the store. Also
// stands in for the routers, which poll the daemons' readiness and pick a
// daemon for each flow. Signals only processes that it started. Not
// thread-safe.
class Fleet {
 public:
  // Starts all daemons. `loop` must outlive the fleet. Fails with kBindFailed
  // or kInternal.
  static Result<std::unique_ptr<Fleet>> Make(lab::EventLoop& loop,
                                             const FleetOptions& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::size_t size() const { return daemons_.size(); }
  std::size_t ZoneOf(std::size_t daemon) const {
    return daemon / options_.daemons_per_zone;
  }
  // Where the daemon receives packets of flows.
  Endpoint PacketAddress(std::size_t daemon) const;
  // All ports on which each daemon listens.
  static std::span<const ListenPort> listen_ports();
  // The address of the daemon at one of them.
  Endpoint Address(std::size_t daemon, std::uint16_t port) const;
  // Index of the daemon with the address `ip`, or size() if there is none.
  std::size_t FindByIp(std::uint32_t ip) const;

  // Index of the daemon that receives a flow of callers in `zone`, by
  // rendezvous hashing over the ready daemons of the zone. If none is ready,
  // hashes over the ready daemons of all zones; if none of these is ready
  // either, returns the first daemon of the zone.
  std::size_t Route(std::size_t zone, std::uint64_t flow_hash) const;

  // Sends `signal`. After SIGKILL or SIGTERM the daemon's exit is not counted
  // as a crash.
  void Signal(std::size_t daemon, int signal);
  // Starts a daemon again once its process has exited: now, or in a later call
  // of StartExited().
  void Restart(std::size_t daemon);
  // Number of exits that followed no Signal() with SIGKILL or SIGTERM.
  std::size_t crashes() const { return crashes_; }
  // Starts daemons whose restart is due and which have exited, and counts and
  // restarts daemons that crashed. Call it periodically.
  void StartExited();
  // Measures what all daemons use. Call it periodically.
  void MeasureUsage(absl::Time now);
  const ProcessWatch& watch() const { return watch_; }

  StoreProxy& store_proxy(std::size_t daemon) {
    return *daemons_[daemon].store_proxy;
  }

 private:
  struct Daemon {
    std::string settings;  // Path of the settings file.
    std::string log;       // Path of the log file.
    std::unique_ptr<lab::DaemonProcess> process;
    std::unique_ptr<StoreProxy> store_proxy;
    // Whether SIGKILL or SIGTERM was sent since the last start.
    bool termination_requested = false;
    bool restart_due = false;
  };

  explicit Fleet(const FleetOptions& options)
      : options_(options), watch_(options.zones * options.daemons_per_zone) {}

  std::uint32_t DaemonIp(std::size_t daemon) const;
  // Starts the process of a daemon that has exited. Logs a failure, after which
  // the restart stays due.
  void StartProcess(std::size_t index);
  // Starts the daemon's store proxy, writes its settings file and starts its
  // process.
  Status StartDaemon(lab::EventLoop& loop, std::size_t daemon);
  // The daemon's settings as JSON; `store` is the address of its store proxy.
  std::string MakeSettings(std::size_t daemon, const Endpoint& store) const;
  // Polls the readiness of all daemons until `stopping_`; runs on `poller_`.
  void PollReady();

  const FleetOptions options_;
  std::vector<Daemon> daemons_;
  std::size_t crashes_ = 0;
  ProcessWatch watch_;
  // Consecutive failed readiness polls of each daemon, written by `poller_`.
  std::vector<std::atomic<int>> failed_polls_;
  std::atomic<bool> stopping_{false};
  std::thread poller_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_FLEET_H_
