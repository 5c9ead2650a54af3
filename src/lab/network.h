#ifndef SRC_LAB_NETWORK_H_
#define SRC_LAB_NETWORK_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/random.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

enum class LinkKind {
  kPeers,    // Datagrams between daemons.
  kServers,  // Daemons and backend servers.
  kCallers,  // Callers and daemons.
  kControl,  // Streams between daemons.
};

// What a link does to each packet beside its usual delay.
struct LinkFaults {
  double loss = 0;       // Probability.
  double duplicate = 0;  // Probability.
  double reorder = 0;    // Probability of being held back.
  absl::Duration delay;
  absl::Duration jitter;  // Uniform, added to the delay.
};

// Faults of the links of one kind, of all zones or of one pair of zones.
struct LinkRule {
  LinkKind kind = LinkKind::kPeers;
  std::optional<std::pair<ZoneIndex, ZoneIndex>> zones;
  LinkFaults faults;
};

// Carries packets between zones with delay, loss, duplication, reordering and
// partitions. Not thread-safe.
class Network {
 public:
  Network(Scheduler& scheduler, const World& world, std::uint64_t seed);

  void AddRule(const LinkRule& rule) { rules_.push_back(rule); }
  void ClearRules() { rules_.clear(); }

  // Calls `deliver` after the link's delay: once, twice, or never.
  void Carry(LinkKind kind,
             ZoneIndex from,
             ZoneIndex to,
             std::function<void()> deliver);

  // The delay of a stream's bytes, which are never lost: loss shows as the
  // time that a retransmission takes.
  absl::Duration StreamDelay(LinkKind kind, ZoneIndex from, ZoneIndex to);

 private:
  LinkFaults FaultsOf(LinkKind kind, ZoneIndex from, ZoneIndex to) const;
  absl::Duration BaseDelay(LinkKind kind, ZoneIndex from, ZoneIndex to) const;
  void DeliverOnce(absl::Duration delay, std::function<void()> deliver);

  Scheduler& scheduler_;
  const World& world_;
  Random random_;
  std::vector<LinkRule> rules_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_NETWORK_H_
