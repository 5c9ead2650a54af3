#ifndef GCW_DISPATCH_HOME_DIRECTORY_H_
#define GCW_DISPATCH_HOME_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "gcw/config/snapshot.h"
#include "gcw/dispatch/peer_messages.h"
#include "src/dispatch/member_view.h"

namespace gcw::dispatch {

// Knows the homes of each service and estimates their free slots from their
// hints and from the requests that this daemon assigned to them since. A home
// is a daemon that manages servers of the service. Not thread-safe.
class HomeDirectory {
 public:
  // Recomputes the homes of all services.
  void Rebuild(const config::Snapshot& snapshot, const MemberView& members);

  // `member` reported its slots and queue. Resets the count of assignments to
  // `member`.
  void OnHint(const std::string& member, const SlotHint& hint);
  // This daemon assigned a request of `service` to `member`.
  void OnAssigned(const std::string& member, const std::string& service);

  // Returns the home that is likely to start a request of `service` first,
  // among those that `usable` accepts, or an empty string if there is none.
  std::string Choose(const std::string& service,
                     const std::function<bool(const std::string&)>& usable,
                     std::mt19937_64& random) const;

  // Keeps a home's hint about its server, to be used if this daemon becomes the
  // server's home.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  // The last hint about a server.
  struct KnownServer {
    std::uint64_t incarnation = 0;
    absl::Time cold_until = absl::InfinitePast();
  };
  // Returns the last hint about `server`, or nullptr if there was none.
  const KnownServer* FindServer(std::string_view server) const;

  // Whether a usable home other than `self` is estimated to have a free slot.
  bool HasFreeSlotElsewhere(const std::string& service,
                            const std::string& self,
                            const MemberView& members) const;

 private:
  struct HomeState {
    std::uint32_t configured = 0;  // Configured slots, used before a hint.
    SlotHint hint;
    bool has_hint = false;
    std::uint32_t assigned = 0;  // Assignments since the hint.

    // Estimated values at present.
    double free() const;
    double queued() const;
    double slots() const;
  };
  using Homes = std::map<std::string, HomeState, std::less<>>;

  std::map<std::string, Homes, std::less<>> services_;
  std::map<std::string, KnownServer, std::less<>> servers_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_HOME_DIRECTORY_H_
