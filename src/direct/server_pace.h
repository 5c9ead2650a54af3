#ifndef GCW_DIRECT_SERVER_PACE_H_
#define GCW_DIRECT_SERVER_PACE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/direct/packet.h"
#include "gcw/load/figures.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Finds how much work each backend server bears from how it answers: how slow
// it is compared with the other servers of its service (ServerEntry::slowness),
// and, after it started or recovered, which share of the usual number of new
// flows it may get (ServerEntry::share). Answers the load patterns in which
// servers have different speeds, one server is slow, or a server starts or
// recovers while load is high.
//
// The answers that all daemons of the zone see count, so that the fleet as a
// whole neither floods a server nor leaves it idle. Without recent figures of
// the other daemons, this daemon's own answers stand for them. Has no I/O. Not
// thread-safe.
class ServerPace {
 public:
  // Sets the number of daemons for which this daemon's own answers stand.
  void SetFleetPosition(const FleetPosition& position) {
    zone_daemons_ = position.zone_daemons;
  }

  // Records an answer of `server` on one of this daemon's flows. `usual` is the
  // latency that answers of the route usually have; positive.
  void OnAnswer(const ServerEntry& server,
                absl::Duration latency,
                absl::Duration usual,
                absl::Time now);
  // `server` started, or answers again after it was unreachable: begins its
  // slow start.
  void OnStarted(ServerEntry& server, absl::Time now);
  // Replaces what the daemons of the zone, this one included, see of single
  // servers. Call this several times per second: each call counts the answers
  // since the last one. An empty span means that nothing recent is known.
  void SetFleet(std::span<const load::ServerLoad> servers, absl::Time now);

  // Adjusts the share and the slowness of the entries of `servers`. Call this
  // about every 50 ms.
  void OnTick(const ServerTable& servers, absl::Time now);

  // This daemon's figures of the servers that are worth telling the others:
  // those that started or recovered, and those that are unusually slow, fast or
  // loaded, here or according to the other daemons.
  std::vector<load::ServerLoad> OwnFigures(const ServerTable& servers,
                                           absl::Time now) const;
  // The servers in slow start, for metrics.
  std::vector<SlowStartStats> SlowStarts(const ServerTable& servers) const;

 private:
  // A number of answers, and the sum of their latencies divided by the usual
  // latency.
  struct Answers {
    double count = 0;
    double slowness = 0;

    void Add(const Answers& other, double weight);
  };
  // Answers within the last load::kServerWindow, in intervals of equal length.
  class Window {
   public:
    void Add(const Answers& answers, absl::Time now);
    Answers Sum(absl::Time now) const;

   private:
    static constexpr std::int64_t kIntervals = 4;
    struct Interval {
      std::int64_t number = -1;  // Since 1970.
      Answers answers;
    };

    static std::int64_t NumberAt(absl::Time now);

    std::array<Interval, kIntervals> intervals_;
  };
  struct SlowStart {
    double share = 0;
    // When the server began, last answered too slowly or was cold.
    absl::Time calm_since;
    absl::Time changed;     // When `share` was last set.
    bool was_cold = false;  // At the last tick.
    // Answers since `changed`: of all daemons of the zone according to their
    // figures, and an estimate of them from this daemon's own answers.
    Answers fleet_answers;
    Answers estimated_answers;
  };
  struct State {
    Window window;   // Of this daemon.
    Answers recent;  // Of this daemon, with exponential decay.
    std::optional<SlowStart> slow_start;
  };

  // The zone's figures of `server`, or null if none are recent.
  const load::ServerLoad* FleetFigures(IncarnationKey server,
                                       absl::Time now) const;
  // The requests of the daemons of the zone that run or queue at `server`.
  double Outstanding(const ServerEntry& server, absl::Time now) const;
  double Slowness(IncarnationKey server,
                  const State& state,
                  absl::Time now) const;
  // The answers since the share of `server` last changed that decide on the
  // next change; null if there are not enough.
  const Answers* Evidence(const ServerEntry& server,
                          const SlowStart& slow_start,
                          absl::Time now) const;
  // Whether there are answers since the share last changed, and they are not
  // slow.
  static bool AnswersWell(const SlowStart& slow_start);
  // Adjusts the share of `server`, and ends its slow start if it is over.
  void AdjustShare(const ServerEntry& server, State& state, absl::Time now);
  // The servers that are worth telling the others, at most kMaxTold.
  std::vector<const ServerEntry*> ServersToTell(const ServerTable& servers,
                                                absl::Time now) const;
  // How much the others should know of `server`: 0 if nothing, the most
  // important server has the largest value.
  double Relevance(const ServerEntry& server,
                   const State& state,
                   absl::Time now) const;

  std::uint32_t zone_daemons_ = 1;
  // Servers with recent answers, in slow start, or in the zone's figures.
  absl::flat_hash_map<IncarnationKey, State> states_;
  absl::flat_hash_map<IncarnationKey, load::ServerLoad> fleet_;
  absl::Time fleet_set_at_ = absl::InfinitePast();
  absl::Time last_tick_ = absl::InfinitePast();
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_SERVER_PACE_H_
