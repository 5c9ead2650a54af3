#ifndef SRC_LAB_CONFIG_WATCH_H_
#define SRC_LAB_CONFIG_WATCH_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/ledger.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Measures from the revisions that daemons report how long an accepted write of
// configuration takes until all daemons have it, and counts how often a daemon
// went back to an older revision. Not thread-safe.
class ConfigWatch {
 public:
  // `scheduler`, `world` and `notes` must outlive the watch. `notes` receives a
  // description of each fault.
  ConfigWatch(const Scheduler& scheduler, const World& world, Ledger& notes);

  // The platform accepted the write that produced `version`.
  void OnWriteAccepted(std::uint64_t version);
  // The running process of `daemon` reported that it has applied `revision` of
  // the configuration.
  void OnRevisionReported(DaemonIndex daemon, std::uint64_t revision);
  // Call this when a new process of the daemon starts, because a new process
  // has no configuration: an older revision is then no step back.
  void ForgetRevision(DaemonIndex daemon);
  // Whether every daemon that is live, not cut off from the platform, and has
  // reported a revision has `version` or a later one.
  bool InForce(std::uint64_t version) const;
  // Clears the measurements and the writes that not all daemons have yet; keeps
  // the revisions that daemons reported.
  void Reset();
  // Counts each write that not all daemons have yet with its delay so far. Call
  // this at the end of a scenario.
  void Finish();

  // Whether the daemon's current process has reported a revision.
  bool reported(DaemonIndex daemon) const { return revisions_[daemon] > 0; }
  // The longest time that a write took until all daemons had it, not counting
  // the time in which a daemon was cut off or paused.
  absl::Duration longest() const { return longest_delay_; }
  // How often a daemon reported an older revision than before.
  std::uint64_t reverts() const { return reverts_; }

 private:
  // An accepted write of configuration that not all daemons have yet.
  struct Pending {
    std::uint64_t version;
    absl::Time accepted;
  };

  // The time for which `pending` has been accepted and every live daemon has
  // been able to receive that write.
  absl::Duration SpreadTime(const Pending& pending) const;

  const Scheduler& scheduler_;
  const World& world_;
  Ledger& notes_;
  std::vector<std::uint64_t> revisions_;  // By daemon; 0: no report.
  std::deque<Pending> pending_;
  absl::Duration longest_delay_;
  std::uint64_t reverts_ = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_CONFIG_WATCH_H_
