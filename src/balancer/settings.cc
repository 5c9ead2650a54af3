#include "src/balancer/settings.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <set>
#include <utility>

#include "gcw/config/object_reader.h"
#include "src/daemon/settings_file.h"

namespace gcw::balancer {
namespace {

using config::ObjectReader;
using config::Presence;
using nlohmann::json;

constexpr std::size_t kMaxPeers = 2000;
constexpr std::size_t kMaxTextBytes = 63;
constexpr std::size_t kKeyBytes = 32;
constexpr std::uint32_t kMaxShutdownSeconds = 600;
constexpr std::uint32_t kMaxSeed = 0xffffffff;

void ReadIp(ObjectReader& reader,
            std::string_view key,
            Presence presence,
            std::uint32_t* target) {
  std::string text;
  reader.ReadString(key, presence, kMaxTextBytes, &text);
  if (text.empty()) {
    return;
  }
  const Result<std::uint32_t> ip = ParseIp(text);
  if (!ip.ok()) {
    reader.Report(ResultCode::kInvalidField, key, ip.error().message);
    return;
  }
  *target = ip.value();
}

void ReadPort(ObjectReader& reader, std::string_view key, std::uint16_t* port) {
  std::uint32_t number = *port;
  reader.ReadUint(key, Presence::kOptional, 1, 65535, &number);
  *port = static_cast<std::uint16_t>(number);
}

void ReadPorts(const json& value,
               std::string path,
               SettingsErrors* errors,
               Ports* ports) {
  ObjectReader reader(value, std::move(path), errors);
  ReadPort(reader, "data", &ports->data);
  ReadPort(reader, "server", &ports->server);
  ReadPort(reader, "relay", &ports->relay);
  ReadPort(reader, "dispatch", &ports->dispatch);
  ReadPort(reader, "peer", &ports->peer);
  ReadPort(reader, "membership", &ports->membership);
  ReadPort(reader, "control", &ports->control);
  ReadPort(reader, "status", &ports->status);
  reader.Finish();
  const std::array all{ports->data,     ports->server, ports->relay,
                       ports->dispatch, ports->peer,   ports->membership,
                       ports->control,  ports->status};
  if (std::set(all.begin(), all.end()).size() != all.size()) {
    reader.Report(ResultCode::kInvalidField, "",
                  "two services use the same port");
  }
}

void ReadPeer(const json& value,
              std::string path,
              SettingsErrors* errors,
              std::vector<PeerSeed>* peers) {
  PeerSeed peer;
  ObjectReader reader(value, std::move(path), errors);
  reader.ReadName("name", Presence::kRequired, &peer.name);
  reader.ReadName("zone", Presence::kRequired, &peer.zone);
  ReadIp(reader, "address", Presence::kRequired, &peer.address);
  reader.Finish();
  peers->push_back(std::move(peer));
}

// Returns the decoded bytes, or an empty string if `text` has a character that
// is not a hex digit. Ignores the last character of an odd-length text.
std::string DecodeHex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    unsigned byte = 0;
    const char* end = text.data() + i + 2;
    if (std::from_chars(text.data() + i, end, byte, 16).ptr != end) {
      return "";
    }
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

void ReadKey(const json& value,
             const std::string& path,
             SettingsErrors* errors,
             std::vector<std::string>* keys) {
  const std::string text = value.is_string() ? value.get<std::string>() : "";
  const std::string key = DecodeHex(text);
  if (text.size() != 2 * kKeyBytes || key.size() != kKeyBytes) {
    errors->push_back({ResultCode::kInvalidField, path,
                       fmt::format("must be {} hex digits", 2 * kKeyBytes)});
    return;
  }
  keys->push_back(key);
}

void ReadLogLevel(ObjectReader& reader, LogLevel* level) {
  auto position = static_cast<std::size_t>(*level);
  reader.ReadEnum("log_level", Presence::kOptional,
                  {"debug", "info", "warning", "error", "none"}, &position);
  *level = static_cast<LogLevel>(position);
}

void ReadPolicies(ObjectReader& reader, Settings* settings) {
  reader.ReadString("policy", Presence::kOptional, kMaxTextBytes,
                    &settings->policy);
  reader.ReadString("dispatch_policy", Presence::kOptional, kMaxTextBytes,
                    &settings->dispatch_policy);
}

void ReadNumbers(ObjectReader& reader, Settings* settings) {
  std::uint32_t seed = 0;
  reader.ReadUint("seed", Presence::kOptional, 0, kMaxSeed, &seed);
  settings->seed = seed;
  std::uint32_t limit_s = static_cast<std::uint32_t>(
      absl::ToInt64Seconds(settings->shutdown_limit));
  reader.ReadUint("shutdown_s", Presence::kOptional, 1, kMaxShutdownSeconds,
                  &limit_s);
  settings->shutdown_limit = absl::Seconds(limit_s);
}

void ReadLists(ObjectReader& reader,
               SettingsErrors* errors,
               Settings* settings) {
  reader.ReadArray("peers", Presence::kOptional, kMaxPeers,
                   [&](const json& value, std::string path) {
                     ReadPeer(value, std::move(path), errors, &settings->peers);
                   });
  reader.ReadArray("cluster_keys", Presence::kRequired, 2,
                   [&](const json& value, const std::string& path) {
                     ReadKey(value, path, errors, &settings->cluster_keys);
                   });
  reader.ReadValue(
      "ports", Presence::kOptional, [&](const json& value, std::string path) {
        ReadPorts(value, std::move(path), errors, &settings->ports);
      });
}

}  // namespace

std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text) {
  const Result<json> parsed = config::ParseJson(text);
  if (!parsed.ok()) {
    return SettingsErrors{parsed.error()};
  }
  SettingsErrors errors;
  Settings settings;
  ObjectReader reader(parsed.value(), "", &errors);
  reader.ReadName("name", Presence::kRequired, &settings.name);
  reader.ReadName("zone", Presence::kRequired, &settings.zone);
  reader.ReadName("region", Presence::kOptional, &settings.region);
  ReadIp(reader, "bind", Presence::kRequired, &settings.bind);
  settings.advertise = settings.bind;
  ReadIp(reader, "advertise", Presence::kOptional, &settings.advertise);
  reader.ReadEndpoint("fabric", Presence::kRequired, &settings.fabric);
  reader.ReadEndpoint("platform", Presence::kRequired, &settings.platform);
  ReadPolicies(reader, &settings);
  ReadLogLevel(reader, &settings.log_level);
  ReadNumbers(reader, &settings);
  ReadLists(reader, &errors, &settings);
  if (errors.empty() && settings.cluster_keys.empty()) {
    reader.Report(ResultCode::kInvalidField, "cluster_keys",
                  "must contain one or two keys");
  }
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

std::variant<Settings, SettingsErrors> ReadSettings(const std::string& path) {
  const auto text = daemon::ReadSettingsFile(path);
  if (!text.ok()) {
    return SettingsErrors{text.error()};
  }
  return ParseSettings(text.value());
}

}  // namespace gcw::balancer
