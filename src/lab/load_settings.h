#ifndef SRC_LAB_LOAD_SETTINGS_H_
#define SRC_LAB_LOAD_SETTINGS_H_

#include "absl/time/time.h"

namespace gcw::lab {

// What callers do.
struct LoadSettings {
  double flows_per_s = 200;
  absl::Duration flow_packet_interval = absl::Milliseconds(500);
  double long_flow_share = 0.3;  // Of flows that live to the end of the run.
  absl::Duration short_flow_mean = absl::Seconds(2);
  double quiet_flow_share = 0.1;  // Of flows with an eighth of the packets.

  // Offered work over the slots of all servers.
  double request_load = 0.5;
  absl::Duration deadline = absl::Seconds(1);
  double idempotent_share = 0.5;
  double cancel_share = 0;
  // Callers repeat an unanswered request through another daemon after this.
  absl::Duration repeat_after = absl::InfiniteDuration();
  // Of requests, sent again at once through another daemon.
  double double_share = 0;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LOAD_SETTINGS_H_
