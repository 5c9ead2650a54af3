#include "src/lab/storm.h"

#include <algorithm>
#include <array>

#include "src/lab/random.h"

namespace gcw::lab {
namespace {

constexpr absl::Duration kEarliestEvent = absl::Seconds(1);
// No fault begins within this time before the end of the scenario, so that each
// fault ends before the scenario does.
constexpr absl::Duration kEndMargin = absl::Seconds(5);
// Minimum time between the losses of two daemons, in which the state of the
// first daemon is restored.
constexpr absl::Duration kMinLossInterval = absl::Seconds(6);

// Draws the faults of one storm and collects their events.
class StormGenerator {
 public:
  StormGenerator(const Topology& topology,
                 absl::Duration duration,
                 std::uint64_t seed)
      : topology_(topology), duration_(duration), random_(seed) {}

  std::vector<Event> Draw(std::uint32_t count) {
    const absl::Duration span = duration_ - kEarliestEvent - kEndMargin;
    for (std::uint32_t i = 0; i < count; ++i) {
      const absl::Duration at = kEarliestEvent + span * random_.Uniform();
      constexpr std::uint64_t kFaultChoices = 11;
      AddRandomFault(random_.Below(kFaultChoices), at);
    }
    std::stable_sort(
        events_.begin(), events_.end(),
        [](const Event& a, const Event& b) { return a.at < b.at; });
    return events_;
  }

 private:
  void AddRandomFault(std::uint64_t choice, absl::Duration at) {
    const absl::Duration length = absl::Seconds(1 + 2 * random_.Uniform());
    switch (choice) {
      case 0:
      case 1:
        AddServerEventPair(EventKind::kDrain, EventKind::kUndrain, at, length);
        break;
      case 2:
        AddDaemonLoss(random_.Chance(0.5) ? EventKind::kKill : EventKind::kStop,
                      at, length);
        break;
      case 3:
        AddDaemonLoss(EventKind::kPause, at, length);
        break;
      case 4:
        AddZoneOutage(at, length);
        break;
      case 5:
        Add(EventKind::kRestartServer, at).servers = {RandomServer()};
        break;
      case 6:
        Add(EventKind::kPlatformDown, at).length = length;
        break;
      case 7:
        AddLinkFaults(at, length);
        break;
      case 8:
        AddPartition(at, length);
        break;
      case 9:
        AddMisbehavior(at, length);
        break;
      default: {
        Event& event = Add(EventKind::kChurn, at);
        event.per_s = 2;
        event.length = length;
        break;
      }
    }
  }

  Event& Add(EventKind kind, absl::Duration at) {
    Event event;
    event.at = at;
    event.kind = kind;
    events_.push_back(event);
    return events_.back();
  }

  ServerIndex RandomServer() { return random_.Below(topology_.servers.size()); }

  void AddServerEventPair(EventKind begin,
                          EventKind end,
                          absl::Duration at,
                          absl::Duration length) {
    const ServerIndex server = RandomServer();
    Add(begin, at).servers = {server};
    Add(end, at + length).servers = {server};
  }

  // Adds the loss of a daemon, but skips a loss too close in time to another:
  // daemons are lost one at a time, so that each record keeps a live holder.
  void AddDaemonLoss(EventKind kind, absl::Duration at, absl::Duration length) {
    const bool too_close =
        std::any_of(losses_.begin(), losses_.end(), [&](absl::Duration other) {
          return at < other + kMinLossInterval && other < at + kMinLossInterval;
        });
    if (too_close) {
      return;
    }
    losses_.push_back(at);
    std::vector<DaemonIndex> candidates;
    for (DaemonIndex i = 0; i < topology_.daemons.size(); ++i) {
      if (!topology_.daemons[i].spare) {
        candidates.push_back(i);
      }
    }
    const DaemonIndex daemon = candidates[random_.Below(candidates.size())];
    Event& event = Add(kind, at);
    event.daemons = {daemon};
    event.length = length;
    if (kind != EventKind::kPause) {
      Add(EventKind::kStart, at + length).daemons = {daemon};
    }
  }

  void AddZoneOutage(absl::Duration at, absl::Duration length) {
    if (zone_outage_drawn_) {
      return;
    }
    zone_outage_drawn_ = true;
    const ZoneIndex zone = random_.Below(topology_.zones.size());
    Add(EventKind::kZoneOut, at).zones = {zone};
    Add(EventKind::kZoneIn, at + length + kOperatorChangeGrace).zones = {zone};
  }

  // Draws at most one partition: the end of a partition reconnects all zones,
  // so overlapping partitions would end early.
  void AddPartition(absl::Duration at, absl::Duration length) {
    if (partition_drawn_) {
      return;
    }
    partition_drawn_ = true;
    Event& event = Add(EventKind::kPartition, at);
    event.zones = {random_.Below(topology_.zones.size())};
    event.length = length;
  }

  void AddMisbehavior(absl::Duration at, absl::Duration length) {
    const ServerIndex server = RandomServer();
    Event& event = Add(EventKind::kBehavior, at);
    event.servers = {server};
    event.behavior.shed_share = 0.5 * random_.Uniform();
    event.behavior.slow_factor = 1 + random_.Uniform();
    event.behavior.duplicate_share = 0.2;
    event.behavior.cross_share = 0.2;
    event.behavior.load_reporting = LoadReporting::kClaimsIdle;
    Add(EventKind::kBehavior, at + length).servers = {server};
  }

  void AddLinkFaults(absl::Duration at, absl::Duration length) {
    constexpr std::array kKinds{LinkKind::kPeers, LinkKind::kServers,
                                LinkKind::kCallers, LinkKind::kControl};
    Event& event = Add(EventKind::kLink, at);
    event.link.kind = kKinds[random_.Below(kKinds.size())];
    event.link.faults.loss = 0.02 * random_.Uniform();
    event.link.faults.duplicate = 0.05 * random_.Uniform();
    event.link.faults.reorder = 0.05 * random_.Uniform();
    event.link.faults.jitter = absl::Milliseconds(5) * random_.Uniform();
    event.length = length;
  }

  const Topology& topology_;
  absl::Duration duration_;
  Random random_;
  std::vector<Event> events_;
  std::vector<absl::Duration> losses_;
  bool zone_outage_drawn_ = false;
  bool partition_drawn_ = false;
};

}  // namespace

std::vector<Event> DrawStorm(const Topology& topology,
                             absl::Duration duration,
                             std::uint32_t count,
                             std::uint64_t seed) {
  return StormGenerator(topology, duration, seed).Draw(count);
}

}  // namespace gcw::lab
