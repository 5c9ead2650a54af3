#include "gcw/dispatch/dispatcher.h"

#include <array>
#include <utility>

#include "src/dispatch/role_dispatcher.h"

namespace gcw::dispatch {
namespace {

Error Invalid(const char* field, const char* message) {
  return Error{ResultCode::kSettingsInvalid, field, message};
}

}  // namespace

std::string_view ToString(DecisionKind kind) {
  constexpr std::array<std::string_view, 12> kNames = {
      "server chosen", "home chosen", "queued",         "retried",
      "refused",       "answered",    "answer dropped", "cancelled",
      "server cold",   "server warm", "server ejected", "server readmitted"};
  return kNames[static_cast<std::size_t>(kind)];
}

Result<std::unique_ptr<Dispatcher>> Dispatcher::Make(
    const DispatchOptions& options) {
  std::unique_ptr<SlotPolicy> policy = SlotPolicy::Make(options.policy);
  if (policy == nullptr) {
    return Invalid("policy", "must be home, random, least_loaded or divided");
  }
  if (options.self.empty()) {
    return Invalid("self", "must not be empty");
  }
  if (options.boot_id == 0) {
    return Invalid("boot_id", "must not be 0");
  }
  if (options.max_attempts == 0) {
    return Invalid("max_attempts", "must be at least 1");
  }
  if (options.repeat_lifetime <= absl::ZeroDuration()) {
    return Invalid("repeat_lifetime", "must be more than 0");
  }
  std::unique_ptr<Dispatcher> dispatcher =
      std::make_unique<RoleDispatcher>(options, std::move(policy));
  return dispatcher;
}

}  // namespace gcw::dispatch
