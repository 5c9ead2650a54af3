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

// Chooses whom to probe next. In a small deployment that is the member that has
// been silent for longest, which bounds the silence of each. In a larger one,
// each member of a group is probed once in a shuffled round, mostly in the own
// zone: all daemons choosing the same silent member would overwhelm it. Not
// thread-safe.
class ProbeOrder {
 public:
  // `options` and `random` must outlive the object.
  ProbeOrder(const Options& options, std::mt19937_64& random)
      : options_(options), random_(random) {}

  // The next member to probe, or nothing if there is none. `busy` are members
  // with a probe under way, which are passed over in a small deployment.
  std::optional<std::string> Next(const MemberTable& table,
                                  const std::set<std::string>& busy);

  // Up to `count` random live members other than `except`, of its zone if there
  // are enough of those.
  std::vector<const Member*> Helpers(const MemberTable& table,
                                     const Member& except,
                                     std::size_t count);

 private:
  struct Round {
    std::vector<std::string> names;
    std::size_t next = 0;
  };

  std::optional<std::string> NextOf(Round& round,
                                    const MemberTable& table,
                                    bool near);
  static std::optional<std::string> MostSilent(
      const MemberTable& table,
      const std::set<std::string>& busy);

  const Options& options_;
  std::mt19937_64& random_;
  Round near_;
  Round far_;
  std::size_t probes_ = 0;
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_PROBE_ORDER_H_
