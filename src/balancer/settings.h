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

// The ports of a daemon; all daemons of a deployment use the same ones.
struct Ports {
  std::uint16_t data = 7000;
  std::uint16_t server = 7001;
  std::uint16_t relay = 7002;
  std::uint16_t dispatch = 7003;
  std::uint16_t peer = 7004;
  std::uint16_t membership = 7005;
  std::uint16_t control = 7006;
  std::uint16_t status = 7007;

  bool operator==(const Ports&) const = default;
};

// Another daemon that may be asked first.
struct PeerSeed {
  std::string name;
  std::string zone;
  std::uint32_t address = 0;
};

// What a daemon is told before it starts.
struct Settings {
  std::string name;
  std::string zone;
  std::string region;
  std::uint32_t bind = 0;
  std::uint32_t advertise = 0;  // As others reach it; the bind IP if absent.
  Endpoint fabric;
  Endpoint platform;
  Ports ports;
  std::vector<PeerSeed> peers;
  // One or two shared secrets, raw bytes; the first one signs.
  std::vector<std::string> cluster_keys;
  std::string policy = "tables";         // Of flows.
  std::string dispatch_policy = "home";  // Of requests.
  LogLevel log_level = LogLevel::kInfo;
  std::uint64_t seed = 0;  // 0: a random one.
  absl::Duration shutdown_limit = absl::Seconds(30);
};

// Everything that is wrong with a settings file, in order of the fields.
using SettingsErrors = std::vector<Error>;

// Reads settings from JSON text. Every wrong, missing or unknown field is
// reported with its path. Thread-safe.
std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text);

// Reads the file `path` as ParseSettings does; one that cannot be read is one
// error kSettingsUnreadable. Thread-safe.
std::variant<Settings, SettingsErrors> ReadSettings(const std::string& path);

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_SETTINGS_H_
