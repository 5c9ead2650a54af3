#ifndef SRC_LAB_REQUEST_CALLERS_H_
#define SRC_LAB_REQUEST_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/lab/inner_packet.h"
#include "src/lab/load_meter.h"
#include "src/lab/load_settings.h"
#include "src/lab/random.h"
#include "src/lab/request_ledger.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Simulated callers of requests. The callers send, repeat and cancel requests,
// reassemble answers from their parts and check every byte. Not thread-safe.
class RequestCallers {
 public:
  // Sends a packet of a caller in `caller_zone` to any daemon; chooses `avoid`
  // only if no other daemon can be reached. Returns the chosen daemon, or
  // nothing if no daemon can be reached.
  using Send = std::function<std::optional<DaemonIndex>(
      ZoneIndex caller_zone,
      Bytes packet,
      std::optional<DaemonIndex> avoid)>;

  // The scheduler, world, ledger and meter must outlive the callers.
  RequestCallers(Scheduler& scheduler,
                 const World& world,
                 RequestLedger& ledger,
                 LoadMeter& meter,
                 const LoadSettings& load,
                 std::uint64_t seed,
                 Send send);
  ~RequestCallers();

  // Sends requests at the rate of the load settings from now until `end`.
  void Start(absl::Time end);
  // Sends one request from `zone` to `service`; returns the id of the request.
  std::string SendOne(ServiceIndex service, ZoneIndex zone, bool idempotent);
  // Handles a packet from a daemon that reached the caller it is addressed to.
  void OnPacket(const InnerPacket& packet);

  // The number of requests that have not ended.
  std::size_t pending() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_REQUEST_CALLERS_H_
