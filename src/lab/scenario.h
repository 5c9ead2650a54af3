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

// What happens at one moment. docs/LAB.md lists the fields of each.
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
  kPlatformSlow,
  kLostAnswers,
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

struct Event {
  absl::Duration at;  // Since the start.
  EventKind kind = EventKind::kHeal;
  std::vector<ServerIndex> servers;
  std::vector<DaemonIndex> daemons;
  std::vector<ZoneIndex> zones;
  ServiceIndex service = 0;
  double share = 0;
  double per_s = 0;  // Writes a second of a churn.
  std::uint32_t weight = 0;
  bool on = true;
  bool silent = false;    // An outage without answers.
  absl::Duration length;  // 0: until an event ends it.
  absl::Duration delay;
  absl::Duration jitter;
  ServerBehavior behavior;
  LinkRule link;
};

// A bound of the verdict on one total.
struct Bound {
  std::string total;  // Dotted name.
  double value = 0;
  bool at_least = false;  // Otherwise at most.
};

struct Scenario {
  std::string name;
  std::string base;
  std::vector<std::string> bases;  // That the matrix runs it with.
  absl::Duration duration;
  std::size_t daemons = 4;
  LoadSettings load;
  ColdStart cold;
  absl::Duration fabric_lag = absl::Milliseconds(300);
  absl::Duration vm_list_lag = absl::Seconds(2);
  std::uint32_t storm_events = 0;  // Random events, drawn from the seed.
  std::vector<Event> events;       // In order of time.
  std::vector<Bound> bounds;
};

using ScenarioErrors = std::vector<Error>;

// Reads a scenario from JSON text; `base` overrides its own unless empty.
// Each wrong, missing or unknown field is reported with its path. Thread-safe.
std::variant<Scenario, ScenarioErrors> ParseScenario(std::string_view text,
                                                     std::string_view base);

}  // namespace gcw::lab

#endif  // SRC_LAB_SCENARIO_H_
