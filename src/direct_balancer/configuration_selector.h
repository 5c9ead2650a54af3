#ifndef GCW_DIRECT_BALANCER_CONFIGURATION_SELECTOR_H_
#define GCW_DIRECT_BALANCER_CONFIGURATION_SELECTOR_H_

#include <optional>

#include "absl/time/time.h"
#include "gcw/direct/resources.h"
#include "gcw/relay/object.h"

namespace gcw::direct_balancer {

// A configuration, and the object of the store that it was decoded from.
struct StoredConfiguration {
  direct::Configuration configuration;
  relay::Object object;
};

// Decides which configuration is in force. Operators give each configuration a
// higher number than the one before, and one that they have replaced is not put
// in force again: the store may execute a write seconds after a later one, and
// a restored store has what its copy had. Only after a restore may operators
// write under a lower number. Has no I/O. Not thread-safe.
class ConfigurationSelector {
 public:
  // The store has `stored`. Returns whether it is in force now.
  bool OnStored(StoredConfiguration stored, absl::Time now);
  // A peer has `retained` in force, although the store has had an older one
  // since `copy_version`. Returns whether it is in force here now.
  bool OnRetained(StoredConfiguration retained, relay::Version copy_version);
  // An answer of the store that is ignored as stale has `offered`. Returns
  // whether it is in force now, because its number is higher than any before.
  bool OnStale(StoredConfiguration offered);
  // Puts a configuration in force that operators have written after a restore
  // under a lower number. Returns whether there was one.
  bool OnTick(absl::Time now);

  // The configuration in force, or null before the first one. Valid until the
  // next call of another method.
  const StoredConfiguration* in_force() const {
    return in_force_ ? &*in_force_ : nullptr;
  }
  // Whether the store has an older configuration than the one in force.
  bool retained() const { return copy_version_ != 0; }
  // The version of the store's older configuration; 0 if there is none.
  relay::Version copy_version() const { return copy_version_; }

 private:
  void PutInForce(StoredConfiguration configuration);
  // Operators have written `stored` after a restore, under a lower number than
  // the one in force.
  void SetPending(StoredConfiguration stored, absl::Time now);

  std::optional<StoredConfiguration> in_force_;
  relay::Version copy_version_ = 0;
  direct::Version highest_number_ = 0;  // Of all that the store had.
  // What operators have written after a restore under a lower number than the
  // one in force, and when it is put in force.
  std::optional<StoredConfiguration> pending_;
  absl::Time pending_until_ = absl::InfiniteFuture();
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_CONFIGURATION_SELECTOR_H_
