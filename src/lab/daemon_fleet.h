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

struct FleetOptions {
  std::string program;    // Path of gcw-balancer.
  std::string directory;  // For settings and logs.
  std::string policy = "tables";
  std::string dispatch_policy = "home";
  std::uint64_t seed = 1;
  absl::Duration fabric_lag;  // Until the fabric notes that a daemon is gone.
};

// The daemons' processes and what the fabric and the platform's list know of
// them. Not thread-safe.
class DaemonFleet {
 public:
  // What the fleet acts on; all must outlive it.
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

  // Starts a new process of the daemon. Fails with kInternal. Does nothing if
  // it runs.
  Status Start(DaemonIndex daemon);
  void Kill(DaemonIndex daemon);
  // Asks for a graceful shutdown.
  void Stop(DaemonIndex daemon);
  void Pause(DaemonIndex daemon);
  void Resume(DaemonIndex daemon);

  // Reaps ended processes and takes in their reports; call it often.
  void Tick();
  // Whether every started daemon has reported `version` and that it can answer
  // for non-idempotent requests.
  bool AllReady(std::uint64_t version) const;
  // Daemons that ended by themselves or ended a shutdown with an error.
  std::uint64_t crashes() const { return crashes_; }
  std::string LogPath(DaemonIndex daemon) const;

 private:
  struct Member {
    std::unique_ptr<DaemonProcess> process;
    std::uint64_t process_number = 0;
    std::uint64_t revision = 0;
    bool certain = false;
  };

  std::string WriteSettings(DaemonIndex daemon) const;
  void OnEnded(DaemonIndex daemon, int exit_code);
  void OnReport(const StatusReport& report);
  void SprayAfterLag(DaemonIndex daemon);
  void PublishVms();

  Context context_;
  FleetOptions options_;
  std::vector<Member> members_;
  std::uint64_t processes_ = 0;
  std::uint64_t crashes_ = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_DAEMON_FLEET_H_
