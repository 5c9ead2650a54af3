#ifndef GCW_BALANCER_LEAVE_GATE_H_
#define GCW_BALANCER_LEAVE_GATE_H_

#include <map>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "gcw/membership/member.h"

namespace gcw::balancer {

// Decides when this daemon may begin its graceful shutdown. A witness of an
// availability zone records which requests were granted, so that a repeated
// request is not run again. A daemon that has just started does not know the
// grants that were made before. If another daemon left at that time, the zone
// could lose the last witness that knows all grants, and the remaining daemons
// could not tell a new request from a repeated one. Has no I/O; not
// thread-safe.
//
// Example: `min_member_age` is 6 s. b1 starts at 7 s, and b2 is asked to shut
// down at 10 s. b2 begins to leave at 13 s, when b1 has been a member for 6 s.
class LeaveGate {
 public:
  // `min_member_age`: how long every other daemon must have been a member.
  // `max_wait`: the daemon may leave this long after the request in any case.
  LeaveGate(absl::Duration min_member_age, absl::Duration max_wait);

  // Replaces the list of the other members. To be called when it changes.
  void OnMembers(std::span<const membership::Member> others, absl::Time now);

  // Records that a graceful shutdown was requested at `now`. Later requests do
  // not extend the wait.
  void RequestLeave(absl::Time now);

  // Whether a shutdown was requested and may begin: every other live member has
  // reached the minimum age and none is leaving, or the maximum wait is over.
  bool MayLeave(absl::Time now) const;

 private:
  struct OtherMember {
    std::uint64_t start = 0;  // membership::ProcessStart of the incarnation.
    absl::Time first_seen;    // When this process of the member appeared.
    bool leaving = false;
  };

  const absl::Duration min_member_age_;
  const absl::Duration max_wait_;
  std::map<std::string, OtherMember> others_;
  absl::Time requested_at_ = absl::InfiniteFuture();
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_LEAVE_GATE_H_
