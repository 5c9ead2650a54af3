#ifndef GCW_DIRECT_BALANCER_LOAD_EXCHANGE_H_
#define GCW_DIRECT_BALANCER_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/load/figures.h"
#include "gcw/membership/member.h"

namespace gcw::direct_balancer {

// Counters since the start, for metrics.
struct LoadExchangeStats {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;  // Of UDP payloads.
  // Datagrams with a wrong signature, malformed, from a daemon that has no part
  // in the exchange, or that waited while this process was paused.
  std::uint64_t refused = 0;
};

// Exchanges the load of this daemon with the other daemons of the fleet over
// UDP. Owns the socket. Not thread-safe: used on the thread of its event loop.
class LoadExchange {
 public:
  struct Options {
    std::string name;  // The member name of this daemon.
    std::string zone;  // Its availability zone.
    // The local address; the port is the same on all daemons.
    Endpoint listen;
    std::string secret;  // Signs the messages.
  };
  // The socket could not be opened in `attempts` attempts, the last of which
  // failed with `error`.
  using OnDelayed =
      std::function<void(const Error& error, std::uint64_t attempts)>;

  // Fails with kInvalidField for an invalid name, zone or secret. A socket that
  // cannot be opened is tried again by OnTick(). `loop` must outlive the
  // exchange.
  static Result<std::unique_ptr<LoadExchange>> Make(const Options& options,
                                                    kernel::EventLoop& loop,
                                                    OnDelayed on_delayed);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  // Replaces the other daemons of the fleet. Only live ones take part.
  void SetMembers(std::span<const membership::Member> members, absl::Time now);
  // Replaces this daemon's own figures, as measured at `now`.
  void SetOwn(load::Figures figures, absl::Time now);
  // Opens the socket if it is not open yet, and sends what is due. `now` is
  // monotonic time. Call this about every 50 ms.
  void OnTick(absl::Time now);

  // The load of the fleet; see load::Aggregator::Total(). Nullopt if the fleet
  // has other daemons and the figures of none of them are known: figures of
  // this daemon alone are not those of the fleet.
  std::optional<load::FleetFigures> Total(absl::Time now) const;
  LoadExchangeStats stats() const;

 private:
  class Impl;
  explicit LoadExchange(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_LOAD_EXCHANGE_H_
