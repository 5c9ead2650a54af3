#include "src/api/views.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "gcw/config/validate.h"

namespace gcw::api {
namespace {

using config::Resource;
using config::ResourceId;
using nlohmann::json;

constexpr std::string_view kZoneStatusPrefix = "status/zone/";

// The status report of one zone. Fields of an unexpected JSON type keep their
// defaults.
struct ZoneReport {
  bool is_readable = false;
  absl::Time at;
  json daemons = json::array();
  json servers = json::array();
};

// Parses the time in a report: RFC 3339 text, or milliseconds since the epoch.
std::optional<absl::Time> ReadTime(const json& value) {
  if (value.is_number_integer()) {
    return absl::FromUnixMillis(value.get<std::int64_t>());
  }
  absl::Time at;
  std::string error;
  const bool is_time = value.is_string() &&
                       absl::ParseTime(absl::RFC3339_full,
                                       value.get<std::string>(), &at, &error);
  return is_time ? std::optional(at) : std::nullopt;
}

ZoneReport ReadReport(const std::string& text) {
  ZoneReport report;
  json value = json::parse(text, nullptr, false);
  // A guarded object (see lease::GuardedObject) holds the report in "data",
  // beside the fencing token.
  if (value.is_object() && value.contains("data")) {
    value = json(value.at("data"));
  }
  if (!value.is_object() || !value.contains("at")) {
    return report;
  }
  const std::optional<absl::Time> at = ReadTime(value.at("at"));
  if (!at.has_value()) {
    return report;
  }
  report.is_readable = true;
  report.at = *at;
  for (const auto& [field, target] : {std::pair{"daemons", &report.daemons},
                                      std::pair{"servers", &report.servers}}) {
    if (value.contains(field) && value.at(field).is_array()) {
      *target = value.at(field);
    }
  }
  return report;
}

std::string TextField(const json& value, const char* field) {
  const bool is_text =
      value.is_object() && value.contains(field) && value.at(field).is_string();
  return is_text ? value.at(field).get<std::string>() : "";
}

// The smallest configuration revision in force on any of a zone's daemons;
// nullopt without daemons. A daemon that reports no revision counts as 0.
std::optional<Version> SmallestRevision(const json& daemons) {
  std::optional<Version> smallest;
  for (const json& daemon : daemons) {
    const bool has_revision = daemon.is_object() &&
                              daemon.contains("revision") &&
                              daemon.at("revision").is_number_unsigned();
    const Version revision =
        has_revision ? daemon.at("revision").get<Version>() : 0;
    smallest = std::min(smallest.value_or(revision), revision);
  }
  return smallest;
}

// Builds the status in JSON from the zones' reports.
class StatusBuilder {
 public:
  StatusBuilder(const StatusInput& input, const Identity& identity)
      : input_(input), identity_(identity) {}

  json Build() {
    for (const platform::Object& object : input_.objects) {
      if (object.key.starts_with(kZoneStatusPrefix)) {
        reports_[object.key.substr(kZoneStatusPrefix.size())] =
            ReadReport(object.value);
      }
    }
    for (const auto& [name, zone] : input_.configuration->snapshot->zones) {
      reports_.try_emplace(name);
    }
    for (const auto& [name, report] : reports_) {
      AddZone(name, report);
    }
    const bool is_complete = unreachable_.empty() && in_force_.has_value();
    return {
        {"revision", input_.revision},
        {"at", absl::ToUnixMillis(input_.now)},
        {"in_force_everywhere", is_complete ? json(*in_force_) : json(nullptr)},
        {"zones", std::move(zones_)},
        {"unreachable", std::move(unreachable_)},
        {"problems", VisibleProblems()}};
  }

 private:
  void AddZone(const std::string& name, const ZoneReport& report) {
    const absl::Duration age = input_.now - report.at;
    const bool is_fresh = report.is_readable && age <= input_.stale_after;
    const auto configured = input_.configuration->snapshot->zones.find(name);
    const bool is_known =
        configured != input_.configuration->snapshot->zones.end();
    zones_.push_back(
        {{"zone", name},
         {"state", is_known ? json(config::ToString(configured->second.state))
                            : json(nullptr)},
         {"reachable", is_fresh},
         {"age_ms", report.is_readable ? json(absl::ToInt64Milliseconds(age))
                                       : json(nullptr)},
         {"daemons", report.daemons},
         {"servers", VisibleServers(report.servers)}});
    if (!is_fresh) {
      unreachable_.push_back(name);
      return;
    }
    const std::optional<Version> smallest = SmallestRevision(report.daemons);
    if (smallest.has_value()) {
      in_force_ = std::min(in_force_.value_or(*smallest), *smallest);
    }
  }

  json VisibleServers(const json& servers) const {
    json visible = json::array();
    for (const json& server : servers) {
      const auto& known = input_.configuration->snapshot->servers;
      const auto it = known.find(TextField(server, "name"));
      const bool may_see =
          it != known.end() && MayRead(identity_, Resource(it->second));
      if (may_see || identity_.is_pool()) {
        visible.push_back(server);
      }
    }
    return visible;
  }

  // Errors in stored objects that the caller may see.
  json VisibleProblems() const {
    json problems = json::array();
    for (const config::ObjectProblem& problem :
         input_.configuration->problems) {
      const std::optional<ResourceId> id = config::ParseKey(problem.key);
      const std::optional<Resource> resource =
          id.has_value()
              ? config::FindResource(*input_.configuration->snapshot, *id)
              : std::nullopt;
      const bool may_see =
          resource.has_value() && MayRead(identity_, *resource);
      if (may_see || identity_.is_pool()) {
        problems.push_back({{"key", problem.key},
                            {"code", static_cast<unsigned>(problem.error.code)},
                            {"field", problem.error.field},
                            {"message", problem.error.message}});
      }
    }
    return problems;
  }

  const StatusInput& input_;
  const Identity& identity_;
  std::map<std::string, ZoneReport> reports_;
  json zones_ = json::array();
  json unreachable_ = json::array();
  std::optional<Version> in_force_;
};

}  // namespace

json ViewOf(const Resource& resource, Version version, Version created) {
  return {{"kind", config::ToString(config::KindOf(resource))},
          {"name", config::NameOf(resource)},
          {"version", version},
          {"created", created},
          {"spec", config::EncodeSpec(resource)}};
}

std::optional<json> VisibleView(const platform::Object& object,
                                const Identity& identity) {
  const std::optional<ResourceId> id = config::ParseKey(object.key);
  if (!id.has_value()) {
    return std::nullopt;
  }
  const Result<config::StoredObject> stored =
      config::DecodeStored(*id, object.value, object.version, object.created);
  if (!stored.ok() || !MayRead(identity, stored.value().resource)) {
    return std::nullopt;
  }
  return ViewOf(stored.value().resource, object.version, object.created);
}

json StatusView(const StatusInput& input, const Identity& identity) {
  return StatusBuilder(input, identity).Build();
}

}  // namespace gcw::api
