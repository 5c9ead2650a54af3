#include "src/direct/zones_out.h"

#include <algorithm>
#include <utility>

namespace gcw::direct {

void ZonesOut::Apply(std::span<const std::string> zones,
                     Version revision,
                     absl::Time now) {
  // Before the first list there is nothing to retain.
  if (EpochOf(revision) > EpochOf(revision_)) {
    retained_ = names_;
    retained_until_ = now + restore_grace_;
  }
  revision_ = revision;
  listed_ = Names(zones.begin(), zones.end());
  for (const std::string& zone : listed_) {
    // From now on the store decides when the zone returns.
    retained_.erase(zone);
  }
  Update();
}

void ZonesOut::Keep(std::span<const std::string> zones, absl::Time until) {
  for (const std::string& zone : zones) {
    if (!listed_.contains(zone)) {
      retained_.insert(zone);
      retained_until_ = std::max(retained_until_, until);
    }
  }
  Update();
}

void ZonesOut::OnTick(absl::Time now) {
  if (!retained_.empty() && now >= retained_until_) {
    retained_.clear();
    Update();
  }
}

std::vector<std::string> ZonesOut::TakeReturned() {
  return std::exchange(returned_, {});
}

void ZonesOut::Update() {
  Names names = listed_;
  names.insert(retained_.begin(), retained_.end());
  for (const std::string& zone : names) {
    if (!names_.contains(zone)) {
      events_->push_back(ZoneChanged{zone, true, revision_});
    }
  }
  for (const std::string& zone : names_) {
    if (!names.contains(zone)) {
      events_->push_back(ZoneChanged{zone, false, revision_});
      returned_.push_back(zone);
    }
  }
  names_ = std::move(names);
}

}  // namespace gcw::direct
