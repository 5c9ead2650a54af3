#include "src/lab/storm.h"

#include <algorithm>
#include <array>

#include "src/lab/random.h"

namespace gcw::lab {
namespace {

constexpr absl::Duration kFirst = absl::Seconds(1);
// No event begins this close to the end, so that each can end in time.
constexpr absl::Duration kQuietEnd = absl::Seconds(5);
// Between the loss of one daemon and the next, for its state to be restored.
constexpr absl::Duration kBetweenLosses = absl::Seconds(6);

class StormDraw {
 public:
  StormDraw(const Topology& topology,
            absl::Duration duration,
            std::uint64_t seed)
      : topology_(topology), duration_(duration), random_(seed) {}

  std::vector<Event> Draw(std::uint32_t count) {
    const absl::Duration span = duration_ - kFirst - kQuietEnd;
    for (std::uint32_t i = 0; i < count; ++i) {
      const absl::Duration at = kFirst + span * random_.Uniform();
      constexpr std::uint64_t kTroubles = 11;
      DrawOne(random_.Below(kTroubles), at);
    }
    std::stable_sort(
        events_.begin(), events_.end(),
        [](const Event& a, const Event& b) { return a.at < b.at; });
    return events_;
  }

 private:
  void DrawOne(std::uint64_t trouble, absl::Duration at) {
    const absl::Duration length = absl::Seconds(1 + 2 * random_.Uniform());
    switch (trouble) {
      case 0:
      case 1:
        Pair(EventKind::kDrain, EventKind::kUndrain, at, length);
        break;
      case 2:
        LoseDaemon(random_.Chance(0.5) ? EventKind::kKill : EventKind::kStop,
                   at, length);
        break;
      case 3:
        LoseDaemon(EventKind::kPause, at, length);
        break;
      case 4:
        ZoneOut(at, length);
        break;
      case 5:
        Add(EventKind::kRestartServer, at).servers = {AnyServer()};
        break;
      case 6:
        Add(EventKind::kPlatformDown, at).length = length;
        break;
      case 7:
        Links(at, length);
        break;
      case 8:
        Cut(at, length);
        break;
      case 9:
        Misbehave(at, length);
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

  ServerIndex AnyServer() { return random_.Below(topology_.servers.size()); }

  void Pair(EventKind begin,
            EventKind end,
            absl::Duration at,
            absl::Duration length) {
    const ServerIndex server = AnyServer();
    Add(begin, at).servers = {server};
    Add(end, at + length).servers = {server};
  }

  // One daemon after the other, so that one holder of each record lives.
  void LoseDaemon(EventKind kind, absl::Duration at, absl::Duration length) {
    const bool too_close =
        std::any_of(losses_.begin(), losses_.end(), [&](absl::Duration other) {
          return at < other + kBetweenLosses && other < at + kBetweenLosses;
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

  void ZoneOut(absl::Duration at, absl::Duration length) {
    if (zone_taken_) {
      return;
    }
    zone_taken_ = true;
    const ZoneIndex zone = random_.Below(topology_.zones.size());
    Add(EventKind::kZoneOut, at).zones = {zone};
    Add(EventKind::kZoneIn, at + length + kOperatorChangeGrace).zones = {zone};
  }

  // Cuts do not overlap: the end of one ends all.
  void Cut(absl::Duration at, absl::Duration length) {
    if (cut_drawn_) {
      return;
    }
    cut_drawn_ = true;
    Event& event = Add(EventKind::kPartition, at);
    event.zones = {random_.Below(topology_.zones.size())};
    event.length = length;
  }

  void Misbehave(absl::Duration at, absl::Duration length) {
    const ServerIndex server = AnyServer();
    Event& event = Add(EventKind::kBehavior, at);
    event.servers = {server};
    event.behavior.shed_share = 0.5 * random_.Uniform();
    event.behavior.slow_factor = 1 + random_.Uniform();
    event.behavior.duplicate_share = 0.2;
    event.behavior.cross_share = 0.2;
    event.behavior.load_reporting = LoadReporting::kClaimsIdle;
    Add(EventKind::kBehavior, at + length).servers = {server};
  }

  void Links(absl::Duration at, absl::Duration length) {
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
  bool zone_taken_ = false;
  bool cut_drawn_ = false;
};

}  // namespace

std::vector<Event> DrawStorm(const Topology& topology,
                             absl::Duration duration,
                             std::uint32_t count,
                             std::uint64_t seed) {
  return StormDraw(topology, duration, seed).Draw(count);
}

}  // namespace gcw::lab
