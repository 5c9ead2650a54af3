#ifndef SRC_LAB_FLOW_CALLERS_H_
#define SRC_LAB_FLOW_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "src/lab/inner_packet.h"
#include "src/lab/ledger.h"
#include "src/lab/load_settings.h"
#include "src/lab/random.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// Callers of flows: they open connections, send data at a rate, expect each
// packet's echo from the server they were given, repeat what is lost, and
// close. They judge whether a flow broke. Not thread-safe.
class FlowCallers {
 public:
  using Send = std::function<void(ZoneIndex caller_zone, Bytes packet)>;

  // The scheduler, world and ledger must outlive the callers.
  FlowCallers(Scheduler& scheduler,
              const World& world,
              Ledger& ledger,
              const LoadSettings& load,
              std::uint64_t seed,
              Send send);
  ~FlowCallers();

  // Opens flows from now until `end`.
  void Start(absl::Time end);
  // Opens one flow that lives until `end`.
  void Open(ServiceIndex service, ZoneIndex zone, absl::Time end);
  // A reply reached its caller.
  void OnPacket(const InnerPacket& packet);

  // Flows of the server are given up: it died, or lost or left its place.
  void GiveUpServer(ServerIndex server);
  // The flow of `caller` was forgotten on its way and has to be reset.
  void Silenced(const Endpoint& caller);
  // Judges flows that wait for an answer; call once at the end of the run.
  void Finish();

  std::size_t open_flows() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_FLOW_CALLERS_H_
