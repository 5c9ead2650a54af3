#include "gcw/routing/routing_policy.h"

#include "src/routing/baseline_router.h"
#include "src/routing/table_router.h"

namespace gcw::routing {

namespace {

// Upper limit of RouterOptions::max_flows.
constexpr std::uint32_t kMaxFlowsLimit = 16'000'000;

Error Invalid(std::string field, std::string message) {
  return Error{ResultCode::kSettingsInvalid, std::move(field),
               std::move(message)};
}

}  // namespace

Result<std::unique_ptr<RoutingPolicy>> RoutingPolicy::Make(
    const RouterOptions& options) {
  if (options.self.empty()) {
    return Invalid("routing.self", "must not be empty");
  }
  if (options.max_flows == 0 || options.max_flows > kMaxFlowsLimit) {
    return Invalid("routing.max_flows", "must be from 1 to 16000000");
  }
  if (options.hello_interval <= absl::ZeroDuration() ||
      options.freshness_bound <= options.hello_interval) {
    return Invalid(
        "routing.freshness_bound",
        "must be longer than the hello interval, which must be positive");
  }
  if (options.activation_bound <= options.freshness_bound) {
    return Invalid("routing.activation_bound",
                   "must be longer than the freshness bound");
  }
  if (options.ramp_start < 0 || options.ramp_start > 1) {
    return Invalid("routing.ramp_start", "must be from 0 to 1");
  }
  if (options.policy == "tables") {
    return std::unique_ptr<RoutingPolicy>(
        std::make_unique<TableRouter>(options));
  }
  if (options.policy == "hash" || options.policy == "local") {
    return std::unique_ptr<RoutingPolicy>(
        std::make_unique<BaselineRouter>(options));
  }
  return Invalid("routing.policy", "must be tables, hash or local");
}

}  // namespace gcw::routing
