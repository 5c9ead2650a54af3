#ifndef GCW_DIRECT_BALANCER_SETTINGS_H_
#define GCW_DIRECT_BALANCER_SETTINGS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/log.h"
#include "gcw/base/result.h"

namespace gcw::direct_balancer {

// The settings of one daemon, as read from its settings file.
struct Settings {
  std::string name;   // Unique in the fleet.
  std::string zone;   // The daemon's availability zone.
  Endpoint packets;   // UDP: receives packets from the routers.
  Endpoint ready;     // HTTP: the routers' readiness check.
  Endpoint metrics;   // HTTP: metrics; disabled if the port is 0.
  Endpoint platform;  // HTTP: the platform's object API.
  // Traffic between daemons: membership over UDP on this port; the control
  // transport over TCP and the load exchange over UDP on the next port.
  std::uint16_t members_port = 0;
  // Daemons to contact first when joining the fleet. Only the addresses are
  // used; the port is `members_port`. Those of a reload are contacted, too.
  std::vector<Endpoint> seeds;
  // The router may forget a flow older than this.
  absl::Duration max_flow_age = absl::Seconds(60);
  // Longest time from SIGTERM to the end of the process.
  absl::Duration stop_limit = absl::Seconds(6);
  // How soon after the platform has accepted a change it must be in force here:
  // a configuration, a server that drains or is gone, a zone out of service.
  absl::Duration configuration_deadline = absl::Seconds(3);
  absl::Duration servers_deadline = absl::Seconds(3);
  absl::Duration zones_deadline = absl::Seconds(5);
  // How often a backend server reports to the platform.
  absl::Duration report_interval = absl::Milliseconds(1200);
  // Whether this daemon exchanges its load with the others. Without the
  // exchange it estimates the load of the fleet from its own flows.
  bool load_exchange = true;
  LogLevel log_level = LogLevel::kInfo;
  // The fields that were ignored and why: unknown ones, which another release
  // may know, and times that are `true` or `false`.
  std::vector<Error> ignored;

  bool operator==(const Settings&) const = default;
};

using SettingsErrors = std::vector<Error>;

// The shortest and the longest time that the daemon works with. A shorter or
// longer one in the settings becomes this one.
inline constexpr absl::Duration kMinTime = absl::Milliseconds(1);
inline constexpr absl::Duration kMaxTime = absl::Hours(24 * 3650);

// Parses `text` (JSON). Returns one error, with the path of the field, for
// every field that is invalid; fields in Settings::ignored are errors as well
// if there are others. Thread-safe.
std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text);

// Reads and parses the file at `path`. Returns kSettingsUnreadable if it cannot
// be read. Thread-safe.
std::variant<Settings, SettingsErrors> ReadSettings(const std::string& path);

// The names of the fields that differ between `current` and `updated` and that
// take effect only after a restart. Thread-safe.
std::vector<std::string_view> ChangedRestartOnlyFields(const Settings& current,
                                                       const Settings& updated);

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_SETTINGS_H_
