#ifndef SRC_LAB_SCENARIO_H_
#define SRC_LAB_SCENARIO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "src/lab/backend_server.h"
#include "src/lab/load_settings.h"
#include "src/lab/network.h"
#include "src/lab/topology.h"

namespace gcw::lab {

// The kinds of events of a scenario. docs/LAB.md lists the fields of each kind.
enum class EventKind {
  kDrain,
  kUndrain,
  kZoneOut,
  kZoneIn,
  kKill,
  kStop,
  kStart,
  kPause,
  kResume,
  kPartition,
  kHeal,
  kPlatformDown,
  kPlatformUp,
  kPlatformCopy,
  kPlatformRestore,
  kPlatformSlow,
  kLostAnswers,
  kLateWrites,
  kStaleReads,
  kWatchStall,
  kPlatformCut,
  kRestartServer,
  kKillServer,
  kBehavior,
  kLink,
  kClearLinks,
  kSilenceFlows,
  kReuseAddress,
  kChurn,
  kWeight,
};

// One event of a scenario. Which fields have a meaning depends on the kind.
struct Event {
  absl::Duration at;  // Since the start of the scenario.
  EventKind kind = EventKind::kHeal;
  std::vector<ServerIndex> servers;
  std::vector<DaemonIndex> daemons;
  std::vector<ZoneIndex> zones;
  ServiceIndex service = 0;
  double share = 0;  // Share of flows, answers or reads that are affected.
  double per_s = 0;  // Configuration writes per second, for kChurn.
  std::uint32_t weight = 0;
  bool on = true;       // kWatchStall, kPlatformCut: begins (true) or ends.
  bool silent = false;  // kPlatformDown: requests time out instead of failing.
  absl::Duration length;  // 0: until another event ends this event.
  absl::Duration delay;   // Of the platform's answers, for kPlatformSlow.
  absl::Duration jitter;
  ServerBehavior behavior;
  LinkRule link;
};

// A limit on one total, that is one measured value in the report of a run. A
// run passes if all bounds are kept.
struct Bound {
  std::string total;  // Dotted name of the measured value.
  double value = 0;
  bool at_least = false;  // Lower bound; otherwise an upper bound.
};

// A test run: its deployment, load, events and the bounds on its results.
struct Scenario {
  std::string name;
  std::string base;                // Name of the deployment to emulate.
  std::vector<std::string> bases;  // Deployments for RunMatrix().
  absl::Duration duration;
  std::size_t daemons = 4;  // Running at the start.
  LoadSettings load;
  ColdStart cold;
  // Time until the network fabric stops sending packets to a dead daemon.
  absl::Duration fabric_lag = absl::Milliseconds(300);
  // Age of the state that the platform's VM lists show.
  absl::Duration vm_list_lag = absl::Seconds(2);
  std::uint32_t storm_events = 0;  // Number of random events.
  std::vector<Event> events;       // Sorted by time.
  std::vector<Bound> bounds;
};

using ScenarioErrors = std::vector<Error>;

// Reads a scenario from JSON text for the deployment `base` or, if `base` is
// empty, the first deployment that the scenario lists. Returns an error with
// the path of each invalid, missing or unknown field. Thread-safe.
std::variant<Scenario, ScenarioErrors> ParseScenario(std::string_view text,
                                                     std::string_view base);

}  // namespace gcw::lab

#endif  // SRC_LAB_SCENARIO_H_
