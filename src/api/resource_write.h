#ifndef GCW_SRC_API_RESOURCE_WRITE_H_
#define GCW_SRC_API_RESOURCE_WRITE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gcw/config/codec.h"
#include "gcw/config/snapshot.h"
#include "gcw/config/validate.h"
#include "gcw/platform/conditional_write.h"
#include "src/api/access.h"
#include "src/api/claims.h"
#include "src/api/message.h"

namespace gcw::api {

enum class WriteMode { kCreate, kReplace, kPatch, kDelete };

// A write of one resource, as requested by an operator.
struct ResourceWrite {
  WriteMode mode = WriteMode::kCreate;
  config::ResourceId id;
  nlohmann::json body;  // The spec, or for kPatch the JSON merge patch.
  // The write requires that the resource has this version.
  std::optional<Version> if_match;
  // The write requires that the resource was created at this version.
  std::optional<Version> if_created;
  // The write requires that the spec has these values in these fields.
  nlohmann::json if_spec;
  std::string operation_id;  // Prefixed with the caller's name.
  // Whether the caller sent the operation id, so that the write may be a retry.
  bool may_be_repeat = false;
  // The caller sent the operation id for the first time after this version, so
  // an earlier attempt can only have a later version.
  std::optional<Version> operation_after;
  Identity identity;
};

// The effect of a ResourceWrite on one state of the resource.
struct PlannedWrite {
  std::optional<config::Resource> before;  // nullopt: does not exist.
  std::optional<config::Resource> after;   // nullopt: is deleted.
  config::AddressClaims old_claims;        // Of the addresses in `before`.
};

// The result of a successful write.
struct WriteResult {
  platform::WriteOutcome outcome;
  // The resource after the write; nullopt if it was deleted or is not known.
  std::optional<config::Resource> resource;
};

// Computes the effect of `write` on the object `current` (null if there is
// none). Checks access, existence, version, preconditions, the body and
// consistency with the rest of the configuration in `snapshot`; returns all
// errors of the first check that fails. Pure; thread-safe.
std::variant<PlannedWrite, std::vector<Error>> PlanWrite(
    const ResourceWrite& write,
    const platform::Object* current,
    const config::Snapshot& snapshot);

// Performs one write of a resource, and acquires and releases the claims of its
// addresses. Blocks; not thread-safe.
class ResourceWriter {
 public:
  // `client` must outlive the object.
  ResourceWriter(platform::PlatformClient* client, std::uint64_t seed);

  // Performs `write`, validated against the configuration in `snapshot`. On
  // failure returns at least one error.
  std::variant<WriteResult, std::vector<Error>> Run(
      const ResourceWrite& write,
      const config::Snapshot& snapshot);

 private:
  // Acquires claims of the addresses that `plan` adds, and returns them with
  // the existing claims of the addresses that it keeps. Claims that did not
  // exist before are also added to `new_claims`, so that a failed write can
  // release them.
  Result<config::AddressClaims> ClaimAddresses(
      const ResourceWrite& write,
      const PlannedWrite& plan,
      config::AddressClaims* new_claims);
  // Releases the claims in `held` of addresses that are not in `kept`.
  void ReleaseClaimsNotIn(const config::AddressClaims& held,
                          const config::AddressClaims& kept);

  platform::ConditionalWriter writer_;
  Claims claims_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_RESOURCE_WRITE_H_
