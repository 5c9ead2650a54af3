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
  MemberView(std::string self, std::string zone, absl::Duration memory);

  // Takes the members over and returns the names that are gone.
  std::vector<std::string> Apply(std::span<const Member> members,
                                 absl::Time now);
  void ApplyZones(const config::Snapshot& snapshot, absl::Time now);

  // This daemon may have missed events: it is as good as new from `now` on.
  void NoteStart(absl::Time now) { since_ = now; }

  // This daemon leaves: it takes no new role.
  void NoteLeaving(absl::Time now);

  // Own evidence on whether a member reacts; counts until told otherwise.
  void SetResponsive(const std::string& member, bool responsive);

  // Whether the members were ever told: before, this daemon knows of none.
  bool joined() const { return joined_; }

  bool Has(std::string_view member) const;
  // Present and reacting, maybe leaving.
  bool Reacts(std::string_view member) const;
  // Present, not leaving, and reacting.
  bool Usable(std::string_view member) const;
  // All other members.
  std::vector<std::string> Others() const;
  std::size_t size() const { return members_.size(); }
  // Number of this daemon in the order of names, from 0.
  std::size_t Rank() const;

  // The usable daemon that decides about request `id`.
  std::string Owner(std::string_view id) const;

  // One witness for each availability zone.
  std::vector<Witness> Witnesses(std::string_view id) const;

  // Whether this daemon knows of every grant that its zone's witness gave for
  // `id` within the last `memory`.
  bool IsCertainWitness(std::string_view id, absl::Time now) const;

  // Whether `zones` are a majority of the zones, under each set of zones that
  // was in force within the last `memory`.
  bool IsMajority(const std::set<std::string>& zones, absl::Time now) const;
  bool IsEveryZone(const std::set<std::string>& zones, absl::Time now) const;

  std::size_t zone_count() const {
    return zone_sets_.empty() ? 0 : zone_sets_.back().zones.size();
  }
  std::string ZoneOf(std::string_view member) const;

  // The daemon that counts the slots of a backend server.
  std::string Home(std::string_view server, std::string_view zone) const;

  const std::string& self() const { return self_; }
  absl::Time since() const { return since_; }

 private:
  struct Known {
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

  static bool Stays(const Known& known);

  template <typename Filter>
  std::string Top(std::string_view key, Filter filter) const;

  std::string self_;
  std::string zone_;
  absl::Duration memory_;
  bool joined_ = false;
  absl::Time since_ = absl::InfinitePast();
  std::map<std::string, Known, std::less<>> members_;
  std::deque<ZoneSet> zone_sets_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_MEMBER_VIEW_H_
