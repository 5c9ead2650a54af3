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

// Which backend servers a daemon sends to, and how many slots it may use
// there. Not thread-safe.
class SlotPolicy {
 public:
  // `name`: see Dispatcher::Make; nullptr if there is no such policy.
  static std::unique_ptr<SlotPolicy> Make(std::string_view name);

  virtual ~SlotPolicy() = default;

  // Whether daemons hand requests to each other. Otherwise each sends what it
  // receives itself, and nothing tells a repeat from a first arrival.
  virtual bool coordinated() const = 0;

  virtual bool Manages(const config::BackendServer& server,
                       const MemberView& members) const = 0;
  // Whether one more attempt may be sent to `server`.
  virtual bool HasCapacity(const ServerState& server,
                           const MemberView& members,
                           absl::Time now) const = 0;
  // One of `servers`, which fit. Precondition: `servers` is not empty.
  virtual ServerState* Choose(std::span<ServerState* const> servers,
                              std::mt19937_64& random) const = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_SLOT_POLICY_H_
