#ifndef GCW_DIRECT_BALANCER_PROBER_H_
#define GCW_DIRECT_BALANCER_PROBER_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "gcw/direct/direct_router.h"
#include "gcw/kernel/event_loop.h"

namespace gcw::direct_balancer {

// Probes backend servers: opens a TCP connection on an event loop, closes it at
// once and reports whether it was accepted. Not thread-safe: all methods must
// be called on the loop's thread.
class Prober {
 public:
  // Receives the id of a probe and its outcome, on the loop's thread.
  using DoneCallback =
      std::function<void(std::uint32_t id, direct::ProbeOutcome)>;

  // `loop` must outlive the prober. Connections are opened from `source_ip`.
  Prober(kernel::EventLoop& loop, std::uint32_t source_ip, DoneCallback done);
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  // Starts a probe. The callback runs later, or before Start returns if the
  // outcome is known at once. If the connection attempt fails for lack of a
  // local descriptor or port, the outcome is kAccepted, since that failure says
  // nothing about the server.
  void Start(const direct::ProbeRequest& probe, absl::Time now);

  // Ends the probes whose timeout has expired with kTimedOut. To be called
  // periodically.
  void OnTick(absl::Time now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_PROBER_H_
