#ifndef GCW_SOAK_PROMISES_H_
#define GCW_SOAK_PROMISES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace gcw::soak {

// What a run must hold, as callers and servers see it.
struct PromiseCounts {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t fault_free_requests = 0;  // In the calm at the end.
  std::uint64_t fault_free_answered = 0;
  std::uint64_t broken_flows = 0;   // Reset though the server lived.
  std::uint64_t changed_bytes = 0;  // A server got other bytes than were sent.
  std::uint64_t wrong_answers = 0;  // A caller got another request's answer.
  std::uint64_t run_twice = 0;      // A request ran on two servers.
  std::uint64_t to_leaving_late = 0;
  std::uint64_t to_out_zone_late = 0;
  std::uint64_t old_routes = 0;  // Handled by a configuration that is over.
  std::uint64_t crashes = 0;     // Daemons that ended by themselves.
};

// Why a run failed; empty if it held. Thread-safe.
std::vector<std::string> Failures(const PromiseCounts& counts);

// What is impaired, and since when it is not any more. A promise with a time
// bound holds only where nothing it depends on was impaired lately. Pure; not
// thread-safe.
class Impairments {
 public:
  // After an impairment ends, everything must be in step again by this time.
  static constexpr absl::Duration kSettle = absl::Seconds(4);

  void Begin(const std::string& what) { ++open_[what]; }
  void End(const std::string& what, absl::Time now) {
    --open_[what];
    ended_[what] = now;
  }

  // Whether `what` was whole for kSettle before `now`.
  bool Calm(const std::string& what, absl::Time now) const;

 private:
  std::map<std::string, int> open_;
  std::map<std::string, absl::Time> ended_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_PROMISES_H_
