#ifndef GCW_SRC_API_CLAIMS_H_
#define GCW_SRC_API_CLAIMS_H_

#include <string>
#include <string_view>

#include "gcw/config/codec.h"
#include "gcw/platform/conditional_write.h"

namespace gcw::api {

using config::Version;

// A claim that is older than this may be taken over if the resource that made
// it does not use the address; a younger one may belong to a write in progress.
// Clock errors change only how soon an address becomes free: a late write under
// an old claim cannot take the address from the new holder, because the
// resource with the later claim keeps it (see config::SnapshotBuilder).
inline constexpr absl::Duration kClaimGracePeriod = absl::Seconds(10);

// The platform key of the claim object of `address`. Thread-safe.
std::string ClaimKeyOf(const Endpoint& address);

// The result of a successful Claims::Acquire.
struct ClaimGrant {
  Version version = 0;  // Of the claim object.
  // Whether the resource had no claim on the address before. Only then may the
  // claim be released if the write of the resource fails: a renewed claim may
  // be in use by another writer of the same resource.
  bool is_new = false;
};

// Claims addresses for resources. Each address has one claim object in the
// platform, which is written conditionally: if two operators give the same
// address to two resources at the same time, one of them fails. Blocks; not
// thread-safe.
class Claims {
 public:
  // `client` and `writer` must outlive the object.
  Claims(platform::PlatformClient* client, platform::ConditionalWriter* writer);

  // Claims `address` for the resource `owner`. A claim that `owner` already
  // holds gets a new version, so that a concurrent Release of the old version
  // does not delete it. Fails with kAddressClaimed or a kPlatform* error.
  Result<ClaimGrant> Acquire(const Endpoint& address,
                             const config::ResourceId& owner,
                             std::string_view operation_id);

  // Deletes the claim of `address` if its version is still `claim`. A failure
  // is logged and leaves an orphaned claim, which a later Acquire takes over.
  void Release(const Endpoint& address, Version claim);

 private:
  // Checks that `claim`, made by another resource, may be taken over: it is
  // older than kClaimGracePeriod and that resource does not use `address`.
  Status CheckCanTakeOver(const platform::Object& claim,
                          const Endpoint& address);

  platform::PlatformClient* client_;
  platform::ConditionalWriter* writer_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_CLAIMS_H_
