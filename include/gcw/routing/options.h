#ifndef GCW_ROUTING_OPTIONS_H_
#define GCW_ROUTING_OPTIONS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gcw::routing {

// How one daemon routes. All daemons of a deployment use the same values,
// except `self` and `zone`.
struct RouterOptions {
  // "tables", or one of the baselines "hash" and "local".
  std::string policy = "tables";
  // The name of this daemon among the members, and its availability zone.
  std::string self;
  std::string zone;
  // Flows kept at most. 32 bytes each are reserved for twice as many, rounded
  // up to a power of two.
  std::uint32_t max_flows = 400'000;
  // A changed table places new flows this long after it was announced, or
  // sooner if every live member is known to have heard of it.
  absl::Duration activation_bound = absl::Milliseconds(1500);
  // A daemon that heard nothing for this long trusts no table alone. It must
  // be less than `activation_bound` by the largest delay between two daemons.
  absl::Duration freshness_bound = absl::Milliseconds(1000);
  // How often each peer hears from this daemon.
  absl::Duration hello_interval = absl::Milliseconds(250);
  // Bytes of control messages a second, over all peers.
  std::uint32_t control_bytes_per_second = 3500;
  // New flows of a server that returns grow from `ramp_start` to its full
  // share over this time.
  absl::Duration ramp_duration = absl::Seconds(20);
  double ramp_start = 0.05;
  // A flow that its server has not answered for this long, although it was
  // sent to at least `silent_packets` times and other flows of the server
  // were answered, is reset.
  absl::Duration silence_timeout = absl::Seconds(8);
  std::uint32_t silence_min_packets = 4;
  // A flow of which only the first packet was seen is forgotten after this.
  absl::Duration half_open_timeout = absl::Seconds(75);
  // A flow that was closed or reset is forgotten after this.
  absl::Duration closed_timeout = absl::Seconds(10);
};

}  // namespace gcw::routing

#endif  // GCW_ROUTING_OPTIONS_H_
