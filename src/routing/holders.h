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

// Assigns the holders of flow records: for each partition of the hash space, a
// ranking of the daemons by rendezvous hashing. The first two are the holders,
// in two availability zones if there are two. Not thread-safe.
class Holders {
 public:
  // The space of flow keys is divided into 2^kPartitionBits partitions (of the
  // hash space, not of the network), each with its own holders.
  static constexpr unsigned kPartitionBits = 10;
  static constexpr std::uint32_t kPartitions = 1U << kPartitionBits;
  // Members that are ranked for each partition, at most.
  static constexpr std::size_t kMaxRanks = 6;
  static constexpr std::size_t kHolderCount = 2;

  // Indices of members, best first.
  using RankedMembers = std::array<std::uint16_t, kMaxRanks>;

  // `self` and `zone` name this daemon, which is a member even if it is not
  // listed. It counts as alive unless `members` says otherwise.
  Holders(std::string self, std::string zone);

  // Replaces the members. Returns whether the set of members that are not
  // leaving changed, and with it the holders of some partition.
  bool Apply(std::span<const Member> members);

  static std::uint32_t PartitionOf(FlowKey key) {
    return TopBits(key, kPartitionBits);
  }

  // Returns the members ranked for `partition`; kNoMember ends the list.
  // Leaving members rank last: they may have records that the others lack.
  const RankedMembers& RankedMembersOf(std::uint32_t partition) const {
    return ranked_members_[partition];
  }
  // Stands for no member in a ranking.
  static constexpr std::uint16_t kNoMember = 0xffff;

  // Returns the two holders of `partition` before the last Apply, with
  // kNoMember for a holder that is no longer a member. Daemons learn of a
  // change of members at different times, so for a while new records are sent
  // to the former holders as well.
  using HolderPair = std::array<std::uint16_t, kHolderCount>;
  const HolderPair& FormerHoldersOf(std::uint32_t partition) const {
    return former_holders_[partition];
  }

  // Whether member `index` is one of the two holders of `partition`.
  bool IsHolder(std::uint16_t index, std::uint32_t partition) const;

  std::span<const Member> members() const { return members_; }
  // Index of this daemon in `members()`.
  std::uint16_t self() const { return self_; }
  // Returns the index of the member `name`, or kNoMember.
  std::uint16_t Find(std::string_view name) const;
  // Returns the bit of member `index` in RelayHeader::visited.
  std::uint16_t visited_bit(std::uint16_t index) const {
    return visited_bits_[index];
  }
  // A hash of the names of all members that are not leaving. Daemons with equal
  // hashes assign the same holders.
  std::uint64_t view_hash() const { return view_hash_; }
  // Whether this daemon is leaving.
  bool leaving() const {
    return members_[self_].state == MemberState::kLeaving;
  }

 private:
  void AssignVisitedBits();
  void SaveFormerHolders(std::span<const Member> old);
  void RankMembers(std::uint32_t partition);

  std::string name_;
  std::string zone_;
  std::vector<Member> members_;  // Ordered by name.
  // Hash of the name of each member.
  std::vector<std::uint64_t> hashes_;
  std::vector<std::uint16_t> visited_bits_;
  std::vector<RankedMembers> ranked_members_;
  std::vector<HolderPair> former_holders_;
  std::uint16_t self_ = 0;
  std::uint64_t view_hash_ = 0;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_HOLDERS_H_
