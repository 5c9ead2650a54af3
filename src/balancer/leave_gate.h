#ifndef GCW_BALANCER_LEAVE_GATE_H_
#define GCW_BALANCER_LEAVE_GATE_H_

#include <map>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "gcw/membership/member.h"

namespace gcw::balancer {

// Says when this daemon may begin to leave without making the others
// uncertain. A young daemon cannot yet tell a request from a repeat, so one
// that leaves while another is young may take the last certain witness of a
// zone away. Pure; not thread-safe.
//
// Worked case: with `settle` 6 s, b1 starts at 7 s and b2 is told to stop at
// 10 s; b2 begins to leave at 13 s.
class LeaveGate {
 public:
  // `settle`: how long a daemon must have been a member to be certain.
  // `longest`: after this time the daemon leaves in any case.
  LeaveGate(absl::Duration settle, absl::Duration longest);

  // Takes the other members; to be called when they change.
  void OnMembers(std::span<const membership::Member> others, absl::Time now);

  // The daemon was told to stop.
  void Request(absl::Time now);

  // Whether it was told to stop and may begin: every other live member is
  // settled and none is leaving, or the longest time is over.
  bool MayLeave(absl::Time now) const;

 private:
  struct Other {
    std::uint64_t start = 0;
    absl::Time seen;
    bool leaving = false;
  };

  const absl::Duration settle_;
  const absl::Duration longest_;
  std::map<std::string, Other> others_;
  absl::Time requested_ = absl::InfiniteFuture();
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_LEAVE_GATE_H_
