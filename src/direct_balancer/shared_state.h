#ifndef GCW_DIRECT_BALANCER_SHARED_STATE_H_
#define GCW_DIRECT_BALANCER_SHARED_STATE_H_

#include <atomic>
#include <cstdint>

namespace gcw::direct_balancer {

// State that the tasks and endpoints of one daemon share as atomics instead of
// messages, since it is read far more often than it changes. Thread-safe.
struct SharedState {
  // Whether new flows can be served; decides the answer to the routers'
  // readiness check.
  std::atomic<bool> ready{false};
  // Whether the daemon is shutting down.
  std::atomic<bool> leaving{false};
  // Time of the last packet from the routers, by kernel::MonotonicNow(), in
  // nanoseconds.
  std::atomic<std::int64_t> last_packet_ns{0};
  // Flows with recent packets.
  std::atomic<std::uint64_t> open_flows{0};
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_SHARED_STATE_H_
