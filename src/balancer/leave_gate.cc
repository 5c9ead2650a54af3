#include "src/balancer/leave_gate.h"

#include <algorithm>
#include <utility>

namespace gcw::balancer {

LeaveGate::LeaveGate(absl::Duration settle, absl::Duration longest)
    : settle_(settle), longest_(longest) {}

void LeaveGate::OnMembers(std::span<const membership::Member> others,
                          absl::Time now) {
  std::map<std::string, Other> next;
  for (const membership::Member& member : others) {
    if (!member.live()) {
      continue;
    }
    const std::uint64_t start = membership::ProcessStart(member.incarnation);
    const auto known = others_.find(member.name);
    const bool same = known != others_.end() && known->second.start == start;
    next[member.name] = {start, same ? known->second.seen : now,
                         member.leaving()};
  }
  others_ = std::move(next);
}

void LeaveGate::Request(absl::Time now) {
  requested_ = std::min(requested_, now);
}

bool LeaveGate::MayLeave(absl::Time now) const {
  if (requested_ > now) {
    return false;
  }
  if (now - requested_ >= longest_) {
    return true;
  }
  return std::all_of(others_.begin(), others_.end(), [&](const auto& entry) {
    const Other& other = entry.second;
    return !other.leaving && now - other.seen >= settle_;
  });
}

}  // namespace gcw::balancer
