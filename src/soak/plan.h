#ifndef GCW_SOAK_PLAN_H_
#define GCW_SOAK_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace gcw::soak {

// Faults and operator actions that a run applies to the deployment.
enum class FaultKind : std::uint8_t {
  kKillDaemon,      // SIGKILL, then a restart.
  kPauseDaemon,     // SIGSTOP, then SIGCONT.
  kStopDaemon,      // SIGTERM for a graceful stop, then a restart.
  kReloadDaemon,    // SIGHUP: the daemon rereads its settings.
  kKillAll,         // SIGKILL to all daemons at once, then restarts.
  kStoreRefuses,    // The store answers every call with 503.
  kStoreSilent,     // The store answers no call.
  kStoreSlow,       // The store answers every call late.
  kStoreForgets,    // The store discards its event log, so watches must relist.
  kCutFromStore,    // One daemon's store connections stall without closing.
  kResetFromStore,  // One daemon's store connections are closed at once.
  kCutZone,         // A zone is partitioned from the others in both directions.
  kCutZoneOneWay,   // Packets from a zone's daemons to other zones are lost.
  kLossyServers,    // Packets from daemons to servers are lost or duplicated.
  kSlowServers,     // Packets from daemons to servers are late and reordered.
  kCrashServer,     // A server is down and refuses probes, then restarts.
  kDarkServer,      // A server is down and its probes hang, then it restarts.
  kDrainServer,     // A server drains, stops and returns under another id.
  kZoneOut,         // Operators take a zone out of service and return it.
  kChangeRoutes,    // Operators add or remove the optional route.
  kStoreRestored,   // The store goes back to a copy that is `duration` old.
  kSilentStoreConnections,  // All open connections to the store go silent.
  kOddEntry,  // Another writer leaves an odd entry among those of the servers.
  kLargeEntries,     // Another writer leaves large entries there.
  kIdleConnections,  // Many connections to a daemon that send nothing.
  kTakenPort,        // A daemon restarts while another process has its port.
  kBusyZone,         // The callers of a zone ask several times as much.
  kSlowServer,       // A server is several times slower than the others.
  // The same as kBusyZone, while two daemons of the zone restart in turn.
  kBusyZoneRestarts,
  // A server restarts or drains while a report of it is under way, which the
  // store executes later than the server's next report.
  kLateReport,
  // A zone is taken out of service, its servers become cold and report it, and
  // the zone is returned right after the last report.
  kColdZone,
  // All servers of a zone restart under their ids, and are cold then.
  kColdRestarts,
  kCount,  // Number of kinds; not a fault.
};

// The name of `kind` in reports, such as "kill_daemon". Precondition: `kind` is
// not kCount. Thread-safe.
std::string_view FaultName(FaultKind kind);

// One scheduled fault.
struct Fault {
  absl::Duration start;  // Since the start of the run.
  FaultKind kind = FaultKind::kKillDaemon;
  // Index of the affected daemon, server or zone, taken modulo their number.
  std::size_t target = 0;
  // How long the fault lasts; ignored by kinds with a fixed time or none.
  absl::Duration duration;

  bool operator==(const Fault&) const = default;
};

// Kinds of faults that come on top of a plan.
struct AddedFaults {
  bool restores = false;            // kStoreRestored.
  bool silent_connections = false;  // kSilentStoreConnections.
  bool odd_entries = false;         // kOddEntry.
  // kLargeEntries, kIdleConnections and kTakenPort; the daemons then run with
  // few descriptors.
  bool exhaustion = false;
  // kBusyZone, kSlowServer and kBusyZoneRestarts, also in a load phase after
  // the plan.
  bool load_patterns = false;
  bool late_reports = false;  // kLateReport.
  // kColdZone and kColdRestarts; some callers then leave their flows idle for
  // seconds between two requests.
  bool cold_servers = false;
};

// Formats `fault` as "3.2 s kill_daemon 4 for 1.5 s". Thread-safe.
std::string ToString(const Fault& fault);

// Returns the faults of a run that lasts `length`, ordered by start time.
// Faults occur singly, in series and overlapping. None starts during
// kFaultFreeStart or kFaultFreeEnd, but faults of a series and kinds with a
// fixed time may still end during the first seconds of kFaultFreeEnd. The kinds
// in `added` do not change the other faults of the same seed. Returns equal
// plans for equal arguments. Thread-safe.
std::vector<Fault> GeneratePlan(std::uint64_t seed,
                                absl::Duration length,
                                const AddedFaults& added);

// Returns one load pattern of each kind in random order, which start one after
// the other in the kLoadPhase that follows a run of `length`. No other faults
// occur there, so that the daemons' handling of load is checked on its own.
// Returns equal plans for equal arguments. Thread-safe.
std::vector<Fault> GenerateLoadPhase(std::uint64_t seed, absl::Duration length);

// Duration of the load phase.
inline constexpr absl::Duration kLoadPhase = absl::Seconds(24);
// How long a kColdZone lasts beyond its duration, at most.
inline constexpr absl::Duration kColdZoneTime = absl::Seconds(6);
// How long a daemon that restarts in turn has until the next one does.
inline constexpr absl::Duration kRestartTurn = absl::Seconds(5);
// Daemons that kBusyZoneRestarts restarts.
inline constexpr std::size_t kRestartsInTurn = 2;

// Time without faults before the first fault starts, so that all daemons are
// running and ready, and at the end of the run, so that recovery is checked.
inline constexpr absl::Duration kFaultFreeStart = absl::Seconds(4);
inline constexpr absl::Duration kFaultFreeEnd = absl::Seconds(7);

}  // namespace gcw::soak

#endif  // GCW_SOAK_PLAN_H_
