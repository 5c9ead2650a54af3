#ifndef GCW_DIRECT_PLACER_H_
#define GCW_DIRECT_PLACER_H_

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "src/direct/cold_limiter.h"
#include "src/direct/server_table.h"

namespace gcw::direct {

// Result of choosing a backend server for a new flow.
struct Placement {
  ServerEntry* server = nullptr;  // Null if no server can take the flow.
  std::uint32_t candidates = 0;   // Servers that could have been chosen.
  ExcludedServers excluded;
};

// Chooses the backend server of a new flow:
//
// - Servers are excluded if they are draining, gone, unreachable, at their flow
//   limit, in a zone taken out of service, or cold (in slow start) with this
//   daemon's quota of new flows used up.
// - Servers in the zone that the caller of Choose() prefers come first.
// - Among these, the server with the fewest open flows of this daemon per slot
//   is chosen. A server processes one request per slot at a time. Ties are
//   broken at random, so that daemons don't all choose the same server.
//
// Has no I/O. Not thread-safe.
class Placer {
 public:
  explicit Placer(std::uint64_t seed) : random_(seed) {}

  // Chooses a server of `service` for a new flow, in `zone` if a server there
  // can take it. If the server is cold (in
  // slow start), counts the flow against this daemon's quota for the server.
  // `avoid` is chosen only if there is no other server; it may be null.
  Placement Choose(const ServerTable& servers,
                   const Service& service,
                   const std::set<std::string, std::less<>>& zones_out,
                   std::string_view zone,
                   const ServerEntry* avoid,
                   absl::Time now);

  // Sets this daemon's position in the fleet, which determines its quotas for
  // cold servers. See ColdLimiter::SetFleetPosition().
  void SetFleetPosition(const FleetPosition& position, absl::Time now) {
    cold_limiter_.SetFleetPosition(position, now);
  }
  const FleetPosition& fleet() const { return cold_limiter_.fleet(); }

  // Removes outdated records of new flows to cold servers. Call this about
  // every second.
  void Expire(absl::Time now) { cold_limiter_.Expire(now); }

  // Picks one of the services of `route` at random, according to the weights.
  // Precondition: `route` has at least one service.
  std::string_view PickService(const Route& route);
  // Whether PickService() may pick `service` for `route`.
  static bool MayPickService(const Route& route, std::string_view service);

 private:
  struct Candidate {
    ServerEntry* entry = nullptr;
    bool other_zone = false;  // In another zone than the preferred one.
  };

  // Whether the server `entry` may take a new flow of `service`. If not, counts
  // the reason in `excluded`.
  bool CanAccept(const ServerEntry& entry,
                 const Service& service,
                 const std::set<std::string, std::less<>>& zones_out,
                 absl::Time now,
                 ExcludedServers& excluded);
  // The best of the candidate servers, chosen at random among equally good
  // ones; null if there are no candidates.
  ServerEntry* PickBest(const ServerEntry* avoid, absl::Time now);

  std::mt19937_64 random_;
  // Used only during Choose(); a member to avoid repeated allocations.
  std::vector<Candidate> candidates_;
  ColdLimiter cold_limiter_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_PLACER_H_
