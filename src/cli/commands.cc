#include "src/cli/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/platform/backoff.h"
#include "src/cli/apply_plan.h"
#include "src/cli/render.h"

namespace gcw::cli {
namespace {

using config::ResourceId;
using config::ResourceKind;
using nlohmann::json;

// Pauses between polls of the status. Each poll costs two platform calls.
constexpr platform::BackoffOptions kStatusPollBackoff{absl::Milliseconds(200),
                                                      absl::Seconds(2)};
constexpr platform::BackoffOptions kWatchBackoff{absl::Milliseconds(200),
                                                 absl::Seconds(5)};

std::string CollectionPath(ResourceKind kind) {
  return fmt::format("/v1/{}s", config::ToString(kind));
}

std::string PathOf(const ResourceId& id) {
  return fmt::format("{}/{}", CollectionPath(id.kind), id.name);
}

void WriteJson(const Session& session, const json& value) {
  *session.out << value.dump(2) << "\n";
}

Version VersionField(const json& answer) {
  const bool has_version = answer.is_object() && answer.contains("version") &&
                           answer.at("version").is_number_unsigned();
  return has_version ? answer.at("version").get<Version>() : 0;
}

// The version that all daemons have in force according to `status`, or 0.
Version VersionInForce(const json& status) {
  const json in_force = status.value("in_force_everywhere", json());
  return in_force.is_number_unsigned() ? in_force.get<Version>() : 0;
}

// The unreachable zones, and the daemons that have not applied `version`.
std::string ListLaggingDaemons(const json& status, Version version) {
  std::string lagging;
  for (const json& zone : status.value("zones", json::array())) {
    const std::string name = zone.value("zone", "");
    if (!zone.value("reachable", false)) {
      lagging += fmt::format(" zone {} (unreachable)", name);
      continue;
    }
    for (const json& daemon : zone.value("daemons", json::array())) {
      const bool is_behind =
          daemon.is_object() && daemon.value("revision", Version{0}) < version;
      if (is_behind) {
        lagging += fmt::format(" {}", daemon.value("name", "?"));
      }
    }
  }
  return lagging.empty() ? " no daemon has reported" : lagging;
}

Status WaitUntilInForce(const Session& session, Version version) {
  if (session.wait <= absl::ZeroDuration() || version == 0) {
    return OkStatus();
  }
  const absl::Time deadline = absl::Now() + session.wait;
  std::string lagging = " the API";
  platform::Backoff poll_backoff(kStatusPollBackoff, version);
  while (absl::Now() < deadline) {
    const Result<json> status = session.api->Get("/v1/status");
    const Version in_force = status.ok() ? VersionInForce(status.value()) : 0;
    if (EpochOf(in_force) > EpochOf(version)) {
      return Error{
          ResultCode::kWaitTimedOut, "",
          fmt::format("version {} is accepted, but the platform has been "
                      "restored since; check whether the change is still there",
                      version)};
    }
    if (in_force >= version) {
      *session.out << fmt::format("version {} is in force everywhere\n",
                                  version);
      return OkStatus();
    }
    lagging = status.ok() ? ListLaggingDaemons(status.value(), version)
                          : fmt::format(" {}", ToString(status.error()));
    absl::SleepFor(std::min(poll_backoff.Next(), deadline - absl::Now()));
  }
  return Error{ResultCode::kWaitTimedOut, "",
               fmt::format("version {} is accepted; still waiting for:{}",
                           version, lagging)};
}

// Prints an accepted change; `action` is for example "applied".
void ShowChange(const Session& session,
                const json& answer,
                std::string_view action) {
  if (session.format == OutputFormat::kJson) {
    WriteJson(session, answer);
    return;
  }
  *session.out << fmt::format(
      "{} {} {}, version {}\n", answer.value("kind", ""),
      answer.value("name", ""), action, VersionField(answer));
}

Result<CurrentResources> ReadCurrent(const Session& session) {
  CurrentResources current;
  for (ResourceKind kind : {ResourceKind::kOrganisation, ResourceKind::kZone,
                            ResourceKind::kServer, ResourceKind::kService}) {
    const Result<json> list = session.api->Get(CollectionPath(kind));
    if (!list.ok()) {
      return list.error();
    }
    for (const json& item : list.value().value("items", json::array())) {
      config::DecodedResource decoded = config::DecodeSpec(
          kind, item.value("spec", json()), config::UnknownFields::kIgnore);
      if (decoded.resource.has_value()) {
        const ResourceId id = config::IdOf(*decoded.resource);
        current[id] = {VersionField(item), std::move(*decoded.resource)};
      }
    }
  }
  return current;
}

Error JoinErrors(const std::vector<Error>& errors) {
  Error joined = errors.front();
  for (std::size_t i = 1; i < errors.size(); ++i) {
    joined.message += fmt::format("\n{}", ToString(errors[i]));
  }
  return joined;
}

Result<json> WriteChange(const Session& session, const PlannedChange& change) {
  const ResourceId id = config::IdOf(change.after);
  const json spec = config::EncodeSpec(change.after);
  if (change.action == PlannedChange::Action::kCreate) {
    return session.api->Write("POST", CollectionPath(id.kind), spec, {});
  }
  return session.api->Write("PUT", PathOf(id), spec,
                            {.if_match = change.version});
}

Status ExecutePlan(const Session& session, const ApplyPlan& plan) {
  Version last = 0;
  std::size_t done = 0;
  for (const PlannedChange& change : plan.changes) {
    if (change.action == PlannedChange::Action::kNone) {
      continue;
    }
    const Result<json> answer = WriteChange(session, change);
    if (!answer.ok()) {
      Error error = answer.error();
      const ResourceId id = config::IdOf(change.after);
      error.message += fmt::format(
          " ({} '{}'; {} earlier changes were made; run apply again to "
          "continue)",
          config::ToString(id.kind), id.name, done);
      return error;
    }
    ++done;
    last = std::max(last, VersionField(answer.value()));
    ShowChange(session, answer.value(), "applied");
  }
  *session.out << fmt::format("{} changed, {} unchanged\n", done,
                              plan.changes.size() - done);
  return WaitUntilInForce(session, last);
}

std::string StateOf(const json& view) {
  return view.value(json::json_pointer("/spec/state"), "");
}

}  // namespace

Result<ResourceKind> ParseKind(std::string_view word) {
  for (ResourceKind kind : {ResourceKind::kOrganisation, ResourceKind::kService,
                            ResourceKind::kServer, ResourceKind::kZone}) {
    const std::string_view name = config::ToString(kind);
    if (word == name || word == fmt::format("{}s", name)) {
      return kind;
    }
  }
  return Error{
      ResultCode::kUsage, "KIND",
      fmt::format("'{}' is not one of organisation, service, server, zone",
                  word)};
}

Status RunGet(const Session& session, const ResourceId& id) {
  const Result<json> answer = session.api->Get(PathOf(id));
  if (!answer.ok()) {
    return answer.error();
  }
  if (session.format == OutputFormat::kJson) {
    WriteJson(session, answer.value());
  } else {
    *session.out << RenderResources(id.kind, json::array({answer.value()}));
  }
  return OkStatus();
}

Status RunList(const Session& session, ResourceKind kind) {
  const Result<json> answer = session.api->Get(CollectionPath(kind));
  if (!answer.ok()) {
    return answer.error();
  }
  if (session.format == OutputFormat::kJson) {
    WriteJson(session, answer.value());
  } else {
    *session.out << RenderResources(
        kind, answer.value().value("items", json::array()));
  }
  return OkStatus();
}

Status RunDelete(const Session& session, const ResourceId& id) {
  const Result<json> read = session.api->Get(PathOf(id));
  if (!read.ok()) {
    return read.error();
  }
  const Result<json> answer = session.api->Write(
      "DELETE", PathOf(id), json(), {.if_match = VersionField(read.value())});
  if (!answer.ok()) {
    return answer.error();
  }
  ShowChange(session, answer.value(), "deleted");
  return WaitUntilInForce(session, VersionField(answer.value()));
}

Status RunApply(const Session& session,
                std::string_view document,
                bool dry_run) {
  const Document parsed = ParseDocument(document);
  if (!parsed.errors.empty()) {
    return JoinErrors(parsed.errors);
  }
  const Result<CurrentResources> current = ReadCurrent(session);
  if (!current.ok()) {
    return current.error();
  }
  const ApplyPlan plan = PlanApply(parsed, current.value());
  if (dry_run) {
    *session.out << RenderDiff(plan);
  }
  if (!plan.errors.empty()) {
    return JoinErrors(plan.errors);
  }
  return dry_run ? OkStatus() : ExecutePlan(session, plan);
}

Status RunSetState(const Session& session,
                   const ResourceId& id,
                   std::string_view state) {
  const Result<json> read = session.api->Get(PathOf(id));
  if (!read.ok()) {
    return read.error();
  }
  const std::string old_state = StateOf(read.value());
  const Version version = VersionField(read.value());
  if (old_state == state) {
    ShowChange(session, read.value(), fmt::format("is {}", state));
    return WaitUntilInForce(session, version);
  }
  const Preconditions preconditions{
      .if_created = read.value().value("created", Version{0}),
      .if_spec = {{"state", old_state}},
      .operation_after = version};
  const Result<json> answer = session.api->Write(
      "PATCH", PathOf(id), {{"state", std::string(state)}}, preconditions);
  if (!answer.ok()) {
    return answer.error();
  }
  ShowChange(session, answer.value(), fmt::format("is {}", state));
  return WaitUntilInForce(session, VersionField(answer.value()));
}

Status RunStatus(const Session& session) {
  const Result<json> status = session.api->Get("/v1/status");
  if (!status.ok()) {
    return status.error();
  }
  if (session.format == OutputFormat::kJson) {
    WriteJson(session, status.value());
  } else {
    *session.out << RenderStatus(status.value());
  }
  return OkStatus();
}

Status RunWatch(const Session& session,
                ResourceKind kind,
                Version after,
                std::size_t count) {
  std::size_t changes = 0;
  Version position = after;
  bool is_compacted = false;
  const auto on_line = [&](const json& line) {
    const std::string type = line.value("type", "");
    is_compacted = type == "compacted";
    if (type == "bookmark") {
      position = std::max(position, VersionField(line));
      return true;
    }
    *session.out << line.dump() << "\n" << std::flush;
    changes += type == "put" || type == "deleted" ? 1 : 0;
    return count == 0 || changes < count;
  };
  platform::Backoff backoff(
      kWatchBackoff, static_cast<std::uint64_t>(absl::GetCurrentTimeNanos()));
  while (true) {
    const Version start = position;
    Status ended = session.api->Stream(
        fmt::format("{}?watch=1&after={}", CollectionPath(kind), position),
        on_line);
    if (count != 0 && changes >= count) {
      return OkStatus();
    }
    if (is_compacted) {
      return Error{ResultCode::kPlatformCompacted, "--after",
                   "the version is too old to resume from; list again"};
    }
    if (!ended.ok() && ended.error().code != ResultCode::kApiUnreachable) {
      return ended;
    }
    if (position != start) {
      backoff.Reset();
    }
    absl::SleepFor(backoff.Next());
  }
}

}  // namespace gcw::cli
