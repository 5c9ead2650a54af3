#ifndef GCW_DISPATCH_MEMBER_VIEW_H_
#define GCW_DISPATCH_MEMBER_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/snapshot.h"
#include "gcw/dispatch/dispatcher.h"

namespace gcw::dispatch {

// Who does what among the daemons, as this daemon sees it: the owner and the
// witnesses of a request and the home of a backend server, all by rendezvous.
// Not thread-safe.
class MemberView {
 public:
  // The witness of one availability zone for one request.
  struct Witness {
    std::string zone;
    std::string member;  // Empty: the zone has no live daemon.
  };

  // `memory`: a daemon that was seen may still act this long.
  MemberView(std::string self, std::string zone, absl::Duration retention);

  // Takes the members over and returns the names that are gone.
  std::vector<std::string> Apply(std::span<const Member> members,
                                 absl::Time now);
  void ApplyZones(const config::Snapshot& snapshot, absl::Time now);

  // This daemon may have missed events: it is as good as new from `now` on.
  void RestartObservation(absl::Time now) { observing_since_ = now; }

  // This daemon leaves: it takes no new role.
  void BeginLeaving(absl::Time now);

  // Own evidence on whether a member reacts; counts until told otherwise.
  void SetResponsive(const std::string& member, bool responsive);

  // Whether the members were ever told: before, this daemon knows of none.
  bool joined() const { return joined_; }

  bool Contains(std::string_view member) const;
  // Present and reacting, maybe leaving.
  bool IsResponsive(std::string_view member) const;
  // Present, not leaving, and reacting.
  bool IsUsable(std::string_view member) const;
  // All other members.
  std::vector<std::string> OtherMembers() const;
  std::size_t size() const { return members_.size(); }
  // Number of this daemon in the order of names, from 0.
  std::size_t Rank() const;

  // The usable daemon that decides about request `id`.
  std::string OwnerOf(std::string_view id) const;

  // One witness for each availability zone.
  std::vector<Witness> WitnessesOf(std::string_view id) const;

  // Whether this daemon knows of every grant that its zone's witness gave for
  // `id` within the last `memory`.
  bool KnowsAllGrants(std::string_view id, absl::Time now) const;

  // Whether `zones` are a majority of the zones, under each set of zones that
  // was in force within the last `memory`.
  bool IsMajority(const std::set<std::string>& zones, absl::Time now) const;
  bool IsEveryZone(const std::set<std::string>& zones, absl::Time now) const;

  std::size_t zone_count() const {
    return zone_sets_.empty() ? 0 : zone_sets_.back().zones.size();
  }
  std::string ZoneOf(std::string_view member) const;

  // The daemon that counts the slots of a backend server.
  std::string HomeOf(std::string_view server, std::string_view zone) const;

  const std::string& self() const { return self_; }
  absl::Time observing_since() const { return observing_since_; }

 private:
  struct MemberRecord {
    Member member;
    absl::Time last_seen = absl::InfinitePast();
    absl::Time leaving_since = absl::InfiniteFuture();
    bool present = false;
    bool responsive = true;
  };
  struct ZoneSet {
    std::set<std::string> zones;
    absl::Time until;  // InfiniteFuture for the present one.
  };

  static bool IsActive(const MemberRecord& record);

  template <typename Filter>
  std::string HighestRanked(std::string_view key, Filter filter) const;

  std::string self_;
  std::string zone_;
  absl::Duration retention_;
  bool joined_ = false;
  absl::Time observing_since_ = absl::InfinitePast();
  std::map<std::string, MemberRecord, std::less<>> members_;
  std::deque<ZoneSet> zone_sets_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_MEMBER_VIEW_H_
