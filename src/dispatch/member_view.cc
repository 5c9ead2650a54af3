#include "src/dispatch/member_view.h"

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::dispatch {
namespace {

std::uint64_t Score(std::uint64_t key, std::string_view member) {
  return MixHash(key, StableHash(member));
}

}  // namespace

MemberView::MemberView(std::string self,
                       std::string zone,
                       absl::Duration memory)
    : self_(std::move(self)), zone_(std::move(zone)), memory_(memory) {
  Known& known = members_[self_];
  known.member = Member{self_, zone_, MemberState::kLive, 0};
  known.present = true;
}

std::vector<std::string> MemberView::Apply(std::span<const Member> members,
                                           absl::Time now) {
  joined_ = true;
  std::set<std::string> before;
  for (auto& [name, known] : members_) {
    if (known.present) {
      before.insert(name);
      known.last_seen = now;
    }
    known.present = name == self_;
  }
  for (const Member& member : members) {
    Known& known = members_[member.name];
    const bool leaving = member.state == MemberState::kLeaving;
    // Nobody returns from leaving but as a new start.
    const bool returned = !leaving && before.contains(member.name) &&
                          known.leaving_since != absl::InfiniteFuture();
    if (!leaving && member.name != self_) {
      known.leaving_since = absl::InfiniteFuture();
    } else if (leaving && known.leaving_since == absl::InfiniteFuture()) {
      known.leaving_since = now;
    }
    const bool was_leaving = known.member.state == MemberState::kLeaving;
    known.member = member;
    if (member.name == self_ && was_leaving) {
      known.member.state = MemberState::kLeaving;
    }
    known.present = true;
    known.last_seen = now;
    if (!returned) {
      before.erase(member.name);
    }
  }
  before.erase(self_);
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.present && entry.second.last_seen + memory_ < now;
  });
  return {before.begin(), before.end()};
}

void MemberView::ApplyZones(const config::Snapshot& snapshot, absl::Time now) {
  std::set<std::string> zones;
  for (const auto& [name, zone] : snapshot.zones) {
    zones.insert(name);
  }
  if (!zone_sets_.empty() && zone_sets_.back().zones == zones) {
    return;
  }
  if (!zone_sets_.empty()) {
    zone_sets_.back().until = now + memory_;
  }
  zone_sets_.push_back({std::move(zones), absl::InfiniteFuture()});
  while (zone_sets_.front().until < now) {
    zone_sets_.pop_front();
  }
}

void MemberView::NoteLeaving(absl::Time now) {
  Known& self = members_[self_];
  self.member.state = MemberState::kLeaving;
  self.leaving_since = std::min(self.leaving_since, now);
}

void MemberView::SetResponsive(const std::string& member, bool responsive) {
  const auto it = members_.find(member);
  if (it != members_.end()) {
    it->second.responsive = responsive;
  }
}

bool MemberView::Stays(const Known& known) {
  return known.present && known.member.state != MemberState::kLeaving;
}

bool MemberView::Has(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.present;
}

bool MemberView::Reacts(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.present && it->second.responsive;
}

bool MemberView::Usable(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.responsive && Stays(it->second);
}

std::vector<std::string> MemberView::Others() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : members_) {
    if (known.present && name != self_) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t MemberView::Rank() const {
  std::size_t rank = 0;
  for (const auto& [name, known] : members_) {
    rank += known.present && name < self_ ? 1 : 0;
  }
  return rank;
}

template <typename Filter>
std::string MemberView::Top(std::string_view key, Filter filter) const {
  const std::uint64_t hash = StableHash(key);
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto& [name, known] : members_) {
    const std::uint64_t score = Score(hash, name);
    if (filter(name, known) && (best.empty() || score > best_score)) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

std::string MemberView::Owner(std::string_view id) const {
  const std::string owner = Top(
      id, [&](const std::string& name, const Known&) { return Usable(name); });
  return owner.empty() ? self_ : owner;
}

std::vector<MemberView::Witness> MemberView::Witnesses(
    std::string_view id) const {
  std::vector<Witness> witnesses;
  if (zone_sets_.empty()) {
    return witnesses;
  }
  for (const std::string& zone : zone_sets_.back().zones) {
    witnesses.push_back(
        {zone, Top(id, [&](const std::string&, const Known& known) {
           return known.member.zone == zone && Stays(known);
         })});
  }
  return witnesses;
}

bool MemberView::IsCertainWitness(std::string_view id, absl::Time now) const {
  const absl::Time leaving = members_.find(self_)->second.leaving_since;
  // A successor may be certain a `memory` after it saw this daemon leave.
  if (now - since_ < memory_ || now - leaving > memory_ / 2) {
    return false;
  }
  const std::string top = Top(id, [&](const std::string&, const Known& known) {
    const absl::Time seen = known.present ? now : known.last_seen;
    const absl::Time acts_until = std::min(seen, known.leaving_since) + memory_;
    return known.member.zone == zone_ && acts_until >= now;
  });
  return top == self_;
}

bool MemberView::IsMajority(const std::set<std::string>& zones,
                            absl::Time now) const {
  for (const ZoneSet& set : zone_sets_) {
    std::size_t count = 0;
    for (const std::string& zone : set.zones) {
      count += zones.count(zone);
    }
    if (set.until >= now && 2 * count <= set.zones.size()) {
      return false;
    }
  }
  return !zone_sets_.empty();
}

bool MemberView::IsEveryZone(const std::set<std::string>& zones,
                             absl::Time now) const {
  for (const ZoneSet& set : zone_sets_) {
    const bool all = std::includes(zones.begin(), zones.end(),
                                   set.zones.begin(), set.zones.end());
    if (set.until >= now && !all) {
      return false;
    }
  }
  return !zone_sets_.empty();
}

std::string MemberView::ZoneOf(std::string_view member) const {
  const auto it = members_.find(member);
  return it == members_.end() ? "" : it->second.member.zone;
}

std::string MemberView::Home(std::string_view server,
                             std::string_view zone) const {
  std::string near = Top(server, [&](const std::string&, const Known& known) {
    return known.member.zone == zone && Stays(known);
  });
  if (!near.empty()) {
    return near;
  }
  return Top(server, [&](const std::string&, const Known& known) {
    return Stays(known);
  });
}

}  // namespace gcw::dispatch
