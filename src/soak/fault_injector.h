#ifndef GCW_SOAK_FAULT_INJECTOR_H_
#define GCW_SOAK_FAULT_INJECTOR_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "src/soak/deployment.h"
#include "src/soak/invariants.h"
#include "src/soak/plan.h"

namespace gcw::soak {

// Starts and ends faults outside the daemons and records the components that
// they impair. Not thread-safe; used on the deployment's thread.
class FaultInjector {
 public:
  // Both must outlive the injector and the timers of its faults.
  FaultInjector(Deployment& deployment, Impairments& impairments)
      : deployment_(deployment), impairments_(impairments) {}

  // Schedules each fault of `plan` at its start time, counted from now.
  void Schedule(std::span<const Fault> plan);

 private:
  // Starts `fault` and schedules its end.
  void Inject(const Fault& fault);
  // Marks `components` as impaired, and after `duration` runs `end` and marks
  // them as no longer impaired.
  void Impair(const std::vector<std::string>& components,
              absl::Duration duration,
              std::function<void()> end);

  // Sends SIGKILL or SIGTERM and restarts the daemon after `until_start`.
  void TerminateDaemon(std::size_t daemon,
                       int signal,
                       absl::Duration until_start);
  void KillAll();
  void PauseDaemon(std::size_t daemon, absl::Duration duration);
  void CutFromStore(std::size_t daemon, absl::Duration duration);
  void CutZone(std::size_t zone, absl::Duration duration);
  void CutZoneOneWay(std::size_t zone, absl::Duration duration);
  // For odd `fault.target`, every third server's store entry also lapses.
  void StartStoreOutage(fake_platform::Outage outage, const Fault& fault);
  // Copies the store now. `age` later the store is down for a moment and comes
  // back with the copy; the operators and the servers then write again.
  void RestoreStore(absl::Duration age);
  // Lets all open connections to the store go silent for good.
  void SilenceStoreConnections();
  // Writes an odd entry among those of the servers, and removes it after
  // `duration`. `number` chooses what is odd about it.
  void LeaveOddEntry(std::size_t number, absl::Duration duration);
  // Writes large entries among those of the servers, and removes them after
  // `duration`.
  void LeaveLargeEntries(std::size_t number, absl::Duration duration);
  // Removes the store's entry `key`, if it is still there.
  void RemoveEntry(const std::string& key);
  // Opens idle connections to all endpoints of the daemon, and closes them
  // after `duration`.
  void HoldIdleConnections(std::size_t daemon, absl::Duration duration);
  // Kills the daemon and restarts it while one of its ports is taken, which
  // lasts until `duration` after the restart. `number` chooses the port.
  void TakePort(std::size_t daemon,
                std::size_t number,
                absl::Duration duration);
  // Removes the entries of some servers, which go on serving, for some time.
  void LoseServerEntries();
  void SlowStore(absl::Duration duration);
  void DegradeServerLinks(const lab::LinkFaults& faults,
                          absl::Duration duration);
  // The server drops its packets, and probes fail as `mode` says, until it
  // restarts as a new incarnation, cold for `cold_for`. Does nothing if it is
  // not in service.
  void FailServer(std::size_t server,
                  ProbeTarget::Mode mode,
                  absl::Duration duration,
                  absl::Duration cold_for = absl::ZeroDuration());
  // Takes the zone out of service. After `duration` its servers become cold,
  // one shortly after the other, and the zone is returned shortly after the
  // last report of it.
  void ReturnZoneCold(std::size_t zone, absl::Duration duration);
  // The servers of the zone fail together and are back, cold, after `duration`,
  // one shortly after the other.
  void RestartZoneCold(std::size_t zone, absl::Duration duration);
  std::vector<std::size_t> ServersInService(std::size_t zone) const;
  // Marks the server as draining, keeps it up for 1 s longer than kDrainBound,
  // and 2 s later starts another server at the same address. Does nothing if
  // the server is not in service.
  void DrainServer(std::size_t server);
  // A report leaves the server, which then restarts (`number` even) or drains.
  // The store executes the report some seconds later, and the server's next one
  // follows within an interval. Does nothing if the server is not in service.
  void DelayReport(std::size_t server, std::size_t number);
  // The zone's callers ask several times as much.
  void BurstInZone(std::size_t zone, absl::Duration duration);
  void SlowServer(std::size_t server, absl::Duration duration);
  // A burst in the zone while kRestartsInTurn of its daemons stop and start
  // again, each after the one before.
  void BurstDuringRestarts(std::size_t zone);
  void TakeZoneOut(std::size_t zone, absl::Duration duration);

  Deployment& deployment_;
  Impairments& impairments_;
  int active_outages_ = 0;  // Outages of the store, which may overlap.
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_FAULT_INJECTOR_H_
