#ifndef GCW_SOAK_INVARIANTS_H_
#define GCW_SOAK_INVARIANTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace gcw::soak {

// Counters of one run, taken from what callers and servers observe. Failures()
// derives from them which invariants the run violated: the counters from
// `broken_flows` on must be 0, and enough requests must be answered.
struct InvariantCounts {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  // Requests started after recovery in the fault-free end of the run.
  std::uint64_t fault_free_requests = 0;
  std::uint64_t fault_free_answered = 0;  // Those of them that were answered.
  // Flows that a daemon reset although their server was unimpaired.
  std::uint64_t broken_flows = 0;
  // Packets that arrived corrupted, or packets of a daemon to a caller that
  // were not resets.
  std::uint64_t changed_bytes = 0;
  // Answers that reached another IP address than the request's; the callers of
  // a zone share one.
  std::uint64_t wrong_answers = 0;
  std::uint64_t run_twice = 0;  // Requests executed by two servers.
  // Flows opened on a draining server later than the users' bound allows.
  std::uint64_t to_leaving_late = 0;
  // Flows opened in a zone out of service later than the users' bound allows.
  std::uint64_t to_out_zone_late = 0;
  // Flows opened on a removed route later than the users' bound allows.
  std::uint64_t old_routes = 0;
  // Flows that a cold server got beyond the users' bound in a second.
  std::uint64_t cold_overload = 0;
  // Requests of callers of a zone under a load pattern while other zones had
  // room and no fault was near.
  std::uint64_t busy_zone_requests = 0;
  std::uint64_t busy_zone_answered = 0;  // Those of them that were answered.
  // Flows refused by daemons while the whole fleet had room and no fault was
  // near.
  std::uint64_t refused_with_room = 0;
  std::uint64_t crashes = 0;  // Daemons that exited without being told to.
  // Daemons that used more memory than their VM has.
  std::uint64_t over_memory = 0;
  // Windows in which a daemon did not hand back the processor.
  std::uint64_t busy_windows = 0;
  std::int64_t peak_resident_bytes = 0;  // Of any daemon; no invariant.
};

// Returns one line for each violated invariant, with the value of the counter
// or share; empty if the run passed. Thread-safe.
std::vector<std::string> Failures(const InvariantCounts& counts);

// Tracks which components faults impair, by component name, and when the last
// impairment of each one ended. Invariants with a time bound are checked only
// where every component involved is settled. Uses no clock; not thread-safe.
class Impairments {
 public:
  // Time that the daemons have to recover after an impairment has ended.
  static constexpr absl::Duration kSettleTime = absl::Seconds(4);

  // Impairments of one component may overlap; each Begin() needs one End().
  void Begin(const std::string& component) { ++active_[component]; }
  void End(const std::string& component, absl::Time now) {
    --active_[component];
    last_end_[component] = now;
  }

  // Whether `component` is not impaired at `now` and the last impairment ended
  // at least kSettleTime before.
  bool IsSettled(const std::string& component, absl::Time now) const;

 private:
  std::map<std::string, int> active_;  // Number of open impairments.
  std::map<std::string, absl::Time> last_end_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_INVARIANTS_H_
