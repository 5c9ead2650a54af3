#include "src/relay/call_schedule.h"

#include <catch2/catch.hpp>

namespace gcw::relay {
namespace {

// Guards against a recovered platform being noticed late: a watch with the
// normal wait is not answered for seconds if nothing changes, so after a
// failure the schedule uses the short wait until a call is answered.
TEST_CASE("after a failure, watches use the short wait until one is answered") {
  Options options;
  options.watch_wait = absl::Seconds(3);
  options.watch_wait_after_failure = absl::Milliseconds(200);
  options.call_grace = absl::Milliseconds(700);
  options.backoff_max = absl::Seconds(1);
  std::mt19937_64 random(1);
  const absl::Time start = absl::UnixEpoch();
  CallSchedule schedule(options, start, random);
  const CallSchedule::CallInputs inputs{
      .call_needed = true, .has_state = true, .after = 5};
  absl::Time now = start + absl::Seconds(5);
  auto call = schedule.NextCall(inputs, now);
  REQUIRE(call.has_value());
  CHECK(call->wait == absl::Seconds(3));
  // The platform does not answer, so each call times out.
  absl::Duration longest;
  for (int i = 0; i < 5; ++i) {
    const absl::Time began = now;
    now += call->timeout;
    call = schedule.NextCall(inputs, now);
    while (!call.has_value()) {
      now += absl::Milliseconds(10);
      call = schedule.NextCall(inputs, now);
    }
    CHECK(call->wait == absl::Milliseconds(200));
    if (i > 0) {
      longest = std::max(longest, now - began);
    }
  }
  // One call and one pause bound the time until a recovery is noticed.
  CHECK(longest <= absl::Milliseconds(2000));
  REQUIRE(schedule.FinishCall(call->id).has_value());
  schedule.OnSuccess(*call, true, now);
  now += absl::Seconds(1);
  CHECK(schedule.NextCall(inputs, now)->wait == absl::Seconds(3));
}

}  // namespace
}  // namespace gcw::relay
