#include "src/membership/probe_order.h"

#include <algorithm>

namespace gcw::membership {

std::optional<std::string> ProbeOrder::MostSilent(
    const MemberTable& table,
    const std::set<std::string>& busy) {
  const Member* silent = nullptr;
  for (const Member* member : table.InState(MemberState::kAlive)) {
    if (!busy.contains(member->name) &&
        (silent == nullptr || member->last_heard < silent->last_heard)) {
      silent = member;
    }
  }
  return silent == nullptr ? std::nullopt : std::optional(silent->name);
}

std::optional<std::string> ProbeOrder::NextOf(Round& round,
                                              const MemberTable& table,
                                              bool near) {
  // A second pass is needed when the rest of the round has died meanwhile.
  for (int pass = 0; pass < 2; ++pass) {
    while (round.next < round.names.size()) {
      const std::string& name = round.names[round.next++];
      const Member* member = table.Find(name);
      if (member != nullptr && member->live() &&
          (member->zone == options_.zone) == near) {
        return name;
      }
    }
    round.names.clear();
    round.next = 0;
    for (const Member* member : table.Live()) {
      if ((member->zone == options_.zone) == near) {
        round.names.push_back(member->name);
      }
    }
    std::shuffle(round.names.begin(), round.names.end(), random_);
  }
  return std::nullopt;
}

std::optional<std::string> ProbeOrder::Next(const MemberTable& table,
                                            const std::set<std::string>& busy) {
  if (table.live_count() < options_.max_full_mesh_members) {
    return MostSilent(table, busy);
  }
  const bool far_first = ++probes_ % options_.cross_zone_every == 0;
  Round& first = far_first ? far_ : near_;
  Round& second = far_first ? near_ : far_;
  if (auto name = NextOf(first, table, !far_first)) {
    return name;
  }
  return NextOf(second, table, far_first);
}

std::vector<const Member*> ProbeOrder::Helpers(const MemberTable& table,
                                               const Member& except,
                                               std::size_t count) {
  std::vector<const Member*> live = table.InState(MemberState::kAlive);
  std::erase_if(live, [&](const Member* m) { return m->name == except.name; });
  std::shuffle(live.begin(), live.end(), random_);
  std::partition(live.begin(), live.end(),
                 [&](const Member* m) { return m->zone == except.zone; });
  if (live.size() > count) {
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(count), live.end());
  }
  return live;
}

}  // namespace gcw::membership
