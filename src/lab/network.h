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

// The kind of link that carries a packet or stream. Each kind can have faults
// of its own.
enum class LinkKind {
  kPeers,    // Datagrams between daemons.
  kServers,  // Datagrams between daemons and servers.
  kCallers,  // Packets between callers and daemons.
  kControl,  // TCP streams between daemons.
};

// Faults that a link applies to each packet, on top of its usual delay.
struct LinkFaults {
  double loss = 0;       // Probability.
  double duplicate = 0;  // Probability.
  double reorder = 0;    // Probability of an extra delay.
  absl::Duration delay;
  absl::Duration jitter;  // Upper end of a uniform addition to `delay`.
};

// The faults of the links of one kind, between all zones or, if `zones` is set,
// between these two zones in both directions.
struct LinkRule {
  LinkKind kind = LinkKind::kPeers;
  std::optional<std::pair<ZoneIndex, ZoneIndex>> zones;
  LinkFaults faults;
};

// Emulates the network between zones: delivers packets with delay, loss,
// duplication, reordering and partitions. Not thread-safe.
class Network {
 public:
  // `scheduler` and `world` must outlive the network; `seed` determines which
  // packets get faults.
  Network(Scheduler& scheduler, const World& world, std::uint64_t seed);

  // Of the rules that match a link, the one added last applies.
  void AddRule(const LinkRule& rule) { rules_.push_back(rule); }
  void ClearRules() { rules_.clear(); }

  // Calls `deliver` after the link's delay: once, twice if the packet is
  // duplicated, or not at all if it is lost or the zones are partitioned.
  void Carry(LinkKind kind,
             ZoneIndex from,
             ZoneIndex to,
             std::function<void()> deliver);

  // The delay of a chunk of a stream. A stream loses no bytes: loss adds the
  // time that a retransmission takes. Ignores partitions.
  absl::Duration StreamDelay(LinkKind kind, ZoneIndex from, ZoneIndex to);

 private:
  LinkFaults FindFaults(LinkKind kind, ZoneIndex from, ZoneIndex to) const;
  absl::Duration BaseDelay(LinkKind kind, ZoneIndex from, ZoneIndex to) const;
  void DeliverOnce(absl::Duration delay, std::function<void()> deliver);

  Scheduler& scheduler_;
  const World& world_;
  Random random_;
  std::vector<LinkRule> rules_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_NETWORK_H_
