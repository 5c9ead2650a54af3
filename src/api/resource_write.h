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

// A change that an operator asks for.
struct ResourceWrite {
  WriteMode mode = WriteMode::kCreate;
  config::ResourceId id;
  nlohmann::json body;                // The spec or the merge patch.
  std::optional<Version> if_match;    // Only on this version.
  std::optional<Version> if_created;  // Only if created at this version.
  nlohmann::json if_spec;  // Only while these fields have these values.
  std::string op;
  bool may_be_repeat = false;  // The operation id came from the caller.
  // The caller has sent the operation id for the first time after this version.
  std::optional<Version> operation_after;
  Identity identity;
};

// A change worked out against one state of the resource.
struct PlannedWrite {
  std::optional<config::Resource> before;
  std::optional<config::Resource> after;  // Nothing: deleted.
  config::AddressClaims old_claims;
};

// What a write came to.
struct WriteResult {
  platform::WriteOutcome outcome;
  // The resource after the write; nothing if deleted or not known.
  std::optional<config::Resource> resource;
};

// Works out `write` on the object `current` (null: none): existence, version,
// body, access and the rest of the configuration. Returns every fault of the
// first check that finds one. Pure; thread-safe.
std::variant<PlannedWrite, std::vector<Error>> PlanWrite(
    const ResourceWrite& write,
    const platform::Object* current,
    const config::Snapshot& snapshot);

// Carries out one write of a resource with the claims of its addresses.
// Blocks; not thread-safe.
class ResourceWriter {
 public:
  // `client` must outlive the object.
  ResourceWriter(platform::PlatformClient* client, std::uint64_t seed);

  // On failure returns at least one error.
  std::variant<WriteResult, std::vector<Error>> Run(
      const ResourceWrite& write,
      const config::Snapshot& snapshot);

 private:
  // Claims the addresses that `plan` adds; the claims of those it keeps stay.
  // Notes claims that did not stand before in `fresh`.
  Result<config::AddressClaims> ClaimAddresses(const ResourceWrite& write,
                                               const PlannedWrite& plan,
                                               config::AddressClaims* fresh);
  // Ends the claims that `kept` does not hold.
  void ReleaseOthers(const config::AddressClaims& held,
                     const config::AddressClaims& kept);

  platform::ConditionalWriter writer_;
  Claims claims_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_RESOURCE_WRITE_H_
