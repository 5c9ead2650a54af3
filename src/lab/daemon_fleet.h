#ifndef SRC_LAB_DAEMON_FLEET_H_
#define SRC_LAB_DAEMON_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gcw/base/result.h"
#include "src/fake_platform/fake_platform.h"
#include "src/lab/config_watch.h"
#include "src/lab/daemon_process.h"
#include "src/lab/fabric.h"
#include "src/lab/ledger.h"
#include "src/lab/scheduler.h"
#include "src/lab/status_poller.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Settings of the daemons of one run.
struct FleetOptions {
  std::string program;    // Path of gcw-balancer.
  std::string directory;  // Receives settings files and logs.
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  std::uint64_t seed = 1;
  // How long the fabric takes to learn that a daemon's state changed.
  absl::Duration fabric_lag;
};

// Starts, signals and reaps the processes of the daemons, and keeps the fabric
// and the platform's list of VMs up to date with their state. Not thread-safe.
class DaemonFleet {
 public:
  // Objects that the fleet uses. Each must be set and outlive the fleet.
  struct Context {
    Scheduler* scheduler = nullptr;
    World* world = nullptr;
    Ledger* ledger = nullptr;
    Fabric* fabric = nullptr;
    fake_platform::FakePlatform* platform = nullptr;
    ConfigWatch* config = nullptr;
    StatusPoller* poller = nullptr;
  };

  DaemonFleet(const Context& context, const FleetOptions& options);
  ~DaemonFleet();

  // Starts a new process of the daemon; does nothing if a process of the daemon
  // runs. Fails with kInternal if the process cannot be started.
  Status Start(DaemonIndex daemon);
  // Sends SIGKILL to the daemon's process; does nothing if no process of the
  // daemon runs.
  void Kill(DaemonIndex daemon);
  // Starts a graceful shutdown with SIGTERM; does nothing unless the daemon is
  // live.
  void Stop(DaemonIndex daemon);
  // Freezes the daemon's process with SIGSTOP; does nothing unless the daemon
  // is live.
  void Pause(DaemonIndex daemon);
  // Ends a pause of the daemon's process with SIGCONT; does nothing unless the
  // daemon is paused.
  void Resume(DaemonIndex daemon);

  // Processes the status reports of daemons and reaps ended processes. Call
  // this often.
  void Tick();
  // Whether every running daemon has reported `version` or a later one and that
  // it knows of all non-idempotent requests that may have run.
  bool AllReady(std::uint64_t version) const;
  // Number of processes that ended without a signal of the fleet, or that ended
  // a graceful shutdown with an exit code other than 0.
  std::uint64_t crashes() const { return crashes_; }
  // The file with the output of all processes of the daemon.
  std::string LogPath(DaemonIndex daemon) const;

 private:
  // The current process of one daemon and its last status report.
  struct Member {
    std::unique_ptr<DaemonProcess> process;
    // Tells status reports of this process from reports of earlier processes.
    std::uint64_t process_number = 0;
    std::uint64_t revision = 0;  // 0: no report yet.
    bool certain = false;        // As in StatusReport.
  };

  // Writes the settings file of the daemon and returns its path.
  std::string WriteSettings(DaemonIndex daemon) const;
  void OnEnded(DaemonIndex daemon, int exit_code);
  void OnReport(const StatusReport& report);
  // Tells the fabric after `fabric_lag` whether to send packets to the daemon.
  void UpdateFabricAfterLag(DaemonIndex daemon);
  // Writes the running daemons to the platform's list of VMs.
  void PublishVms();

  Context context_;
  FleetOptions options_;
  std::vector<Member> members_;
  std::uint64_t started_processes_ = 0;
  std::uint64_t crashes_ = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_DAEMON_FLEET_H_
