#ifndef GCW_SRC_ROUTING_HOLDERS_H_
#define GCW_SRC_ROUTING_HOLDERS_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "gcw/routing/routing_policy.h"
#include "src/routing/flow_key.h"

namespace gcw::routing {

// Which daemons hold the records of a flow, best first. The first two are its
// holders, in two availability zones if there are two.
class Holders {
 public:
  // Flows are spread over the daemons in 2^kPartBits parts.
  static constexpr unsigned kPartitionBits = 10;
  static constexpr std::uint32_t kPartitions = 1U << kPartitionBits;
  static constexpr std::size_t kMaxRanks = 6;
  static constexpr std::size_t kHolderCount = 2;

  using RankedMembers = std::array<std::uint16_t, kMaxRanks>;

  // `self` is always taken to be a member, alive unless `members` says other.
  Holders(std::string self, std::string zone);

  // Replaces the members. Returns whether duties changed for anybody.
  bool Apply(std::span<const Member> members);

  static std::uint32_t PartitionOf(FlowKey key) {
    return TopBits(key, kPartitionBits);
  }

  // Indices of members by rank for `part`; kNoMember ends the list. Leaving
  // members rank last: they may know flows that the others do not.
  const RankedMembers& RankedMembersOf(std::uint32_t partition) const {
    return ranked_members_[partition];
  }
  static constexpr std::uint16_t kNoMember = 0xffff;

  // The two holders of `part` before the last change of duties that are still
  // members; kNoMember for the others. Daemons learn of a change at different
  // times, so for a while these are told of new records as well.
  using HolderPair = std::array<std::uint16_t, kHolderCount>;
  const HolderPair& FormerHoldersOf(std::uint32_t partition) const {
    return former_holders_[partition];
  }

  // Whether member `index` is one of the two holders of `part`.
  bool IsHolder(std::uint16_t index, std::uint32_t partition) const;

  std::span<const Member> members() const { return members_; }
  std::uint16_t self() const { return self_; }
  // The index of the member called `name`, or kNoMember.
  std::uint16_t Find(std::string_view name) const;
  // The bit of member `index` in RelayHeader::visited.
  std::uint16_t visited_bit(std::uint16_t index) const {
    return visited_bits_[index];
  }
  // A hash of the members that hold duties: equal views have equal hashes.
  std::uint64_t view_hash() const { return view_hash_; }
  bool leaving() const {
    return members_[self_].state == MemberState::kLeaving;
  }

 private:
  void AssignVisitedBits();
  void SaveFormerHolders(std::span<const Member> old);
  void RankMembers(std::uint32_t partition);

  std::string name_;
  std::string zone_;
  std::vector<Member> members_;  // In order of name.
  std::vector<std::uint64_t> hashes_;
  std::vector<std::uint16_t> visited_bits_;
  std::vector<RankedMembers> ranked_members_;
  std::vector<HolderPair> former_holders_;
  std::uint16_t self_ = 0;
  std::uint64_t view_hash_ = 0;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_HOLDERS_H_
