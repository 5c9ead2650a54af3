#ifndef GCW_DISPATCH_OPTIONS_H_
#define GCW_DISPATCH_OPTIONS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gcw::dispatch {

// The settings of one dispatcher.
struct DispatchOptions {
  std::string policy = "home";
  std::string self;  // Name of this daemon among the members.
  std::string zone;
  // Seeds all random choices.
  std::uint64_t seed = 1;
  // Differs for each start of the daemon, and is not 0: a random number. What
  // was handed to an earlier start is never taken for handed to this one.
  std::uint64_t boot_id = 1;

  // A caller may repeat a request this long after it first sent it, and no
  // copy of a message is older.
  absl::Duration repeat_lifetime = absl::Seconds(5);
  // What became of a request is known at least this long, memory permitting.
  absl::Duration record_lifetime = absl::Minutes(10);
  std::uint32_t max_records = 400'000;
  std::uint64_t max_cached_answer_bytes = 64ULL << 20;

  // Extra attempts as a share of first attempts.
  double retry_share = 0.1;
  // Extra attempts that may come at once.
  double retry_burst = 10;
  std::uint32_t max_attempts = 3;

  // A request in the queue is refused once less than this many mean service
  // times remain before its deadline.
  double deadline_margin = 2;
  // Share of the slots that each organisation gets in overload, whatever its
  // worth.
  double organisation_floor = 0.2;

  // Servers of one service that may be ejected at the same time, as a share.
  double max_ejected_share = 0.2;

  // An owner that has no votes by then cannot tell a first arrival from a
  // repeat and says so.
  absl::Duration claim_timeout = absl::Milliseconds(250);

  absl::Duration hint_interval = absl::Milliseconds(250);
  // Asked of backend servers that show no other sign of life.
  absl::Duration load_query_interval = absl::Milliseconds(500);
  // A server that turned cold gets its slots back over this long.
  absl::Duration warm_up = absl::Seconds(5);
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_OPTIONS_H_
