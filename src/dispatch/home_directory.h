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

// Which daemons are home of servers of a service, and how many slots they
// have free, by their hints and by what was handed to them since.
// Not thread-safe.
class HomeDirectory {
 public:
  // Recomputes the homes of all services.
  void Rebuild(const config::Snapshot& snapshot, const MemberView& members);

  void OnHint(const std::string& member, const SlotHint& hint);
  void OnAssigned(const std::string& member, const std::string& service);

  // The home that is likely to start a request of `service` first, of those
  // that `usable` accepts; empty if there is none.
  std::string Choose(const std::string& service,
                     const std::function<bool(const std::string&)>& usable,
                     std::mt19937_64& random) const;

  // What a home says of a server of its, for the day that this daemon is its
  // home.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  // The last hint on `server`, or nullptr.
  struct KnownServer {
    std::uint64_t incarnation = 0;
    absl::Time cold_until = absl::InfinitePast();
  };
  const KnownServer* FindServer(std::string_view server) const;

  // Whether a home other than `self` seems to have a free slot.
  bool HasFreeSlotElsewhere(const std::string& service,
                            const std::string& self,
                            const MemberView& members) const;

 private:
  struct HomeState {
    std::uint32_t configured = 0;  // Slots by configuration.
    SlotHint hint;
    bool has_hint = false;
    std::uint32_t assigned = 0;  // Since the hint.

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
