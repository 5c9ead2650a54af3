#include "src/balancer/leave_gate.h"

#include <algorithm>
#include <utility>

namespace gcw::balancer {

LeaveGate::LeaveGate(absl::Duration min_member_age, absl::Duration max_wait)
    : min_member_age_(min_member_age), max_wait_(max_wait) {}

void LeaveGate::OnMembers(std::span<const membership::Member> others,
                          absl::Time now) {
  std::map<std::string, OtherMember> next;
  for (const membership::Member& member : others) {
    if (!member.live()) {
      continue;
    }
    const std::uint64_t start = membership::ProcessStart(member.incarnation);
    const auto previous = others_.find(member.name);
    const bool same_process =
        previous != others_.end() && previous->second.start == start;
    next[member.name] = {start,
                         same_process ? previous->second.first_seen : now,
                         member.leaving()};
  }
  others_ = std::move(next);
}

void LeaveGate::RequestLeave(absl::Time now) {
  requested_at_ = std::min(requested_at_, now);
}

bool LeaveGate::MayLeave(absl::Time now) const {
  if (requested_at_ > now) {
    return false;
  }
  if (now - requested_at_ >= max_wait_) {
    return true;
  }
  return std::all_of(others_.begin(), others_.end(), [&](const auto& entry) {
    const OtherMember& other = entry.second;
    return !other.leaving && now - other.first_seen >= min_member_age_;
  });
}

}  // namespace gcw::balancer
