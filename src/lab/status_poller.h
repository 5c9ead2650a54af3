#ifndef SRC_LAB_STATUS_POLLER_H_
#define SRC_LAB_STATUS_POLLER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/lab/topology.h"

namespace gcw::lab {

// The parts of a daemon's /status that the lab uses.
struct StatusReport {
  DaemonIndex daemon = 0;
  std::uint64_t process = 0;   // Process number given to StartPolling().
  std::uint64_t revision = 0;  // Of the daemon's configuration; 0: none yet.
  // Whether the daemon knows of all non-idempotent requests that may have run.
  bool certain = false;
};

// Polls daemons for their status on a thread of its own. Thread-safe.
class StatusPoller {
 public:
  // `topology` must outlive the poller.
  explicit StatusPoller(const Topology& topology);
  ~StatusPoller();

  // Polls the daemon from now on. `process` is a number for the daemon's
  // current process; StatusReport::process of its reports has this value.
  void StartPolling(DaemonIndex daemon, std::uint64_t process);
  // Stops polling the daemon; a report that was being fetched can still follow.
  void StopPolling(DaemonIndex daemon);
  // Returns the reports since the last call, oldest first.
  std::vector<StatusReport> TakeReports();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_STATUS_POLLER_H_
