#ifndef GCW_SRC_MEMBERSHIP_PROBE_ORDER_H_
#define GCW_SRC_MEMBERSHIP_PROBE_ORDER_H_

#include <cstddef>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/membership/member_table.h"

namespace gcw::membership {

// Chooses the next member to probe. In a small deployment, this is the member
// that has been silent for the longest time, which bounds the silence of every
// member. In a large deployment, all daemons would choose the same silent
// member and overload it. There, members are probed in shuffled rounds instead,
// mostly those of the own zone. Not thread-safe.
class ProbeOrder {
 public:
  // `options` and `random` must outlive the object.
  ProbeOrder(const Options& options, std::mt19937_64& random)
      : options_(options), random_(random) {}

  // Returns the name of the next member to probe, or nothing if there is none.
  // In a small deployment, skips `probed_members`, whose probes are not
  // answered yet.
  std::optional<std::string> NextTarget(
      const MemberTable& table,
      const std::set<std::string>& probed_members);

  // Returns up to `count` random alive members that can probe `target`. Prefers
  // members of the target's zone.
  std::vector<const Member*> IndirectProbeHelpers(const MemberTable& table,
                                                  const Member& target,
                                                  std::size_t count);

 private:
  // A shuffled list of members, each of which is probed once.
  struct Round {
    std::vector<std::string> names;
    std::size_t next_index = 0;
  };

  std::optional<std::string> NextInRound(Round& round,
                                         const MemberTable& table,
                                         bool same_zone);
  static std::optional<std::string> LeastRecentlyHeard(
      const MemberTable& table,
      const std::set<std::string>& probed_members);

  const Options& options_;
  std::mt19937_64& random_;
  Round same_zone_round_;
  Round other_zones_round_;
  std::size_t probes_ = 0;
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_PROBE_ORDER_H_
