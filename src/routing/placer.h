#ifndef GCW_SRC_ROUTING_PLACER_H_
#define GCW_SRC_ROUTING_PLACER_H_

#include "absl/time/time.h"
#include "gcw/routing/options.h"
#include "src/routing/flow_table.h"
#include "src/routing/service_tables.h"

namespace gcw::routing {

// Chooses the server of a new flow by the table and by local knowledge of the
// servers: a server with a share limit or in slow start gets only a part of its
// share of new flows. Not thread-safe.
class Placer {
 public:
  // `registry` must outlive the placer.
  Placer(const RouterOptions& options, const ServerRegistry& registry);

  // Returns the server for the new flow `key` in `bucket` of `service`, or
  // kNoServer. Deterministic for the same arguments and state of the registry.
  ServerIndex ChooseServer(const ServiceTables& service,
                           const Bucket& bucket,
                           FlowKey key,
                           Tick tick,
                           absl::Time now) const;

  // Returns the fraction of its share of new flows that `server` gets at
  // `tick`, 0 to 1.
  double ShareOf(ServerIndex server, Tick tick) const;

 private:
  // Whether `server` takes the new flow `key`. It admits a fraction of the keys
  // equal to ShareOf.
  bool Admits(ServerIndex server, FlowKey key, Tick tick) const;

  const RouterOptions options_;
  const ServerRegistry& registry_;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_PLACER_H_
