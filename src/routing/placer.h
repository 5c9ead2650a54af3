#ifndef GCW_SRC_ROUTING_PLACER_H_
#define GCW_SRC_ROUTING_PLACER_H_

#include "absl/time/time.h"
#include "gcw/routing/options.h"
#include "src/routing/flow_table.h"
#include "src/routing/service_tables.h"

namespace gcw::routing {

// Chooses the server of a new flow by the table and by what this daemon knows
// of servers: a server that is avoided or returns gets only a part of its
// share. Not thread-safe.
class Placer {
 public:
  // `registry` must outlive the placer.
  Placer(const RouterOptions& options, const ServerRegistry& registry);

  // The server for the new flow `key` in `bucket` of `service`, or kNoServer.
  // Equal for equal arguments and an equal registry.
  ServerIndex ChooseServer(const ServiceTables& service,
                           const Bucket& bucket,
                           FlowKey key,
                           Tick tick,
                           absl::Time now) const;

  // The part of its share of new flows that `server` gets at `tick`.
  double ShareOf(ServerIndex server, Tick tick) const;

 private:
  bool Admits(ServerIndex server, FlowKey key, Tick tick) const;

  const RouterOptions options_;
  const ServerRegistry& registry_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_PLACER_H_
