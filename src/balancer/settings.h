#ifndef GCW_BALANCER_SETTINGS_H_
#define GCW_BALANCER_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/log.h"
#include "gcw/base/result.h"

namespace gcw::balancer {

// The ports of a daemon. All daemons of a deployment use the same ports.
struct Ports {
  std::uint16_t data = 7000;        // Packets from and to the fabric.
  std::uint16_t server = 7001;      // Flow packets to and from backend servers.
  std::uint16_t relay = 7002;       // Flow packets relayed between daemons.
  std::uint16_t dispatch = 7003;    // Requests to backend servers, and answers.
  std::uint16_t peer = 7004;        // Dispatch messages between daemons.
  std::uint16_t membership = 7005;  // Membership protocol, UDP.
  std::uint16_t control = 7006;     // Control messages between daemons, TCP.
  std::uint16_t status = 7007;      // HTTP: GET /status.

  bool operator==(const Ports&) const = default;
};

// A daemon that this one contacts at the start to join the membership.
struct PeerSeed {
  std::string name;
  std::string zone;
  std::uint32_t address = 0;  // IPv4 address.
};

// The settings of a daemon, read once at the start.
struct Settings {
  std::string name;
  std::string zone;
  std::string region;
  std::uint32_t bind = 0;  // IPv4 address that all sockets bind to.
  // IPv4 address at which other daemons reach this one; `bind` if not set.
  std::uint32_t advertise = 0;
  Endpoint fabric;    // Where packets to callers are sent.
  Endpoint platform;  // The platform's HTTP API.
  Ports ports;
  std::vector<PeerSeed> peers;
  // One or two secrets that all daemons share, as raw bytes. Messages are
  // signed with the first and verified with both.
  std::vector<std::string> cluster_keys;
  std::string policy = "tables";         // Routing policy for flows.
  std::string dispatch_policy = "home";  // Dispatch policy for requests.
  LogLevel log_level = LogLevel::kInfo;
  std::uint64_t seed = 0;  // Of all random choices; 0 takes a random seed.
  // Longest duration of a graceful shutdown.
  absl::Duration shutdown_limit = absl::Seconds(30);
};

// All errors in a settings file, in the order in which the fields are read.
using SettingsErrors = std::vector<Error>;

// Parses settings from JSON text. Reports every invalid, missing or unknown
// field with its path. Thread-safe.
std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text);

// Reads and parses the settings file `path`. If it cannot be read, returns the
// single error kSettingsUnreadable. Thread-safe.
std::variant<Settings, SettingsErrors> ReadSettings(const std::string& path);

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_SETTINGS_H_
