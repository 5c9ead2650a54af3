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
                       absl::Duration retention)
    : self_(std::move(self)), zone_(std::move(zone)), retention_(retention) {
  MemberRecord& record = members_[self_];
  record.member = Member{self_, zone_, MemberState::kLive, 0};
  record.present = true;
}

std::vector<std::string> MemberView::Apply(std::span<const Member> members,
                                           absl::Time now) {
  joined_ = true;
  std::set<std::string> before;
  for (auto& [name, record] : members_) {
    if (record.present) {
      before.insert(name);
      record.last_seen = now;
    }
    record.present = name == self_;
  }
  for (const Member& member : members) {
    MemberRecord& record = members_[member.name];
    const bool leaving = member.state == MemberState::kLeaving;
    // A member that was leaving and is not leaving now must have restarted.
    const bool returned = !leaving && before.contains(member.name) &&
                          record.leaving_since != absl::InfiniteFuture();
    if (!leaving && member.name != self_) {
      record.leaving_since = absl::InfiniteFuture();
    } else if (leaving && record.leaving_since == absl::InfiniteFuture()) {
      record.leaving_since = now;
    }
    const bool was_leaving = record.member.state == MemberState::kLeaving;
    record.member = member;
    if (member.name == self_ && was_leaving) {
      record.member.state = MemberState::kLeaving;
    }
    record.present = true;
    record.last_seen = now;
    if (!returned) {
      before.erase(member.name);
    }
  }
  before.erase(self_);
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.present && entry.second.last_seen + retention_ < now;
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
    zone_sets_.back().until = now + retention_;
  }
  zone_sets_.push_back({std::move(zones), absl::InfiniteFuture()});
  while (zone_sets_.front().until < now) {
    zone_sets_.pop_front();
  }
}

void MemberView::BeginLeaving(absl::Time now) {
  MemberRecord& self = members_[self_];
  self.member.state = MemberState::kLeaving;
  self.leaving_since = std::min(self.leaving_since, now);
}

void MemberView::SetResponsive(const std::string& member, bool responsive) {
  const auto it = members_.find(member);
  if (it != members_.end()) {
    it->second.responsive = responsive;
  }
}

bool MemberView::IsActive(const MemberRecord& record) {
  return record.present && record.member.state != MemberState::kLeaving;
}

bool MemberView::Contains(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.present;
}

bool MemberView::IsResponsive(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.present && it->second.responsive;
}

bool MemberView::IsUsable(std::string_view member) const {
  const auto it = members_.find(member);
  return it != members_.end() && it->second.responsive && IsActive(it->second);
}

std::vector<std::string> MemberView::OtherMembers() const {
  std::vector<std::string> names;
  for (const auto& [name, record] : members_) {
    if (record.present && name != self_) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t MemberView::Rank() const {
  std::size_t rank = 0;
  for (const auto& [name, record] : members_) {
    rank += record.present && name < self_ ? 1 : 0;
  }
  return rank;
}

template <typename Filter>
std::string MemberView::HighestRanked(std::string_view key,
                                      Filter filter) const {
  const std::uint64_t hash = StableHash(key);
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto& [name, record] : members_) {
    const std::uint64_t score = Score(hash, name);
    if (filter(name, record) && (best.empty() || score > best_score)) {
      best = name;
      best_score = score;
    }
  }
  return best;
}

std::string MemberView::OwnerOf(std::string_view id) const {
  const std::string owner =
      HighestRanked(id, [&](const std::string& name, const MemberRecord&) {
        return IsUsable(name);
      });
  return owner.empty() ? self_ : owner;
}

std::vector<MemberView::Witness> MemberView::WitnessesOf(
    std::string_view id) const {
  std::vector<Witness> witnesses;
  if (zone_sets_.empty()) {
    return witnesses;
  }
  for (const std::string& zone : zone_sets_.back().zones) {
    witnesses.push_back(
        {zone,
         HighestRanked(id, [&](const std::string&, const MemberRecord& record) {
           return record.member.zone == zone && IsActive(record);
         })});
  }
  return witnesses;
}

bool MemberView::KnowsAllGrants(std::string_view id, absl::Time now) const {
  const absl::Time leaving = members_.find(self_)->second.leaving_since;
  // The successor may count as certain one retention time after it saw this
  // daemon leave. This daemon stops after half of that time, so that the two do
  // not overlap.
  if (now - observing_since_ < retention_ || now - leaving > retention_ / 2) {
    return false;
  }
  const std::string highest =
      HighestRanked(id, [&](const std::string&, const MemberRecord& record) {
        const absl::Time seen = record.present ? now : record.last_seen;
        const absl::Time acts_until =
            std::min(seen, record.leaving_since) + retention_;
        return record.member.zone == zone_ && acts_until >= now;
      });
  return highest == self_;
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

std::string MemberView::HomeOf(std::string_view server,
                               std::string_view zone) const {
  std::string in_zone = HighestRanked(
      server, [&](const std::string&, const MemberRecord& record) {
        return record.member.zone == zone && IsActive(record);
      });
  if (!in_zone.empty()) {
    return in_zone;
  }
  return HighestRanked(server,
                       [&](const std::string&, const MemberRecord& record) {
                         return IsActive(record);
                       });
}

}  // namespace gcw::dispatch
