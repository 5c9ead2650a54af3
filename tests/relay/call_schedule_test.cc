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

// Guards against a stalled daemon: each answer with too many entries took a
// sixth of a second of processor time until it was refused, and the next call
// followed at most 1 s later for each of three feeds.
TEST_CASE("the pause after a refused answer grows with the time it took") {
  Options options;
  options.backoff_min = absl::Milliseconds(150);
  options.backoff_max = absl::Seconds(1);
  std::mt19937_64 random(1);
  const absl::Time start = absl::UnixEpoch();
  CallSchedule schedule(options, start, random);
  const CallSchedule::CallInputs inputs{.call_needed = true};
  absl::Time now = start + absl::Seconds(5);
  // The pause after a call that took `duration` and failed with `code`.
  const auto pause_after = [&](absl::Duration duration, ResultCode code) {
    const auto call = schedule.NextCall(inputs, now);
    REQUIRE(call.has_value());
    now += duration;
    REQUIRE(schedule.FinishCall(call->id).has_value());
    schedule.OnFailure(code, now);
    const absl::Time ended = now;
    while (!schedule.NextCall(inputs, now).has_value()) {
      now += absl::Milliseconds(10);
    }
    const absl::Duration pause = now - ended;
    // Ends the call that was due, so that the next one starts at once.
    REQUIRE(schedule.FinishCall(schedule.calls()).has_value());
    return pause;
  };
  const absl::Duration quick = absl::Milliseconds(1);
  const absl::Duration slow = absl::Milliseconds(250);
  CHECK(pause_after(quick, ResultCode::kPlatformBadAnswer) <=
        absl::Milliseconds(160));
  CHECK(pause_after(slow, ResultCode::kPlatformUnavailable) <=
        absl::Milliseconds(310));
  CHECK(pause_after(slow, ResultCode::kPlatformBadAnswer) >= absl::Seconds(2));
  CHECK(pause_after(absl::Seconds(1), ResultCode::kPlatformBadAnswer) <=
        absl::Milliseconds(3010));
}

}  // namespace
}  // namespace gcw::relay
