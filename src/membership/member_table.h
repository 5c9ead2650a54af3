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

// The statement that a record stands for.
MemberUpdate ToGossip(const Member& member);

// What is known of the other members, and the rules by which statements about
// them replace each other. Not thread-safe.
class MemberTable {
 public:
  // The outcome of a statement.
  struct Outcome {
    bool news = false;  // It changed the table and is worth passing on.
    std::optional<MemberEvent> event;
  };

  // A higher incarnation wins; at equal ones left beats dead beats suspect
  // beats alive. Deaths of unknown members are ignored.
  Outcome Merge(const MemberUpdate& gossip, absl::Time now);

  // Notes that a message with this incarnation and revision arrived.
  void Heard(std::string_view name,
             Incarnation incarnation,
             std::uint64_t revision,
             absl::Time now);

  // Takes a member that is held for dead as a suspect again: it was heard from.
  Outcome Revive(std::string_view name, absl::Time now);

  // Starts the suspicion of every suspect anew.
  void RestartSuspicions(absl::Time now);

  // Forgets members that are dead or left since before `limit`.
  void Forget(absl::Time limit);

  const Member* Find(std::string_view name) const;
  bool HasLiveAt(const Endpoint& address) const;
  std::vector<Member> All() const;
  // Members of `state`, in order of name.
  std::vector<const Member*> InState(MemberState state) const;
  std::vector<const Member*> Live() const;
  // Up to `count` members with names above `after`, in order of name.
  std::vector<const Member*> Page(std::string_view after,
                                  std::size_t count) const;
  std::size_t live_count() const { return live_count_; }
  std::size_t suspect_count() const { return suspect_count_; }
  // Of live members; equal for equal sets of names and incarnations.
  std::uint32_t digest() const { return digest_; }

 private:
  void Count(const Member& member, int sign);
  Outcome Insert(const MemberUpdate& gossip, absl::Time now);

  std::map<std::string, Member, std::less<>> members_;
  std::size_t live_count_ = 0;
  std::size_t suspect_count_ = 0;
  std::uint32_t digest_ = 0;
};

// The share of a member in the digest.
std::uint32_t DigestOf(std::string_view name, Incarnation incarnation);

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
