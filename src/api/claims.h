#ifndef GCW_SRC_API_CLAIMS_H_
#define GCW_SRC_API_CLAIMS_H_

#include <string>
#include <string_view>

#include "gcw/config/codec.h"
#include "gcw/platform/conditional_write.h"

namespace gcw::api {

using config::Version;

// A claim without a resource that uses it may be taken over when it is older.
// Only how soon an address is free again depends on clocks: a late write under
// an old claim takes no address from the new holder (see SnapshotBuilder).
inline constexpr absl::Duration kClaimGrace = absl::Seconds(10);

// The platform key of the claim of an address. Thread-safe.
std::string ClaimKeyOf(const Endpoint& address);

// A claim that was acquired.
struct ClaimGrant {
  Version version = 0;
  // There was none before. Only then may the claim be released when the write
  // of the resource fails: a renewed one may be in use by another writer of
  // the same resource.
  bool is_new = false;
};

// Claims addresses for resources: one object per address, written
// conditionally, so that of two operators who take one address at the same
// time in two resources one fails. Blocks; not thread-safe.
class Claims {
 public:
  // `client` and `writer` must outlive the object.
  Claims(platform::PlatformClient* client, platform::ConditionalWriter* writer);

  // Claims `address` for the resource `owner`. A claim that the owner has
  // already is renewed, so that a release that is under way misses it. Fails
  // with kAddressClaimed or a kPlatform* error.
  Result<ClaimGrant> Acquire(const Endpoint& address,
                             const config::ResourceId& owner,
                             std::string_view op);

  // Ends the claim of that version, if it still stands. A failure leaves an
  // orphan, which the next Acquire repairs.
  void Release(const Endpoint& address, Version claim);

 private:
  Status CheckOrphan(const platform::Object& claim, const Endpoint& address);

  platform::PlatformClient* client_;
  platform::ConditionalWriter* writer_;
};

}  // namespace gcw::api

#endif  // GCW_SRC_API_CLAIMS_H_
