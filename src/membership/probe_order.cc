#include "src/membership/probe_order.h"

#include <algorithm>

namespace gcw::membership {

std::optional<std::string> ProbeOrder::LeastRecentlyHeard(
    const MemberTable& table,
    const std::set<std::string>& probed_members) {
  const Member* least_recent = nullptr;
  for (const Member* member : table.MembersInState(MemberState::kAlive)) {
    if (!probed_members.contains(member->name) &&
        (least_recent == nullptr ||
         member->last_heard < least_recent->last_heard)) {
      least_recent = member;
    }
  }
  return least_recent == nullptr ? std::nullopt
                                 : std::optional(least_recent->name);
}

std::optional<std::string> ProbeOrder::NextInRound(Round& round,
                                                   const MemberTable& table,
                                                   bool same_zone) {
  // If no member of the rest of the round is live any more, the second pass
  // starts a new round.
  for (int pass = 0; pass < 2; ++pass) {
    while (round.next_index < round.names.size()) {
      const std::string& name = round.names[round.next_index++];
      const Member* member = table.Find(name);
      if (member != nullptr && member->live() &&
          (member->zone == options_.zone) == same_zone) {
        return name;
      }
    }
    round.names.clear();
    round.next_index = 0;
    for (const Member* member : table.LiveMembers()) {
      if ((member->zone == options_.zone) == same_zone) {
        round.names.push_back(member->name);
      }
    }
    std::shuffle(round.names.begin(), round.names.end(), random_);
  }
  return std::nullopt;
}

std::optional<std::string> ProbeOrder::NextTarget(
    const MemberTable& table,
    const std::set<std::string>& probed_members) {
  if (table.live_count() < options_.max_full_mesh_members) {
    return LeastRecentlyHeard(table, probed_members);
  }
  const bool other_zones_first = ++probes_ % options_.cross_zone_every == 0;
  Round& first = other_zones_first ? other_zones_round_ : same_zone_round_;
  Round& second = other_zones_first ? same_zone_round_ : other_zones_round_;
  if (auto name = NextInRound(first, table, !other_zones_first)) {
    return name;
  }
  return NextInRound(second, table, other_zones_first);
}

std::vector<const Member*> ProbeOrder::IndirectProbeHelpers(
    const MemberTable& table,
    const Member& target,
    std::size_t count) {
  std::vector<const Member*> live = table.MembersInState(MemberState::kAlive);
  std::erase_if(live, [&](const Member* m) { return m->name == target.name; });
  std::shuffle(live.begin(), live.end(), random_);
  std::partition(live.begin(), live.end(),
                 [&](const Member* m) { return m->zone == target.zone; });
  if (live.size() > count) {
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(count), live.end());
  }
  return live;
}

}  // namespace gcw::membership
