#include "src/dispatch/home_directory.h"

#include <algorithm>

#include "src/dispatch/accepts_new_work.h"

namespace gcw::dispatch {
double HomeDirectory::HomeState::free() const {
  const double reported_free = has_hint ? hint.free : configured;
  return std::max(0.0, reported_free - assigned);
}

double HomeDirectory::HomeState::queued() const {
  const double reported_free = has_hint ? hint.free : configured;
  return (has_hint ? hint.queued : 0) + std::max(0.0, assigned - reported_free);
}

double HomeDirectory::HomeState::slots() const {
  return std::max<std::uint32_t>(has_hint ? hint.slots : configured, 1);
}

void HomeDirectory::Rebuild(const config::Snapshot& snapshot,
                            const MemberView& members) {
  std::map<std::string, Homes, std::less<>> services;
  for (const auto& [name, service] : snapshot.services) {
    Homes& homes = services[name];
    for (const config::ServiceMember& member : service.servers) {
      const auto it = snapshot.servers.find(member.server);
      const bool accepts_work = it != snapshot.servers.end() &&
                                member.weight > 0 &&
                                AcceptsNewWork(snapshot, it->second);
      if (!accepts_work) {
        continue;
      }
      const std::string home = members.HomeOf(member.server, it->second.zone);
      homes[home].configured += it->second.slots;
    }
    for (auto& [home, state] : homes) {
      const HomeState& old = services_[name][home];
      state.hint = old.hint;
      state.has_hint = old.has_hint;
      state.assigned = old.assigned;
    }
  }
  services_ = std::move(services);
}

void HomeDirectory::OnHint(const std::string& member, const SlotHint& hint) {
  const auto service = services_.find(hint.service);
  if (service == services_.end()) {
    return;
  }
  const auto home = service->second.find(member);
  if (home == service->second.end()) {
    return;
  }
  home->second.hint = hint;
  home->second.has_hint = true;
  home->second.assigned = 0;
}

void HomeDirectory::OnAssigned(const std::string& member,
                               const std::string& service) {
  const auto homes = services_.find(service);
  if (homes == services_.end()) {
    return;
  }
  const auto home = homes->second.find(member);
  if (home != homes->second.end()) {
    ++home->second.assigned;
  }
}

std::string HomeDirectory::Choose(
    const std::string& service,
    const std::function<bool(const std::string&)>& usable,
    std::mt19937_64& random) const {
  const auto homes = services_.find(service);
  if (homes == services_.end()) {
    return "";
  }
  // A home is drawn at random, weighted by its free slots, so that daemons with
  // the same hints do not all choose the same home. If no slot is free, the
  // home with the shortest queue relative to its slots is chosen.
  double total = 0;
  std::string shortest;
  double shortest_queue = 0;
  for (const auto& [name, home] : homes->second) {
    if (!usable(name)) {
      continue;
    }
    total += home.free();
    const double queue = (home.queued() + 1) / home.slots();
    if (shortest.empty() || queue < shortest_queue) {
      shortest = name;
      shortest_queue = queue;
    }
  }
  double drawn = std::uniform_real_distribution<double>(0, 1)(random) * total;
  for (const auto& [name, home] : homes->second) {
    if (total <= 0 || !usable(name)) {
      continue;
    }
    drawn -= home.free();
    if (drawn < 0) {
      return name;
    }
  }
  return shortest;
}

void HomeDirectory::OnServerHint(const ServerHint& hint, absl::Time now) {
  servers_[hint.server] = {hint.incarnation, now + hint.warm_up_left};
}

const HomeDirectory::KnownServer* HomeDirectory::FindServer(
    std::string_view server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : &it->second;
}

bool HomeDirectory::HasFreeSlotElsewhere(const std::string& service,
                                         const std::string& self,
                                         const MemberView& members) const {
  const auto homes = services_.find(service);
  if (homes == services_.end()) {
    return false;
  }
  return std::any_of(
      homes->second.begin(), homes->second.end(), [&](const auto& entry) {
        return entry.first != self && entry.second.has_hint &&
               entry.second.free() >= 1 && members.IsUsable(entry.first);
      });
}

}  // namespace gcw::dispatch
