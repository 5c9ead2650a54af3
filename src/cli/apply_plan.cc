#include "src/cli/apply_plan.h"

#include <fmt/format.h>

#include <array>
#include <set>
#include <utility>
#include <variant>

#include "gcw/config/object_reader.h"
#include "gcw/config/snapshot.h"
#include "gcw/config/validate.h"

namespace gcw::cli {
namespace {

using config::Resource;
using config::ResourceId;
using config::ResourceKind;
using nlohmann::json;

constexpr std::size_t kMaxResources = 10'000;
// A resource is written before the resources that refer to it.
constexpr std::array kWriteOrder = {ResourceKind::kOrganisation,
                                    ResourceKind::kZone, ResourceKind::kServer,
                                    ResourceKind::kService};

std::string DisplayName(const ResourceId& id) {
  return fmt::format("{} {}", config::ToString(id.kind), id.name);
}

// Visitor that adds a resource to a snapshot or replaces it there.
struct SnapshotInserter {
  config::Snapshot* snapshot;

  void operator()(const config::Organisation& organisation) const {
    snapshot->organisations[organisation.name] = organisation;
  }
  void operator()(const config::Service& service) const {
    snapshot->services[service.name] = service;
  }
  void operator()(const config::BackendServer& server) const {
    snapshot->servers[server.name] = server;
  }
  void operator()(const config::AvailabilityZone& zone) const {
    snapshot->zones[zone.name] = zone;
  }
};

void ReadCollection(ResourceKind kind,
                    config::ObjectReader& reader,
                    Document* document) {
  std::set<std::string> names;
  const auto read = [&](const json& spec, const std::string& path) {
    config::DecodedResource decoded =
        config::DecodeSpec(kind, spec, config::UnknownFields::kRefuse);
    for (Error& error : decoded.errors) {
      error.field = config::FieldPath(path, error.field);
      document->errors.push_back(std::move(error));
    }
    if (!decoded.resource.has_value()) {
      return;
    }
    if (!names.insert(config::NameOf(*decoded.resource)).second) {
      document->errors.push_back(
          {ResultCode::kInvalidField, path + ".name", "occurs more than once"});
    }
    document->resources.push_back(std::move(*decoded.resource));
  };
  reader.ReadArray(fmt::format("{}s", config::ToString(kind)),
                   config::Presence::kOptional, kMaxResources, read);
}

PlannedChange PlanChange(const Resource& desired,
                         const CurrentResources& current) {
  const auto it = current.find(config::IdOf(desired));
  if (it == current.end()) {
    return {PlannedChange::Action::kCreate, desired, std::nullopt, 0};
  }
  const Resource& before = it->second.resource;
  const bool is_equal =
      config::EncodeSpec(before) == config::EncodeSpec(desired);
  return {
      is_equal ? PlannedChange::Action::kNone : PlannedChange::Action::kReplace,
      desired, before, it->second.version};
}

std::string RenderFields(const PlannedChange& change) {
  const json before =
      change.before.has_value() ? config::EncodeSpec(*change.before) : json();
  const json after = config::EncodeSpec(change.after);
  std::string lines;
  for (const auto& [field, value] : after.items()) {
    const json old = before.is_object() ? before.value(field, json()) : json();
    if (old == value) {
      continue;
    }
    lines += old.is_null() ? fmt::format("    {}: {}\n", field, value.dump())
                           : fmt::format("    {}: {} -> {}\n", field,
                                         old.dump(), value.dump());
  }
  return lines;
}

}  // namespace

Document ParseDocument(std::string_view text) {
  Document document;
  const Result<json> parsed = config::ParseJson(text);
  if (!parsed.ok()) {
    document.errors.push_back(parsed.error());
    return document;
  }
  config::ObjectReader reader(parsed.value(), "", &document.errors);
  for (ResourceKind kind : kWriteOrder) {
    ReadCollection(kind, reader, &document);
  }
  reader.Finish();
  return document;
}

ApplyPlan PlanApply(const Document& document, const CurrentResources& current) {
  ApplyPlan plan;
  config::Snapshot snapshot;
  const SnapshotInserter insert{&snapshot};
  for (const auto& [id, resource] : current) {
    std::visit(insert, resource.resource);
  }
  for (const Resource& desired : document.resources) {
    PlannedChange change = PlanChange(desired, current);
    const ResourceId id = config::IdOf(desired);
    for (Error& error :
         config::ValidateChange(snapshot, {id, desired, change.before})) {
      error.field = config::FieldPath(DisplayName(id), error.field);
      plan.errors.push_back(std::move(error));
    }
    std::visit(insert, desired);
    plan.changes.push_back(std::move(change));
  }
  return plan;
}

std::string RenderDiff(const ApplyPlan& plan) {
  std::string lines;
  std::size_t unchanged = 0;
  for (const PlannedChange& change : plan.changes) {
    if (change.action == PlannedChange::Action::kNone) {
      ++unchanged;
      continue;
    }
    const bool is_new = change.action == PlannedChange::Action::kCreate;
    lines += fmt::format("{} {}\n", is_new ? '+' : '~',
                         DisplayName(config::IdOf(change.after)));
    lines += RenderFields(change);
  }
  return lines + fmt::format("{} changed, {} unchanged\n",
                             plan.changes.size() - unchanged, unchanged);
}

}  // namespace gcw::cli
