#include "src/dispatch/witness.h"

namespace gcw::dispatch {

Witness::Witness(const DispatchOptions& options, MemberView& members)
    : options_(options), members_(members) {}

ClaimReply Witness::OnClaim(std::string_view id,
                            const std::string& owner,
                            absl::Time now) {
  const std::string key(id);
  const auto [it, added] = records_.try_emplace(key);
  if (!added) {
    // Reject a second claim of the same owner too: an owner that claims again
    // has lost its record and may have run the request.
    return {key, ClaimVerdict::kTaken, it->second.owner};
  }
  const bool certain = members_.KnowsAllGrants(id, now);
  it->second = {owner, now};
  claim_order_.push_back(key);
  return {key, certain ? ClaimVerdict::kGranted : ClaimVerdict::kUncertain, ""};
}

void Witness::OnTick(absl::Time now) {
  while (!claim_order_.empty()) {
    const Record& oldest = records_[claim_order_.front()];
    const bool expired = oldest.claimed + options_.record_lifetime < now;
    if (!expired && claim_order_.size() <= options_.max_records) {
      return;
    }
    DropOldest(now);
  }
}

void Witness::DropOldest(absl::Time now) {
  const absl::Time claimed = records_[claim_order_.front()].claimed;
  if (claimed + options_.repeat_lifetime > now) {
    // The limit on records drops a record whose request may still be repeated,
    // so this witness can no longer be certain of first arrivals.
    members_.RestartObservation(now);
  }
  records_.erase(claim_order_.front());
  claim_order_.pop_front();
}

}  // namespace gcw::dispatch
