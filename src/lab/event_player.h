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

// Makes a scenario's events happen. Not thread-safe.
class EventPlayer {
 public:
  // What events act on; all must outlive the player.
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

  EventPlayer(const Context& context,
              const ColdStart& cold,
              std::uint64_t seed);

  // Schedules `events` from now on.
  void Play(const std::vector<Event>& events);

 private:
  void Apply(const Event& event);
  bool ApplyToServers(const Event& event);
  bool ApplyToDaemons(const Event& event);
  bool ApplyToPlatform(const Event& event);
  void ApplyToZones(const Event& event);

  // Operators repeat a write until the platform takes it.
  void WriteWhenPossible(std::function<void()> write);
  void SetOutage(const Event& event);
  void Drain(ServerIndex server, bool leaves);
  void TakeZoneOut(ZoneIndex zone);
  void TakeZoneIn(ZoneIndex zone);
  void Partition(const Event& event);
  void Heal();
  void ReuseAddress(const Event& event, ServerIndex server);
  void Churn(const Event& event, absl::Time end);
  void Later(absl::Duration delay, std::function<void()> action);

  Context context_;
  ColdStart cold_;
  Random random_;
  bool outage_ = false;
  std::vector<std::function<void()>> waiting_writes_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_PLAYER_H_
