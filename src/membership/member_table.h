#ifndef GCW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define GCW_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/membership/membership.h"

namespace gcw::membership {

// Returns the update that announces the state of `member`.
MemberUpdate ToUpdate(const Member& member);

// Holds what this daemon knows of the other members, and decides which updates
// about them replace earlier ones. Not thread-safe.
class MemberTable {
 public:
  // The result of merging an update.
  struct MergeResult {
    // The table changed, so the update should be gossiped.
    bool changed = false;
    std::optional<MemberEvent> event;
  };

  // Merges an update. The higher incarnation wins; at equal incarnations, the
  // states win in the order left, dead, suspect, alive. An unknown member is
  // added only if the update says that it is alive or suspected.
  MergeResult Merge(const MemberUpdate& update, absl::Time now);

  // Records that a message of the member `name` has arrived. Ignores messages
  // with an older incarnation than the known one.
  void RecordMessage(std::string_view name,
                     Incarnation incarnation,
                     std::uint64_t revision,
                     absl::Time now);

  // Changes a dead member to a suspect, because a message from it has arrived.
  MergeResult Revive(std::string_view name, absl::Time now);

  // Restarts the suspicion timeout of every suspect.
  void RestartSuspicionTimers(absl::Time now);

  // Removes members that died or left before `cutoff`.
  void RemoveExpired(absl::Time cutoff);

  // The member `name`, or null. Pointers to members are valid until the next
  // non-const call.
  const Member* Find(std::string_view name) const;
  bool HasLiveMemberAt(const Endpoint& address) const;
  std::vector<Member> AllMembers() const;
  // The members in `state`, sorted by name.
  std::vector<const Member*> MembersInState(MemberState state) const;
  std::vector<const Member*> LiveMembers() const;
  // Up to `count` members whose names sort after `after`, sorted by name.
  std::vector<const Member*> Page(std::string_view after,
                                  std::size_t count) const;
  std::size_t live_count() const { return live_count_; }
  std::size_t suspect_count() const { return suspect_count_; }
  // A hash of the names and incarnations of all live members.
  std::uint32_t digest() const { return digest_; }

 private:
  // Adds (`sign` 1) or removes (`sign` -1) a member in the counts and digest.
  void UpdateCounters(const Member& member, int sign);
  MergeResult AddMember(const MemberUpdate& update, absl::Time now);

  std::map<std::string, Member, std::less<>> members_;
  std::size_t live_count_ = 0;
  std::size_t suspect_count_ = 0;
  std::uint32_t digest_ = 0;
};

// The hash of one member. A digest is the XOR of the hashes of all members.
std::uint32_t MemberDigest(std::string_view name, Incarnation incarnation);

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
