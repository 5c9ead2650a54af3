#include "src/balancer/zone_status.h"

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

// Candidates of a zone, so that one can take over if the other fails.
constexpr std::size_t kMaxCandidates = 2;
// A daemon whose last report is older than this counts as silent.
constexpr absl::Duration kMaxReportAge = absl::Seconds(15);

// The number of flows to `server` in the "routing" part of a status.
std::uint64_t FlowsOf(const json& routing, const std::string& server) {
  for (const json& entry : routing.value("servers", json::array())) {
    if (entry.value("server", "") == server) {
      return entry.value("flows", std::uint64_t{0});
    }
  }
  return 0;
}

std::string StateOf(const json& server) {
  if (server.value("ejected", false)) {
    return "ejected";
  }
  return server.value("cold", false) ? "cold" : "warm";
}

std::string TimeText(absl::Time time) {
  return absl::FormatTime(absl::RFC3339_sec, time, absl::UTCTimeZone());
}

}  // namespace

json MakeDaemonReport(const json& status) {
  const json routing = status.value("routing", json::object());
  const json dispatch = status.value("dispatch", json::object());
  const std::string self = status.value("name", "");
  json servers = json::array();
  for (const json& server : dispatch.value("servers", json::array())) {
    if (server.value("home", "") != self) {
      continue;
    }
    const std::string name = server.value("server", "");
    servers.push_back({{"name", name},
                       {"state", StateOf(server)},
                       {"flows", FlowsOf(routing, name)},
                       {"in_flight", server.value("in_flight", 0)},
                       {"allowed", server.value("allowed", 0)}});
  }
  return {{"revision", status.value("revision", std::uint64_t{0})},
          {"flows", routing.value("flows", std::uint64_t{0})},
          {"unsettled_buckets",
           routing.value("unsettled_buckets", std::uint64_t{0})},
          {"servers", std::move(servers)}};
}

std::vector<std::string> StatusWriterCandidates(
    std::span<const membership::Member> members,
    std::string_view zone) {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const membership::Member& member : members) {
    if (member.zone == zone && member.live()) {
      ranked.emplace_back(StableHash(member.name, StableHash(zone)),
                          member.name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(kMaxCandidates, ranked.size()); ++i) {
    names.push_back(ranked[i].second);
  }
  std::sort(names.begin(), names.end());
  return names;
}

ZoneStatus::ZoneStatus(std::string zone) : zone_(std::move(zone)) {}

void ZoneStatus::Add(const std::string& daemon,
                     const json& report,
                     absl::Time now) {
  const bool valid = report.is_object() && report.contains("revision") &&
                     report["revision"].is_number_unsigned() &&
                     report.contains("servers") && report["servers"].is_array();
  if (valid) {
    reports_[daemon] = {report, now};
  }
}

json ZoneStatus::Build(std::span<const membership::Member> members,
                       absl::Time now,
                       absl::Time wall_time) {
  json daemons = json::array();
  json servers = json::array();
  std::map<std::string, Report> kept;
  for (const membership::Member& member : members) {
    if (member.zone != zone_ || !member.live()) {
      continue;
    }
    const auto found = reports_.find(member.name);
    const bool recent = found != reports_.end() &&
                        now - found->second.received <= kMaxReportAge;
    const std::uint64_t revision =
        recent ? found->second.value["revision"].get<std::uint64_t>()
               : member.revision;
    daemons.push_back(
        {{"name", member.name},
         {"revision", revision},
         {"state", recent ? membership::ToString(member.state) : "silent"},
         {"since", TrackChange("daemon/" + member.name,
                               std::to_string(revision), wall_time)}});
    if (recent) {
      AddServers(found->second, wall_time, &servers);
      kept[member.name] = found->second;
    }
  }
  reports_ = std::move(kept);
  return {{"zone", zone_},
          {"at", TimeText(wall_time)},
          {"daemons", std::move(daemons)},
          {"servers", std::move(servers)}};
}

std::string ZoneStatus::TrackChange(const std::string& key,
                                    const std::string& value,
                                    absl::Time wall_time) {
  const auto [it, added] =
      tracked_values_.try_emplace(key, TrackedValue{value, wall_time});
  if (!added && it->second.value != value) {
    it->second = {value, wall_time};
  }
  return TimeText(it->second.changed_at);
}

void ZoneStatus::AddServers(const Report& report,
                            absl::Time wall_time,
                            json* servers) {
  for (const json& server : report.value["servers"]) {
    if (!server.is_object() || !server.value("name", json()).is_string()) {
      continue;
    }
    json entry = server;
    const std::string name = server["name"].get<std::string>();
    const json state = server.value("state", json("unknown"));
    entry["cold"] = state == "cold";
    entry["since"] = TrackChange("server/" + name, state.dump(), wall_time);
    servers->push_back(std::move(entry));
  }
}

}  // namespace gcw::balancer
