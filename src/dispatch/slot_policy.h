#ifndef GCW_DISPATCH_SLOT_POLICY_H_
#define GCW_DISPATCH_SLOT_POLICY_H_

#include <memory>
#include <random>
#include <span>
#include <string_view>

#include "absl/time/time.h"
#include "src/dispatch/member_view.h"
#include "src/dispatch/server_state.h"

namespace gcw::dispatch {

// Decides which backend servers a daemon sends requests to and how many slots
// it may use there. Not thread-safe.
class SlotPolicy {
 public:
  // Makes the policy `name`, see Dispatcher::Make. Returns nullptr if there is
  // no such policy.
  static std::unique_ptr<SlotPolicy> Make(std::string_view name);

  virtual ~SlotPolicy() = default;

  // Whether daemons forward and assign requests to each other. Otherwise each
  // daemon sends the requests it receives to servers itself, and cannot tell a
  // repeat from a first arrival.
  virtual bool coordinated() const = 0;

  // Whether this daemon sends requests to `server`.
  virtual bool Manages(const config::BackendServer& server,
                       const MemberView& members) const = 0;
  // Whether this daemon may send one more attempt to `server` now.
  virtual bool HasCapacity(const ServerState& server,
                           const MemberView& members,
                           absl::Time now) const = 0;
  // Chooses one of `servers`, which all have capacity. Precondition: `servers`
  // is not empty.
  virtual ServerState* Choose(std::span<ServerState* const> servers,
                              std::mt19937_64& random) const = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SLOT_POLICY_H_
