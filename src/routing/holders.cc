#include "src/routing/holders.h"

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::routing {

namespace {

constexpr unsigned kVisitedBits = 16;
// Ranks kept free for members that leave.
constexpr std::size_t kMaxStaying = Holders::kMaxRanks - 2;

}  // namespace

Holders::Holders(std::string self, std::string zone)
    : name_(std::move(self)),
      zone_(std::move(zone)),
      ranks_(kParts),
      former_(kParts) {
  for (Pair& pair : former_) {
    pair.fill(kNoMember);
  }
  for (Ranks& ranks : ranks_) {
    ranks.fill(kNoMember);
  }
  Apply({});
}

bool Holders::Apply(std::span<const Member> members) {
  std::vector<Member> sorted(members.begin(), members.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  const auto own =
      std::find_if(sorted.begin(), sorted.end(),
                   [&](const Member& m) { return m.name == name_; });
  if (own == sorted.end()) {
    Member self;
    self.name = name_;
    self.zone = zone_;
    const auto place =
        std::find_if(sorted.begin(), sorted.end(),
                     [&](const Member& m) { return m.name > name_; });
    sorted.insert(place, std::move(self));
  }
  const std::vector<Member> old = std::exchange(members_, std::move(sorted));
  self_ = Find(name_);
  hashes_.clear();
  std::uint64_t view = 0;
  for (const Member& member : members_) {
    hashes_.push_back(StableHash(member.name));
    if (member.state != MemberState::kLeaving) {
      view = MixHash(view, hashes_.back());
    }
  }
  AssignBits();
  KeepFormer(old);
  for (std::uint32_t part = 0; part < kParts; ++part) {
    Rank(part);
  }
  return std::exchange(view_, view) != view;
}

bool Holders::Holds(std::uint16_t index, std::uint32_t part) const {
  const Ranks& ranks = ranks_[part];
  return index != kNoMember && (ranks[0] == index || ranks[1] == index);
}

std::uint16_t Holders::Find(std::string_view name) const {
  const auto found = std::lower_bound(
      members_.begin(), members_.end(), name,
      [](const Member& m, std::string_view n) { return m.name < n; });
  if (found == members_.end() || found->name != name) {
    return kNoMember;
  }
  return static_cast<std::uint16_t>(found - members_.begin());
}

void Holders::KeepFormer(std::span<const Member> old) {
  std::vector<std::uint16_t> moved;
  for (const Member& member : old) {
    moved.push_back(Find(member.name));
  }
  for (std::uint32_t part = 0; part < kParts; ++part) {
    for (std::size_t i = 0; i < kHolders; ++i) {
      const std::uint16_t before = ranks_[part][i];
      former_[part][i] = before == kNoMember ? kNoMember : moved[before];
    }
  }
}

void Holders::AssignBits() {
  // Names choose bits, so that a member that joins moves few of the others.
  std::uint16_t used = 0;
  bits_.clear();
  for (const std::uint64_t hash : hashes_) {
    auto bit = static_cast<unsigned>(hash % kVisitedBits);
    for (unsigned i = 0; i < kVisitedBits && ((used >> bit) & 1U) != 0; ++i) {
      bit = (bit + 1) % kVisitedBits;
    }
    used |= static_cast<std::uint16_t>(1U << bit);
    bits_.push_back(static_cast<std::uint16_t>(1U << bit));
  }
}

void Holders::Rank(std::uint32_t part) {
  struct Candidate {
    std::uint64_t score;
    std::uint16_t index;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(members_.size());
  std::vector<Candidate> leaving;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const bool stays = members_[i].state != MemberState::kLeaving;
    (stays ? candidates : leaving)
        .push_back({MixHash(hashes_[i], part), static_cast<std::uint16_t>(i)});
  }
  const auto better = [](const Candidate& a, const Candidate& b) {
    return a.score > b.score;
  };
  std::sort(candidates.begin(), candidates.end(), better);
  std::sort(leaving.begin(), leaving.end(), better);
  if (candidates.empty()) {
    std::swap(candidates, leaving);
  }
  // The second holder is the best in another zone.
  const std::string& zone = members_[candidates.front().index].zone;
  const auto second = std::find_if(
      candidates.begin() + 1, candidates.end(),
      [&](const Candidate& c) { return members_[c.index].zone != zone; });
  if (second != candidates.end()) {
    std::rotate(candidates.begin() + 1, second, second + 1);
  }
  Ranks& ranks = ranks_[part];
  ranks.fill(kNoMember);
  const std::size_t staying = std::min(kMaxStaying, candidates.size());
  for (std::size_t i = 0; i < staying; ++i) {
    ranks[i] = candidates[i].index;
  }
  const std::size_t last = std::min(kMaxRanks - staying, leaving.size());
  for (std::size_t i = 0; i < last; ++i) {
    ranks[staying + i] = leaving[i].index;
  }
}

}  // namespace gcw::routing
