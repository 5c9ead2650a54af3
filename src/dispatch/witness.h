#ifndef GCW_DISPATCH_WITNESS_H_
#define GCW_DISPATCH_WITNESS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/dispatch/options.h"
#include "gcw/dispatch/peer_messages.h"
#include "src/dispatch/member_view.h"

namespace gcw::dispatch {

// The role of one daemon per availability zone that votes on the owner of a
// request: it records the first owner that claims the request and names that
// owner to any other that claims it. Owners that need a majority of zones thus
// cannot both win. docs/design/dispatch.md has the proof. Not thread-safe.
class Witness {
 public:
  // `options` and `members` must outlive the witness.
  Witness(const DispatchOptions& options, MemberView& members);

  // `owner` claims request `id`. Only the first claim of an id is granted.
  // Precondition: duplicates of one claim message have been dropped, because a
  // second claim is rejected even if it comes from the same owner.
  ClaimReply OnClaim(std::string_view id,
                     const std::string& owner,
                     absl::Time now);

  // Drops expired records, and the oldest ones beyond the maximum number.
  void OnTick(absl::Time now);

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::string owner;
    absl::Time claimed;
  };

  void DropOldest(absl::Time now);

  const DispatchOptions& options_;
  MemberView& members_;
  absl::flat_hash_map<std::string, Record> records_;
  std::deque<std::string> claim_order_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_WITNESS_H_
