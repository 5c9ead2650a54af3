#ifndef SRC_LAB_STATUS_POLLER_H_
#define SRC_LAB_STATUS_POLLER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/lab/topology.h"

namespace gcw::lab {

// What a daemon's status says.
struct StatusReport {
  DaemonIndex daemon = 0;
  std::uint64_t process = 0;  // As given to Poll().
  std::uint64_t revision = 0;
  // Whether it can know of all non-idempotent requests that may have run.
  bool certain = false;
};

// Asks daemons for their status on a thread of its own. Thread-safe.
class StatusPoller {
 public:
  // `topology` must outlive the poller.
  explicit StatusPoller(const Topology& topology);
  ~StatusPoller();

  // Asks the daemon from now on; `process` numbers its process.
  void Poll(DaemonIndex daemon, std::uint64_t process);
  void Skip(DaemonIndex daemon);
  // Reports since the last call, oldest first.
  std::vector<StatusReport> Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_STATUS_POLLER_H_
