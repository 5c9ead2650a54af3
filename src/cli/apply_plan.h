#ifndef GCW_SRC_CLI_APPLY_PLAN_H_
#define GCW_SRC_CLI_APPLY_PLAN_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/codec.h"

namespace gcw::cli {

using config::Version;

// A resource as read from the API.
struct CurrentResource {
  Version version = 0;
  config::Resource resource;
};

using CurrentResources = std::map<config::ResourceId, CurrentResource>;

// The change that makes one resource equal to its entry in a document.
struct PlannedChange {
  enum class Action { kCreate, kReplace, kNone };

  Action action = Action::kNone;
  config::Resource after;
  std::optional<config::Resource> before;  // nullopt: does not exist.
  Version version = 0;                     // Of `before`.
};

// The resources of a parsed document and every error found in it.
struct Document {
  // Referenced resources stand before the resources that refer to them.
  std::vector<config::Resource> resources;
  std::vector<Error> errors;
};

// Parses a document {"organisations":[],"zones":[],"servers":[],"services":[]}.
// Errors name the wrong field with a path such as "services[2].addresses[0]".
// Pure; thread-safe.
Document ParseDocument(std::string_view text);

// The changes that applying a document requires, and why some are not valid.
struct ApplyPlan {
  std::vector<PlannedChange> changes;
  // The `field` of each error starts with the resource's kind and name.
  std::vector<Error> errors;
};

// Computes the changes that make `current` match the document. Resources that
// are not in the document stay as they are. Each change is validated against
// the state after the changes before it. Pure; thread-safe.
ApplyPlan PlanApply(const Document& document, const CurrentResources& current);

// Renders the changes as lines such as "+ service desk" (create),
// "~ server s1" (replace) and "    slots: 2 -> 3". Pure; thread-safe.
std::string RenderDiff(const ApplyPlan& plan);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_APPLY_PLAN_H_
