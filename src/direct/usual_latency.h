#ifndef GCW_DIRECT_USUAL_LATENCY_H_
#define GCW_DIRECT_USUAL_LATENCY_H_

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/base/endpoint.h"

namespace gcw::direct {

// Estimates how long the answers of each route usually take, from the answers
// that this daemon sees: a slowly moving mean over all servers. Single answers
// are clipped, so that a few slow or hung servers hardly change the mean. A
// mean rather than a median, because the mean latency of a server is compared
// with it, and latencies are skewed. Has no I/O. Not thread-safe.
class UsualLatency {
 public:
  // Returns the usual latency of answers of the route with the address `route`,
  // positive, or nullopt if too few answers are known; then records an answer
  // that took `latency`.
  std::optional<absl::Duration> OnAnswer(const Endpoint& route,
                                         absl::Duration latency,
                                         absl::Time now);
  // Forgets routes without recent answers. Call this about every second.
  void Expire(absl::Time now);

 private:
  struct Mean {
    double seconds = 0;
    std::uint32_t answers = 0;
    absl::Time updated;
  };

  absl::flat_hash_map<Endpoint, Mean> means_;
};

}  // namespace gcw::direct

#endif  // GCW_DIRECT_USUAL_LATENCY_H_
