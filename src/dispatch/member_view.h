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

// Assigns roles to daemons, as this daemon sees the membership: the owner and
// the witnesses of a request and the home of a backend server. All are chosen
// by rendezvous hashing. Not thread-safe.
class MemberView {
 public:
  // The witness of one availability zone for one request.
  struct Witness {
    std::string zone;
    std::string member;  // Empty if no daemon of the zone is active.
  };

  // `retention`: how long after it was last seen a daemon may still act as
  // owner, witness or home.
  MemberView(std::string self, std::string zone, absl::Duration retention);

  // Applies a new list of members. Returns the names of members that are gone
  // or that were replaced by a new start after they were leaving.
  std::vector<std::string> Apply(std::span<const Member> members,
                                 absl::Time now);
  // Applies the configured availability zones.
  void ApplyZones(const config::Snapshot& snapshot, absl::Time now);

  // This daemon may have missed grants before `now`. From now on it counts as a
  // daemon that started at `now`.
  void RestartObservation(absl::Time now) { observing_since_ = now; }

  // This daemon is leaving and is no longer chosen as owner, witness or home.
  void BeginLeaving(absl::Time now);

  // Records whether `member` reacts to this daemon's messages. Holds until the
  // next call.
  void SetResponsive(const std::string& member, bool responsive);

  // Whether Apply was ever called. Before, this daemon knows only itself.
  bool joined() const { return joined_; }

  // Whether `member` is a member now, maybe a leaving one.
  bool Contains(std::string_view member) const;
  // Whether `member` is a member that reacts, maybe a leaving one.
  bool IsResponsive(std::string_view member) const;
  // Whether `member` is a member that reacts and is not leaving.
  bool IsUsable(std::string_view member) const;
  // The names of all members but this daemon.
  std::vector<std::string> OtherMembers() const;
  // Number of daemons, including those gone for less than the retention.
  std::size_t size() const { return members_.size(); }
  // Position of this daemon among the members in the order of names, from 0.
  std::size_t Rank() const;

  // Returns the owner of request `id`, a usable daemon; this one if none is
  // usable.
  std::string OwnerOf(std::string_view id) const;

  // Returns one witness of request `id` for each availability zone.
  std::vector<Witness> WitnessesOf(std::string_view id) const;

  // Whether this daemon knows every grant that witnesses of its zone gave for
  // `id` within the retention time: it has observed the cluster for that long
  // and was the zone's witness of `id` all the time.
  bool KnowsAllGrants(std::string_view id, absl::Time now) const;

  // Whether `zones` include a majority of each set of zones that was configured
  // within the retention time.
  bool IsMajority(const std::set<std::string>& zones, absl::Time now) const;
  // Whether `zones` include all zones of each such set.
  bool IsEveryZone(const std::set<std::string>& zones, absl::Time now) const;

  // Number of configured availability zones.
  std::size_t zone_count() const {
    return zone_sets_.empty() ? 0 : zone_sets_.back().zones.size();
  }
  // Returns the zone of `member`, or an empty string if it is unknown.
  std::string ZoneOf(std::string_view member) const;

  // Returns the home of backend server `server`: the daemon that manages the
  // server's slots. It is in the server's zone `zone` if a daemon there is
  // active.
  std::string HomeOf(std::string_view server, std::string_view zone) const;

  // Name of this daemon.
  const std::string& self() const { return self_; }
  // Since when this daemon has observed the cluster without a gap.
  absl::Time observing_since() const { return observing_since_; }

 private:
  struct MemberRecord {
    Member member;
    absl::Time last_seen = absl::InfinitePast();
    absl::Time leaving_since = absl::InfiniteFuture();
    bool present = false;
    bool responsive = true;
  };
  // A set of configured zones and until when grants have to respect it.
  struct ZoneSet {
    std::set<std::string> zones;
    absl::Time until;  // InfiniteFuture for the current set.
  };

  // Whether a daemon is present and not leaving.
  static bool IsActive(const MemberRecord& record);

  // The daemon with the highest rendezvous score for `key` among those that
  // `filter` accepts, or an empty string.
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
