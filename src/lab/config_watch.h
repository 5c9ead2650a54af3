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

// Measures from the daemons' reported revisions when accepted configuration is
// in force everywhere, and whether one ever went back. Not thread-safe.
class ConfigWatch {
 public:
  // All must outlive the watch.
  ConfigWatch(const Scheduler& scheduler, const World& world, Ledger& notes);

  // The platform accepted a write.
  void OnWriteAccepted(std::uint64_t version);
  // A process of the daemon said which revision it has.
  void OnRevisionReported(DaemonIndex daemon, std::uint64_t revision);
  // The daemon's process ended; the next one starts from nothing.
  void ForgetRevision(DaemonIndex daemon);
  // Whether every daemon that can be expected to has `version`.
  bool InForce(std::uint64_t version) const;
  // Forgets what was measured so far; what daemons reported is kept.
  void Reset();
  // Writes that are not in force by now count with their age; call at the end.
  void Finish();

  bool reported(DaemonIndex daemon) const { return revisions_[daemon] > 0; }
  absl::Duration longest() const { return longest_; }
  std::uint64_t reverts() const { return reverts_; }

 private:
  struct Pending {
    std::uint64_t version;
    absl::Time accepted;
  };

  // When the version could be expected to begin to spread.
  absl::Duration Age(const Pending& pending) const;

  const Scheduler& scheduler_;
  const World& world_;
  Ledger& notes_;
  std::vector<std::uint64_t> revisions_;  // 0: no report yet.
  std::deque<Pending> pending_;
  absl::Duration longest_;
  std::uint64_t reverts_ = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_CONFIG_WATCH_H_
