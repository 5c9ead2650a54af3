#ifndef SRC_LAB_LOAD_SETTINGS_H_
#define SRC_LAB_LOAD_SETTINGS_H_

#include "absl/time/time.h"

namespace gcw::lab {

// The load that the simulated callers generate.
struct LoadSettings {
  double flows_per_s = 200;
  absl::Duration flow_packet_interval = absl::Milliseconds(500);
  double long_flow_share =
      0.3;  // Share of flows that stay open until the end of the run.
  absl::Duration short_flow_mean = absl::Seconds(2);
  double quiet_flow_share =
      0.1;  // Share of flows that send an eighth of the packets.

  // Work of the offered requests, relative to the slots of all servers.
  double request_load = 0.5;
  absl::Duration deadline = absl::Seconds(1);
  double idempotent_share = 0.5;  // Share of requests that may run twice.
  double cancel_share = 0;  // Share of requests that their callers cancel.
  // Callers send an unanswered request again through another daemon after this
  // time.
  absl::Duration repeat_after = absl::InfiniteDuration();
  // Share of requests that are sent a second time at once, through another
  // daemon.
  double double_share = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOAD_SETTINGS_H_
