#ifndef GCW_DISPATCH_OPTIONS_H_
#define GCW_DISPATCH_OPTIONS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gcw::dispatch {

// The settings of one dispatcher. Dispatcher::Make checks them.
struct DispatchOptions {
  // The slot policy. It decides which backend servers this daemon sends
  // requests to and how many slots it may use there, that is how many requests
  // it may run at the same time. Dispatcher::Make lists the policies.
  std::string policy = "home";
  std::string self;  // Name of this daemon among the members.
  std::string zone;
  // Seed of all random choices.
  std::uint64_t seed = 1;
  // A random number that identifies this start of the daemon; must not be 0.
  // Requests that were assigned to an earlier start do not count as assigned to
  // this start.
  std::uint64_t boot_id = 1;

  // How long after the first copy a caller may repeat a request, that is send
  // it again with the same id. No copy of a message in the network is older.
  absl::Duration repeat_lifetime = absl::Seconds(5);
  // How long the outcome of a request is kept, up to max_records requests.
  absl::Duration record_lifetime = absl::Minutes(10);
  std::uint32_t max_records = 400'000;
  std::uint64_t max_cached_answer_bytes = 64ULL << 20;

  // Retries as a share of first attempts.
  double retry_share = 0.1;
  // Retries that are allowed at once.
  double retry_burst = 10;
  std::uint32_t max_attempts = 3;

  // A queued request is refused when less than this many mean service times
  // remain before its deadline.
  double deadline_margin = 2;
  // Share of the slot time that each organisation gets under overload, whatever
  // the worth of its requests.
  double organisation_floor = 0.2;

  // Share of the servers of one daemon that may be ejected at the same time.
  double max_ejected_share = 0.2;

  // Timeout for the votes of the witnesses. When it expires without enough
  // votes, the owner cannot tell a first arrival from a repeat and refuses the
  // request as "outcome unknown".
  absl::Duration claim_timeout = absl::Milliseconds(250);

  // Minimum interval between hints about free slots to the other daemons.
  absl::Duration hint_interval = absl::Milliseconds(250);
  // Interval of load queries to backend servers that do not answer requests.
  absl::Duration load_query_interval = absl::Milliseconds(500);
  // Slow start: time over which the limit of a cold server rises to all its
  // slots.
  absl::Duration warm_up = absl::Seconds(5);
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_OPTIONS_H_
