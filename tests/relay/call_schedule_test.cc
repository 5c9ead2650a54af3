#include "src/relay/call_schedule.h"

#include <catch2/catch.hpp>

namespace gcw::relay {
namespace {

TEST_CASE("after a failure a watch does not wait until one was answered") {
  Options options;
  options.watch_wait = absl::Seconds(3);
  options.watch_wait_after_failure = absl::Milliseconds(200);
  options.call_grace = absl::Milliseconds(700);
  options.backoff_max = absl::Seconds(1);
  std::mt19937_64 random(1);
  const absl::Time start = absl::UnixEpoch();
  CallSchedule schedule(options, start, random);
  const CallSchedule::Wish wish{.wanted = true, .known = true, .after = 5};
  absl::Time now = start + absl::Seconds(5);
  auto call = schedule.Next(wish, now);
  REQUIRE(call.has_value());
  CHECK(call->wait == absl::Seconds(3));
  // The platform is silent: calls are given up, one after the other.
  absl::Duration longest;
  for (int i = 0; i < 5; ++i) {
    const absl::Time began = now;
    now += call->timeout;
    call = schedule.Next(wish, now);
    while (!call.has_value()) {
      now += absl::Milliseconds(10);
      call = schedule.Next(wish, now);
    }
    CHECK(call->wait == absl::Milliseconds(200));
    if (i > 0) {
      longest = std::max(longest, now - began);
    }
  }
  // So a return is noticed within one call and one pause.
  CHECK(longest <= absl::Milliseconds(2000));
  REQUIRE(schedule.Finish(call->id).has_value());
  schedule.Succeeded(*call, true, now);
  now += absl::Seconds(1);
  CHECK(schedule.Next(wish, now)->wait == absl::Seconds(3));
}

}  // namespace
}  // namespace gcw::relay
