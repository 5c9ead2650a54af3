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

// Callers of requests: they send, repeat, cancel, put answers together and
// check each byte of them. Not thread-safe.
class RequestCallers {
 public:
  // Sends through any daemon but `avoid`; returns which it was.
  using Send = std::function<std::optional<DaemonIndex>(
      ZoneIndex caller_zone,
      Bytes packet,
      std::optional<DaemonIndex> avoid)>;

  // All that is referred to must outlive the callers.
  RequestCallers(Scheduler& scheduler,
                 const World& world,
                 RequestLedger& ledger,
                 LoadMeter& meter,
                 const LoadSettings& load,
                 std::uint64_t seed,
                 Send send);
  ~RequestCallers();

  // Sends requests from now until `end`.
  void Start(absl::Time end);
  // Sends one request; returns its id.
  std::string SendOne(ServiceIndex service, ZoneIndex zone, bool idempotent);
  // A message reached its caller.
  void OnPacket(const InnerPacket& packet);

  std::size_t pending() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_REQUEST_CALLERS_H_
