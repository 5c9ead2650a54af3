#include "src/direct_balancer/configuration_selector.h"

#include <algorithm>
#include <utility>

namespace gcw::direct_balancer {
namespace {

// After a restore, operators may write their configurations again one by one.
// An older one that they write is put in force if no later one follows within
// this time.
constexpr absl::Duration kRewriteTime = absl::Seconds(2);

}  // namespace

bool ConfigurationSelector::OnStored(StoredConfiguration stored,
                                     absl::Time now) {
  highest_number_ = std::max(highest_number_, stored.configuration.version);
  const bool older = in_force_ && stored.configuration.version <
                                      in_force_->configuration.version;
  if (!older) {
    PutInForce(std::move(stored));
    return true;
  }
  const relay::Version version = stored.object.version;
  const bool restored = EpochOf(version) > EpochOf(in_force_->object.version);
  if (!restored || EpochOf(copy_version_) < EpochOf(version)) {
    // A write that the store executed late, or the first state of the restored
    // store, a part of its copy.
    copy_version_ = version;
    pending_.reset();
  } else if (version > copy_version_) {
    SetPending(std::move(stored), now);
  }
  return false;
}

void ConfigurationSelector::SetPending(StoredConfiguration stored,
                                       absl::Time now) {
  if (!pending_) {
    pending_until_ = now + kRewriteTime;
    pending_ = std::move(stored);
  } else if (stored.configuration.version >= pending_->configuration.version) {
    pending_ = std::move(stored);
  }
}

bool ConfigurationSelector::OnRetained(StoredConfiguration retained,
                                       relay::Version copy_version) {
  const bool from_before = retained.object.version < copy_version;
  const bool written_since =
      in_force_ && in_force_->object.version > copy_version;
  const bool newer = !in_force_ || retained.configuration.version >
                                       in_force_->configuration.version;
  if (!from_before || written_since || !newer) {
    return false;
  }
  PutInForce(std::move(retained));
  copy_version_ = copy_version;
  return true;
}

bool ConfigurationSelector::OnStale(StoredConfiguration offered) {
  if (!in_force_ || offered.configuration.version <= highest_number_) {
    return false;
  }
  highest_number_ = offered.configuration.version;
  PutInForce(std::move(offered));
  return true;
}

bool ConfigurationSelector::OnTick(absl::Time now) {
  if (!pending_ || now < pending_until_) {
    return false;
  }
  PutInForce(*std::exchange(pending_, std::nullopt));
  return true;
}

void ConfigurationSelector::PutInForce(StoredConfiguration configuration) {
  in_force_ = std::move(configuration);
  copy_version_ = 0;
  pending_.reset();
}

}  // namespace gcw::direct_balancer
