#ifndef GCW_SOAK_FAULT_PLAYER_H_
#define GCW_SOAK_FAULT_PLAYER_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "src/soak/deployment.h"
#include "src/soak/plan.h"
#include "src/soak/promises.h"

namespace gcw::soak {

// Brings about faults from outside the daemons, ends them, and notes what they
// impair. Belongs to the deployment's thread.
class FaultPlayer {
 public:
  // Both must outlive the player.
  FaultPlayer(Deployment& deployment, Impairments& impaired)
      : deployment_(deployment), impaired_(impaired) {}

  // Begins each fault of the plan at its time, counted from now.
  void Play(std::span<const Fault> plan);

 private:
  void Begin(const Fault& fault);
  // Impairs `what` until `end` has run, after `lasts`.
  void Impair(const std::vector<std::string>& what,
              absl::Duration lasts,
              std::function<void()> end);

  void EndDaemon(std::size_t daemon, int signal, absl::Duration until_start);
  void KillAll();
  void Pause(std::size_t daemon, absl::Duration lasts);
  void CutFromStore(std::size_t daemon, absl::Duration lasts);
  void CutZone(std::size_t zone, absl::Duration lasts);
  void CutZoneOneWay(std::size_t zone, absl::Duration lasts);
  void StoreOutage(fake_platform::Outage outage, const Fault& fault);
  void SlowStore(absl::Duration lasts);
  void FaultyServers(const lab::LinkFaults& faults, absl::Duration lasts);
  void LoseServer(std::size_t server,
                  ProbeTarget::Mode mode,
                  absl::Duration lasts);
  // Says that it leaves, serves on for the bound and a little, and comes back
  // as another server at the same address.
  void Drain(std::size_t server);
  void TakeZoneOut(std::size_t zone, absl::Duration lasts);

  Deployment& deployment_;
  Impairments& impaired_;
  int open_outages_ = 0;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_FAULT_PLAYER_H_
