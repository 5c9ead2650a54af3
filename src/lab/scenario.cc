#include "src/lab/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "gcw/config/object_reader.h"
#include "src/lab/event_reader.h"

namespace gcw::lab {
namespace {

using config::ObjectReader;
using config::Presence;
using nlohmann::json;

constexpr std::size_t kMaxAboutLength = 2000;
constexpr std::size_t kMaxEvents = 500;
constexpr double kMaxSeconds = 3600;
constexpr std::uint32_t kMaxDaemons = 64;
constexpr std::uint32_t kMaxStormEvents = 100;

// The bounds that every scenario starts with; a scenario can add bounds or
// replace the values of the default bounds.
const std::vector<Bound>& DefaultBounds() {
  static const std::vector<Bound> bounds = {
      {"flows.broken", 0},          {"flows.second_server", 0},
      {"packets.misdelivered", 0},  {"packets.to_out_zone_late", 0},
      {"packets.malformed", 0},     {"work.to_leaving_late", 0},
      {"requests.run_twice", 0},    {"requests.false_not_run", 0},
      {"requests.wrong_answer", 0}, {"requests.cut_by_planned_stop", 0},
      {"cold.overload", 1},         {"config.in_force_s", 5},
      {"config.reverts", 0},        {"daemons.crashed", 0},
  };
  return bounds;
}

void ReadLoad(const json& value,
              std::string path,
              ScenarioErrors* errors,
              LoadSettings* load) {
  ObjectReader reader(value, std::move(path), errors);
  constexpr double kMaxRate = 200000;
  reader.ReadNumber("flows_per_s", Presence::kOptional, 0, kMaxRate,
                    &load->flows_per_s);
  ReadDuration(reader, "flow_packet_interval_ms", absl::Milliseconds(1),
               &load->flow_packet_interval);
  ReadShare(reader, "long_flow_share", &load->long_flow_share);
  ReadDuration(reader, "short_flow_mean_ms", absl::Milliseconds(1),
               &load->short_flow_mean);
  ReadShare(reader, "quiet_flow_share", &load->quiet_flow_share);
  reader.ReadNumber("request_load", Presence::kOptional, 0, 10,
                    &load->request_load);
  ReadDuration(reader, "deadline_ms", absl::Milliseconds(1), &load->deadline);
  ReadShare(reader, "idempotent_share", &load->idempotent_share);
  ReadShare(reader, "cancel_share", &load->cancel_share);
  ReadDuration(reader, "repeat_after_ms", absl::Milliseconds(1),
               &load->repeat_after);
  ReadShare(reader, "double_share", &load->double_share);
  reader.Finish();
}

void ReadCold(const json& value,
              std::string path,
              ScenarioErrors* errors,
              ColdStart* cold) {
  ObjectReader reader(value, std::move(path), errors);
  ReadDuration(reader, "length_ms", absl::Milliseconds(1), &cold->length);
  ReadShare(reader, "first_share", &cold->first_share);
  reader.Finish();
}

void SetBound(const Bound& bound, std::vector<Bound>* bounds) {
  const auto same =
      std::find_if(bounds->begin(), bounds->end(), [&](const Bound& other) {
        return other.total == bound.total && other.at_least == bound.at_least;
      });
  if (same == bounds->end()) {
    bounds->push_back(bound);
  } else {
    *same = bound;
  }
}

// Replaces the role of a service ("main", "small" or "other") in the name of an
// imbalance total (a measured value), such as "imbalance.small", by the name of
// the service that has this role.
std::string ResolveTotal(const Topology& topology, const std::string& total) {
  const std::size_t dot = total.rfind('.');
  if (dot == std::string::npos || !total.starts_with("imbalance")) {
    return total;
  }
  return total.substr(0, dot + 1) +
         ResolveService(topology, total.substr(dot + 1));
}

void ReadBoundList(const json& value,
                   const std::string& path,
                   const Topology& topology,
                   bool at_least,
                   ScenarioErrors* errors,
                   std::vector<Bound>* bounds) {
  if (!value.is_object()) {
    errors->push_back({ResultCode::kInvalidField, path, "must be an object"});
    return;
  }
  for (const auto& [total, number] : value.items()) {
    if (!number.is_number()) {
      errors->push_back({ResultCode::kInvalidField,
                         config::FieldPath(path, total), "must be a number"});
      continue;
    }
    SetBound({ResolveTotal(topology, total), number.get<double>(), at_least},
             bounds);
  }
}

void ReadBounds(const json& value,
                const std::string& path,
                const Topology& topology,
                ScenarioErrors* errors,
                std::vector<Bound>* bounds) {
  ObjectReader reader(value, path, errors);
  for (const bool at_least : {false, true}) {
    reader.ReadValue(at_least ? "at_least" : "at_most", Presence::kOptional,
                     [&](const json& list, const std::string& list_path) {
                       ReadBoundList(list, list_path, topology, at_least,
                                     errors, bounds);
                     });
  }
  reader.Finish();
}

void ReadBases(ObjectReader& reader,
               ScenarioErrors* errors,
               std::string_view wanted,
               Scenario* scenario) {
  reader.ReadArray("bases", Presence::kRequired, 2,
                   [&](const json& value, std::string path) {
                     const bool known =
                         value.is_string() && IsBase(value.get<std::string>());
                     if (!known) {
                       errors->push_back({ResultCode::kInvalidField,
                                          std::move(path), "unknown base"});
                       return;
                     }
                     scenario->bases.push_back(value);
                   });
  scenario->base = std::string(wanted);
  if (wanted.empty() && !scenario->bases.empty()) {
    scenario->base = scenario->bases.front();
  }
  if (!IsBase(scenario->base)) {
    if (errors->empty()) {
      reader.Report(ResultCode::kInvalidField, "bases",
                    fmt::format("unknown deployment '{}'", scenario->base));
    }
    scenario->base = "valtellina";  // Lets the events be checked as well.
  }
}

void ReadEvents(ObjectReader& reader,
                const Topology& topology,
                ScenarioErrors* errors,
                Scenario* scenario) {
  reader.ReadArray("events", Presence::kOptional, kMaxEvents,
                   [&](const json& value, std::string path) {
                     scenario->events.push_back(
                         ReadEvent(value, std::move(path), topology, errors));
                   });
  std::stable_sort(scenario->events.begin(), scenario->events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

}  // namespace

std::variant<Scenario, ScenarioErrors> ParseScenario(std::string_view text,
                                                     std::string_view base) {
  const Result<json> parsed = config::ParseJson(text);
  if (!parsed.ok()) {
    return ScenarioErrors{parsed.error()};
  }
  ScenarioErrors errors;
  Scenario scenario;
  scenario.bounds = DefaultBounds();
  ObjectReader reader(parsed.value(), "", &errors);
  std::string about;
  reader.ReadString("about", Presence::kOptional, kMaxAboutLength, &about);
  ReadBases(reader, &errors, base, &scenario);
  double duration_s = 10;
  reader.ReadNumber("duration_s", Presence::kRequired, 1, kMaxSeconds,
                    &duration_s);
  scenario.duration = absl::Seconds(duration_s);
  auto daemons = static_cast<std::uint32_t>(scenario.daemons);
  reader.ReadUint("daemons", Presence::kOptional, 1, kMaxDaemons, &daemons);
  scenario.daemons = daemons;
  ReadDuration(reader, "fabric_lag_ms", absl::ZeroDuration(),
               &scenario.fabric_lag);
  ReadDuration(reader, "vm_list_lag_ms", absl::ZeroDuration(),
               &scenario.vm_list_lag);
  reader.ReadUint("storm_events", Presence::kOptional, 0, kMaxStormEvents,
                  &scenario.storm_events);
  reader.ReadValue("load", Presence::kOptional,
                   [&](const json& value, std::string path) {
                     ReadLoad(value, std::move(path), &errors, &scenario.load);
                   });
  reader.ReadValue("cold", Presence::kOptional,
                   [&](const json& value, std::string path) {
                     ReadCold(value, std::move(path), &errors, &scenario.cold);
                   });
  const Topology topology = MakeTopology(scenario.base, 0, scenario.daemons);
  ReadEvents(reader, topology, &errors, &scenario);
  reader.ReadValue("bounds", Presence::kOptional,
                   [&](const json& value, const std::string& path) {
                     ReadBounds(value, path, topology, &errors,
                                &scenario.bounds);
                   });
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return scenario;
}

}  // namespace gcw::lab
