#include "src/direct_balancer/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "gcw/config/object_reader.h"
#include "src/daemon/settings_file.h"

namespace gcw::direct_balancer {
namespace {

using config::ObjectReader;
using config::Presence;

constexpr std::size_t kMaxSeeds = 1000;
constexpr std::size_t kMaxNameLength = 63;
constexpr std::uint32_t kMaxPort = 65'535;
// The next port is used for messages between daemons as well.
constexpr std::uint32_t kMaxMembersPort = kMaxPort - 1;

// Reads an optional number of `unit`, which may have a fraction; without it,
// `target` keeps its value. The platform may state `true` or `false`
// for a bound without a figure.
void ReadTime(ObjectReader& reader,
              std::string_view key,
              absl::Duration unit,
              std::vector<Error>* ignored,
              absl::Duration* target) {
  bool has_figure = true;
  reader.ReadValue(
      key, Presence::kOptional,
      [&](const nlohmann::json& value, const std::string& path) {
        has_figure = !value.is_boolean();
        if (!has_figure) {
          ignored->push_back({ResultCode::kInvalidField, path,
                              "is true or false, which states no time"});
        }
      });
  if (!has_figure) {
    return;
  }
  double count = absl::FDivDuration(*target, unit);
  reader.ReadNumber(key, Presence::kOptional, 0,
                    std::numeric_limits<double>::max(), &count);
  *target = std::clamp(unit * count, kMinTime, kMaxTime);
}

void ReadTimes(ObjectReader& reader, Settings* settings) {
  struct Field {
    std::string_view key;
    absl::Duration unit;
    absl::Duration* target;
  };
  const Field fields[] = {
      {"max_flow_s", absl::Seconds(1), &settings->max_flow_age},
      {"stop_limit_s", absl::Seconds(1), &settings->stop_limit},
      {"configuration_deadline_ms", absl::Milliseconds(1),
       &settings->configuration_deadline},
      {"servers_deadline_ms", absl::Milliseconds(1),
       &settings->servers_deadline},
      {"zones_deadline_ms", absl::Milliseconds(1), &settings->zones_deadline},
      {"report_interval_ms", absl::Milliseconds(1), &settings->report_interval},
  };
  for (const Field& field : fields) {
    ReadTime(reader, field.key, field.unit, &settings->ignored, field.target);
  }
}

void ReadSeeds(ObjectReader& reader,
               SettingsErrors* errors,
               std::vector<Endpoint>* seeds) {
  reader.ReadArray(
      "seeds", Presence::kOptional, kMaxSeeds,
      [&](const nlohmann::json& value, const std::string& path) {
        Endpoint seed;
        if (config::ReadEndpointValue(value, path, errors, &seed)) {
          seeds->push_back(seed);
        }
      });
}

void ReadLogLevel(ObjectReader& reader, LogLevel* level) {
  auto position = static_cast<std::size_t>(*level);
  reader.ReadEnum("log_level", Presence::kOptional,
                  {"debug", "info", "warning", "error", "none"}, &position);
  *level = static_cast<LogLevel>(position);
}

}  // namespace

std::variant<Settings, SettingsErrors> ParseSettings(std::string_view text) {
  const Result<nlohmann::json> parsed = config::ParseJson(text);
  if (!parsed.ok()) {
    return SettingsErrors{parsed.error()};
  }
  SettingsErrors errors;
  Settings settings;
  ObjectReader reader(parsed.value(), "", &errors);
  reader.ReadString("name", Presence::kRequired, kMaxNameLength,
                    &settings.name);
  reader.ReadString("zone", Presence::kRequired, kMaxNameLength,
                    &settings.zone);
  reader.ReadEndpoint("packets", Presence::kRequired, &settings.packets);
  reader.ReadEndpoint("ready", Presence::kRequired, &settings.ready);
  reader.ReadEndpoint("platform", Presence::kRequired, &settings.platform);
  std::uint32_t metrics_port = 0;
  reader.ReadUint("metrics_port", Presence::kOptional, 1, kMaxPort,
                  &metrics_port);
  settings.metrics = {settings.packets.ip,
                      static_cast<std::uint16_t>(metrics_port)};
  std::uint32_t members_port = 0;
  reader.ReadUint("members_port", Presence::kRequired, 1, kMaxMembersPort,
                  &members_port);
  settings.members_port = static_cast<std::uint16_t>(members_port);
  ReadSeeds(reader, &errors, &settings.seeds);
  ReadTimes(reader, &settings);
  reader.ReadBool("load_exchange", Presence::kOptional,
                  &settings.load_exchange);
  ReadLogLevel(reader, &settings.log_level);
  reader.ReportUnknown(&settings.ignored);
  if (!errors.empty()) {
    errors.insert(errors.end(), settings.ignored.begin(),
                  settings.ignored.end());
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

std::vector<std::string_view> ChangedRestartOnlyFields(
    const Settings& current,
    const Settings& updated) {
  std::vector<std::string_view> fields;
  const auto compare = [&](std::string_view name, bool same) {
    if (!same) {
      fields.push_back(name);
    }
  };
  compare("name", current.name == updated.name);
  compare("zone", current.zone == updated.zone);
  compare("packets", current.packets == updated.packets);
  compare("ready", current.ready == updated.ready);
  compare("metrics_port", current.metrics == updated.metrics);
  compare("platform", current.platform == updated.platform);
  compare("members_port", current.members_port == updated.members_port);
  compare("max_flow_s", current.max_flow_age == updated.max_flow_age);
  compare("configuration_deadline_ms",
          current.configuration_deadline == updated.configuration_deadline);
  compare("servers_deadline_ms",
          current.servers_deadline == updated.servers_deadline);
  compare("zones_deadline_ms",
          current.zones_deadline == updated.zones_deadline);
  compare("report_interval_ms",
          current.report_interval == updated.report_interval);
  compare("load_exchange", current.load_exchange == updated.load_exchange);
  return fields;
}

}  // namespace gcw::direct_balancer
