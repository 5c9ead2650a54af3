#ifndef GCW_ROUTING_OPTIONS_H_
#define GCW_ROUTING_OPTIONS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gcw::routing {

// Settings of one routing policy. All daemons of a deployment use the same
// values, except `self` and `zone`.
struct RouterOptions {
  // The policy: "tables", or one of the baselines "hash" and "local".
  std::string policy = "tables";
  // The name of this daemon in the member list, and its availability zone.
  std::string self;
  std::string zone;
  // Capacity of the flow table. The table reserves a 32-byte slot for each of
  // max_flows * 4 / 3 flows, rounded up to a power of two.
  std::uint32_t max_flows = 400'000;
  // A changed table takes effect for new flows this long after it was
  // announced, or as soon as every live member is known to have heard of it.
  absl::Duration activation_bound = absl::Milliseconds(1500);
  // A daemon whose last confirmed contact with the other daemons is older than
  // this does not decide by its tables alone, but asks the holders of a flow.
  // The value must be less than `activation_bound` by at least the longest
  // delay of a message between two daemons.
  absl::Duration freshness_bound = absl::Milliseconds(1000);
  // Interval between two state messages (hellos) to the same peer.
  absl::Duration hello_interval = absl::Milliseconds(250);
  // Budget for control messages in bytes per second, over all peers.
  std::uint32_t control_bytes_per_second = 3500;
  // Slow start: the share of new flows of a server that starts or returns grows
  // from `ramp_start` (a fraction of its full share, 0 to 1) to the full share
  // over `ramp_duration`.
  absl::Duration ramp_duration = absl::Seconds(20);
  double ramp_start = 0.05;
  // A flow is reset when its server has not answered it for `silence_timeout`,
  // at least `silence_min_packets` packets with payload were sent to the server
  // meanwhile, and the server answered other flows.
  absl::Duration silence_timeout = absl::Seconds(8);
  std::uint32_t silence_min_packets = 4;
  // A flow of which only the first packet was seen is evicted after it has been
  // idle for this long.
  absl::Duration half_open_timeout = absl::Seconds(75);
  // A flow that was closed or reset is evicted after it has been idle for this
  // long.
  absl::Duration closed_timeout = absl::Seconds(10);
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_OPTIONS_H_
