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

// Records which owner decides about a request, and tells others that ask.
// docs/design/dispatch.md has the proof. Not thread-safe.
class Witness {
 public:
  // `members` must outlive the witness.
  Witness(const DispatchOptions& options, MemberView& members);

  // `owner` wants to decide about `id`. The first claim of an id is granted.
  // Precondition: copies of one claim message were sorted out.
  ClaimReply OnClaim(std::string_view id,
                     const std::string& owner,
                     absl::Time now);

  // Drops records whose lifetime is over.
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
