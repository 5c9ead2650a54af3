#include "src/routing/holders.h"

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::routing {

namespace {

// Number of bits in RelayHeader::visited.
constexpr unsigned kVisitedBits = 16;
// The last two ranks are reserved for leaving members.
constexpr std::size_t kMaxRemainingMembers = Holders::kMaxRanks - 2;

}  // namespace

Holders::Holders(std::string self, std::string zone)
    : name_(std::move(self)),
      zone_(std::move(zone)),
      ranked_members_(kPartitions),
      former_holders_(kPartitions) {
  for (HolderPair& pair : former_holders_) {
    pair.fill(kNoMember);
  }
  for (RankedMembers& ranks : ranked_members_) {
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
  std::uint64_t view_hash = 0;
  for (const Member& member : members_) {
    hashes_.push_back(StableHash(member.name));
    if (member.state != MemberState::kLeaving) {
      view_hash = MixHash(view_hash, hashes_.back());
    }
  }
  AssignVisitedBits();
  SaveFormerHolders(old);
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    RankMembers(partition);
  }
  return std::exchange(view_hash_, view_hash) != view_hash;
}

bool Holders::IsHolder(std::uint16_t index, std::uint32_t partition) const {
  const RankedMembers& ranks = ranked_members_[partition];
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

void Holders::SaveFormerHolders(std::span<const Member> old) {
  std::vector<std::uint16_t> new_indices;
  for (const Member& member : old) {
    new_indices.push_back(Find(member.name));
  }
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    for (std::size_t i = 0; i < kHolderCount; ++i) {
      const std::uint16_t before = ranked_members_[partition][i];
      former_holders_[partition][i] =
          before == kNoMember ? kNoMember : new_indices[before];
    }
  }
}

void Holders::AssignVisitedBits() {
  // The hash of its name selects the bit of a member, so that a new member
  // changes the bits of few others.
  std::uint16_t used = 0;
  visited_bits_.clear();
  for (const std::uint64_t hash : hashes_) {
    auto bit = static_cast<unsigned>(hash % kVisitedBits);
    for (unsigned i = 0; i < kVisitedBits && ((used >> bit) & 1U) != 0; ++i) {
      bit = (bit + 1) % kVisitedBits;
    }
    used |= static_cast<std::uint16_t>(1U << bit);
    visited_bits_.push_back(static_cast<std::uint16_t>(1U << bit));
  }
}

void Holders::RankMembers(std::uint32_t partition) {
  struct Candidate {
    std::uint64_t score;
    std::uint16_t index;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(members_.size());
  std::vector<Candidate> leaving;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const bool remains = members_[i].state != MemberState::kLeaving;
    (remains ? candidates : leaving)
        .push_back(
            {MixHash(hashes_[i], partition), static_cast<std::uint16_t>(i)});
  }
  const auto better = [](const Candidate& a, const Candidate& b) {
    return a.score > b.score;
  };
  std::sort(candidates.begin(), candidates.end(), better);
  std::sort(leaving.begin(), leaving.end(), better);
  if (candidates.empty()) {
    std::swap(candidates, leaving);
  }
  // The second holder is the member with the highest score in another zone.
  const std::string& zone = members_[candidates.front().index].zone;
  const auto second = std::find_if(
      candidates.begin() + 1, candidates.end(),
      [&](const Candidate& c) { return members_[c.index].zone != zone; });
  if (second != candidates.end()) {
    std::rotate(candidates.begin() + 1, second, second + 1);
  }
  RankedMembers& ranks = ranked_members_[partition];
  ranks.fill(kNoMember);
  const std::size_t remaining =
      std::min(kMaxRemainingMembers, candidates.size());
  for (std::size_t i = 0; i < remaining; ++i) {
    ranks[i] = candidates[i].index;
  }
  const std::size_t last = std::min(kMaxRanks - remaining, leaving.size());
  for (std::size_t i = 0; i < last; ++i) {
    ranks[remaining + i] = leaving[i].index;
  }
}

}  // namespace gcw::routing
