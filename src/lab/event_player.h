#ifndef SRC_LAB_EVENT_PLAYER_H_
#define SRC_LAB_EVENT_PLAYER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "src/fake_platform/fake_platform.h"
#include "src/lab/backend_server.h"
#include "src/lab/config_writer.h"
#include "src/lab/daemon_fleet.h"
#include "src/lab/flow_callers.h"
#include "src/lab/network.h"
#include "src/lab/random.h"
#include "src/lab/scenario.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Applies the events of a scenario to the daemons, backend servers, links and
// the fake platform, each event at its time. Not thread-safe.
class EventPlayer {
 public:
  // The objects that events change. All objects must outlive the player.
  struct Context {
    Scheduler* scheduler = nullptr;
    World* world = nullptr;
    Network* network = nullptr;
    fake_platform::FakePlatform* platform = nullptr;
    ConfigWriter* config = nullptr;
    DaemonFleet* fleet = nullptr;
    FlowCallers* flows = nullptr;
    std::vector<std::unique_ptr<BackendServer>>* servers = nullptr;
  };

  // `cold` is the cold start of backend servers that events restart; `seed`
  // determines the random weight changes.
  EventPlayer(const Context& context,
              const ColdStart& cold,
              std::uint64_t seed);

  // Schedules `events`; the times of the events count from this call.
  void Play(const std::vector<Event>& events);

 private:
  void Apply(const Event& event);
  // ApplyToServers(), ApplyToDaemons() and ApplyToPlatform() return false if
  // `event` does not change servers, daemons or the platform, respectively.
  bool ApplyToServers(const Event& event);
  bool ApplyToDaemons(const Event& event);
  bool ApplyToPlatform(const Event& event);
  void ApplyToZones(const Event& event);

  // Calls `write`, which changes the configuration, now or, during an outage of
  // the platform, when the outage ends: operators retry a failed write until
  // the platform accepts it.
  void WriteWhenPossible(std::function<void()> write);
  void SetOutage(const Event& event);
  void SetDraining(ServerIndex server, bool draining);
  void TakeZoneOut(ZoneIndex zone);
  void TakeZoneIn(ZoneIndex zone);
  void Partition(const Event& event);
  void Heal();
  // Deletes the server's VM. After `event.length` a new VM with the same
  // address joins `event.service`.
  void ReuseAddress(const Event& event, ServerIndex server);
  // Changes random server weights at the rate of the event until `end`.
  void Churn(const Event& event, absl::Time end);
  // Runs `action`, which ends an event, after `delay`. A delay of 0 means that
  // the event lasts until another event ends it.
  void ScheduleEnd(absl::Duration delay, std::function<void()> action);

  Context context_;
  ColdStart cold_;
  Random random_;
  bool outage_ = false;                                // Of the platform.
  std::vector<std::function<void()>> waiting_writes_;  // For the outage's end.
};

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_PLAYER_H_
