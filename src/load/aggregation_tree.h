#ifndef GCW_LOAD_AGGREGATION_TREE_H_
#define GCW_LOAD_AGGREGATION_TREE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/load/aggregator.h"
#include "gcw/load/figures.h"
#include "gcw/load/message.h"
#include "src/load/partial_sum.h"
#include "src/load/tree.h"

namespace gcw::load {

// This daemon's own figures and when they were measured.
struct OwnFigures {
  Figures figures;
  absl::Time measured = absl::InfinitePast();
};

// One of the two trees of an Aggregator. Has no I/O. Not thread-safe.
class AggregationTree {
 public:
  // `options` must outlive the tree.
  AggregationTree(const Options& options, std::uint8_t tree);

  // Replaces the daemons. `own_zone` holds the names of this daemon's zone
  // including its own, in the order of this tree; `roots` the first name of
  // each other zone in that order and the number of its daemons, by zone.
  struct Root {
    std::string name;
    std::size_t daemons = 0;
  };
  void SetPeers(std::span<const std::string> own_zone,
                std::map<NameHash, Root> roots,
                absl::Time now);

  // Handles a message of this tree and appends the messages to pass on to
  // `out`. Returns false if the sender has no such part in this tree.
  bool OnMessage(std::string_view from,
                 const Message& message,
                 const OwnFigures& own,
                 absl::Time now,
                 std::vector<OutgoingMessage>* out);

  // Appends the messages that are due to `out`.
  void OnTick(const OwnFigures& own,
              absl::Time now,
              std::vector<OutgoingMessage>* out);

  // The other tree has started a round; the next round of this tree starts half
  // an interval later, if this daemon is its root.
  void OnOtherRound(absl::Time now);

  // The newest sum over the fleet, without zones whose figures are too old.
  FleetFigures Total(const OwnFigures& own, absl::Time now) const;

 private:
  // Figures that another daemon has sent.
  struct Received {
    FleetFigures figures;
    absl::Time received = absl::InfinitePast();
    // Of single servers, which come with some messages only.
    std::vector<ServerLoad> servers;
    absl::Time servers_received = absl::InfinitePast();
    std::uint32_t sequence = 0;
  };

  bool OnTotal(std::string_view from,
               const Message& message,
               const OwnFigures& own,
               absl::Time now);
  bool OnPartial(std::string_view from,
                 const Message& message,
                 const OwnFigures& own,
                 absl::Time now);
  bool OnZone(std::string_view from,
              const Message& message,
              const OwnFigures& own,
              absl::Time now);
  // Stores the figures of `message`, of at most `max_daemons` daemons.
  void Store(const Message& message,
             std::size_t max_daemons,
             const Reference& reference,
             absl::Time now,
             Received* received) const;
  // The mean load of a daemon by what is known without the messages of
  // `sender`.
  Reference ReferenceWithout(std::string_view sender,
                             const OwnFigures& own) const;
  // The known daemons of the fleet.
  std::size_t fleet_size() const;

  void StartRound(const OwnFigures& own,
                  absl::Time now,
                  std::vector<OutgoingMessage>* out);
  // Sends the sum over the subtree up the tree, or at the root to the other
  // roots, if the round is complete.
  void FinishRound(const OwnFigures& own,
                   absl::Time now,
                   std::vector<OutgoingMessage>* out);
  void SendToChildren(const Message& message,
                      std::vector<OutgoingMessage>* out) const;
  bool AllChildrenAnswered() const;
  bool is_idle(const OwnFigures& own, absl::Time now) const;
  // Whether kPartial and kTotal of the current round include single servers.
  // kTotal does so a round later, when the servers were just collected.
  bool PartialHasServers() const;
  bool TotalHasServers() const;

  // Adds `received` to `sum` if none of its parts is older than `max_age`.
  void AddRecent(const Received& received,
                 bool with_servers,
                 absl::Duration max_age,
                 absl::Time now,
                 PartialSum* sum) const;
  FleetFigures SubtreeSum(const OwnFigures& own, absl::Time now) const;
  // At the root: the sum over this zone and what the other roots have sent.
  FleetFigures RootTotal(const OwnFigures& own, absl::Time now) const;

  const Options& options_;
  const std::uint8_t tree_;
  const NameHash zone_;
  TreePosition position_;
  std::size_t zone_size_ = 1;  // Known daemons of the own zone.
  std::map<NameHash, Root> roots_;
  std::map<std::string, Received, std::less<>> children_;
  std::map<NameHash, Received> zones_;  // From the other roots.
  Received total_;                      // From the parent.
  std::uint32_t sequence_ = 0;          // Of the current round.
  bool collecting_ = false;  // This daemon has not yet answered the round.
  absl::Time collect_until_ = absl::InfinitePast();
  absl::Duration round_interval_;  // Until the next round, at the root.
  absl::Time next_round_ = absl::InfinitePast();
  absl::Time last_round_ = absl::InfinitePast();
};

}  // namespace gcw::load

#endif  // GCW_LOAD_AGGREGATION_TREE_H_
