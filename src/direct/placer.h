#ifndef GCW_DIRECT_PLACER_H_
#define GCW_DIRECT_PLACER_H_

#include <cstdint>
#include <random>
#include <set>
#include <span>
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
  std::uint32_t candidates = 0;   // Servers that were compared.
  ExcludedServers excluded;
};

// Chooses the backend server of a new flow:
//
// - Servers are excluded if they are draining, gone, unreachable, at their flow
//   limit, in a zone taken out of service, or cold
//   with this daemon's quota of new flows used up.
// - Servers in the zone that the caller of Choose() prefers come first; if
//   there are many, some are drawn at random. Servers of other zones, cold
//   servers and servers that lapsed are considered only if none of these can
//   take the flow.
// - Among these, a server in slow start is chosen with a probability by its
//   share (ServerEntry::share), or if the expected waits of the others are many
//   times longer.
// - Else the server with the shortest expected wait is chosen: this daemon's
//   open flows on the server plus a random part of one, divided by the slots of
//   the server, times its slowness. A server processes one request per slot at
//   a time. The random part breaks ties so that a server which is twice as fast
//   gets about twice as many flows while all are idle. Without it all daemons,
//   which know the same slowness, would choose the same fastest servers at
//   once.
// - A server that gets many more new flows than the others is passed over.
//
// Answers the load patterns in which servers have different speeds, one server
// is slow or fails fast, many daemons place flows at the same time, or servers
// start while load is high. Has no I/O. Not thread-safe.
class Placer {
 public:
  explicit Placer(std::uint64_t seed) : random_(seed) {}

  // Chooses a server of `service` for a new flow, in `zone` if a server there
  // can take it. If the server is cold, counts the flow against this daemon's
  // quota for the server. `avoid` is chosen only if there is no other server;
  // it may be null.
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

  // Lets the record of recent new flows fade. Call this about every 50 ms.
  void OnTick(const ServerTable& servers, absl::Time now);

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
    // Expected wait, in units of the usual latency; in slow start divided by
    // the share.
    double wait = 0;
    double rest = 0;   // What is missing in `wait` of one whole new flow.
    double share = 1;  // ServerEntry::share.
    // ServerEntry::recent_flows for each slot: all, and all but one flow.
    double recent = 0;
    double recent_beyond_one = 0;
  };

  // Whether the server `entry`, of a zone that is in service, may take a new
  // flow of `service`. If not, counts the reason in `excluded`.
  bool CanAccept(const ServerEntry& entry,
                 const Service& service,
                 absl::Time now,
                 ExcludedServers& excluded);
  // Whether the server is meant to get new flows, according to the store.
  static bool IsListed(const ServerEntry& entry);

  // Adds the servers in `zone` that can take the flow without reservation as
  // candidates: all, or some that are drawn if there are many.
  void FindInZone(std::span<const ZoneServers> zones,
                  const Service& service,
                  const std::set<std::string, std::less<>>& zones_out,
                  std::string_view zone,
                  const ServerEntry* avoid,
                  absl::Time now);
  // Adds the servers of the best rank among all servers as candidates.
  void FindInAll(std::span<const ZoneServers> zones,
                 const Service& service,
                 const std::set<std::string, std::less<>>& zones_out,
                 std::string_view zone,
                 const ServerEntry* avoid,
                 absl::Time now,
                 ExcludedServers& excluded);
  void AddCandidate(ServerEntry* entry);
  // The best of the candidate servers; null if there are none.
  ServerEntry* PickBest();
  // One of the candidates in slow start, drawn by their shares, whose sum is
  // `shares`. Precondition: there is at least one.
  ServerEntry* PickStarting(double shares);
  // A random number above 0 and up to 1.
  double Draw();

  std::mt19937_64 random_;
  // Random bits for the next calls of Draw(), as one number yields several.
  std::uint64_t draws_ = 0;
  unsigned draws_left_ = 0;
  absl::Time last_decay_ = absl::InfinitePast();
  // Used only during Choose(); a member to avoid repeated allocations.
  std::vector<Candidate> candidates_;
  ColdLimiter cold_limiter_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_PLACER_H_
