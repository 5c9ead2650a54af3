#include "src/routing/holders.h"

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::routing {

namespace {

constexpr unsigned kVisitedBits = 16;

}  // namespace

Holders::Holders(std::string self, std::string zone)
    : name_(std::move(self)), zone_(std::move(zone)), ranks_(kParts) {
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
  members_ = std::move(sorted);
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
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].state != MemberState::kLeaving) {
      candidates.push_back(
          {MixHash(hashes_[i], part), static_cast<std::uint16_t>(i)});
    }
  }
  if (candidates.empty()) {
    candidates.push_back({0, self_});
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
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
  for (std::size_t i = 0; i < std::min(kMaxRanks, candidates.size()); ++i) {
    ranks[i] = candidates[i].index;
  }
}

}  // namespace gcw::routing
