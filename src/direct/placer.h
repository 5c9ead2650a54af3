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

struct PlacerOptions {
  std::string zone;
  std::uint64_t seed = 1;
};

struct Placement {
  ServerEntry* server = nullptr;  // Null: none can take the flow.
  std::uint32_t candidates = 0;
  ExcludedServers excluded;
};

// Chooses the backend server of a new flow:
//
// - never one that is draining, gone, out of reach, full, in a zone that is
//   out, or over its share of a cold server's limit;
// - in the daemon's own zone as long as that one's servers bear the load, so
//   that a cut between zones breaks few flows;
// - there the one with the fewest flows of this daemon for its slots, by lot
//   among equals, so that daemons do not choose in step.
//
// Pure; not thread-safe.
class Placer {
 public:
  explicit Placer(const PlacerOptions& options);

  // `avoid` is taken only if there is no other; may be null.
  Placement Choose(const ServerTable& servers,
                   const Service& service,
                   const std::set<std::string, std::less<>>& zones_out,
                   const ServerEntry* avoid,
                   absl::Time now);

  // Who shares the limits of cold servers, see ColdLimiter.
  void SetFleetPosition(const FleetPosition& place, absl::Time now) {
    cold_limiter_.SetFleetPosition(place, now);
  }
  const FleetPosition& fleet() const { return cold_limiter_.fleet(); }

  // Forgets what is over; to be called each second or so.
  void Expire(absl::Time now) { cold_limiter_.Expire(now); }

  // Draws one of the services of `route` by weight. Precondition: it has some.
  std::string_view PickService(const Route& route);

 private:
  struct Candidate {
    ServerEntry* entry = nullptr;
    bool remote_zone = false;  // In another zone than the daemon.
  };

  // Whether `entry` may take a flow; counts why not.
  bool CanAccept(const ServerEntry& entry,
                 const Service& service,
                 const std::set<std::string, std::less<>>& zones_out,
                 absl::Time now,
                 ExcludedServers& excluded);
  // The best of the candidates, or null; by lot among equals.
  ServerEntry* PickBest(const ServerEntry* avoid,
                        bool own_zone_full,
                        absl::Time now);

  const PlacerOptions options_;
  std::mt19937_64 random_;
  std::vector<Candidate> candidates_;  // Of the choice under way.
  ColdLimiter cold_limiter_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_PLACER_H_
