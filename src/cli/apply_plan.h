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

// A resource as the API shows it.
struct CurrentResource {
  Version version = 0;
  config::Resource resource;
};

using CurrentResources = std::map<config::ResourceId, CurrentResource>;

// One change of one resource that makes it what a document says.
struct PlannedChange {
  enum class Action { kCreate, kReplace, kNone };

  Action action = Action::kNone;
  config::Resource after;
  std::optional<config::Resource> before;
  Version version = 0;  // Of `before`.
};

// The resources of a document {"organisations":[],"zones":[],"servers":[],
// "services":[]} in the order in which they can be written, or every reason
// why it is wrong, with paths such as "services[2].addresses[0]". Pure;
// thread-safe.
struct Document {
  std::vector<config::Resource> resources;
  std::vector<Error> errors;
};
Document ParseDocument(std::string_view text);

struct ApplyPlan {
  std::vector<PlannedChange> changes;
  std::vector<Error> errors;  // With the resource's kind and name in the path.
};

// What has to change so that `current` becomes what the document says.
// Resources that the document does not name stay. Each change is validated on
// top of those before it. Pure; thread-safe.
ApplyPlan PlanApply(const Document& document, const CurrentResources& current);

// The differences as lines "+ service desk", "~ server s1", "    slots: 2 ->
// 3". Pure; thread-safe.
std::string RenderDiff(const ApplyPlan& plan);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_APPLY_PLAN_H_
