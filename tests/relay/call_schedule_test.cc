#include "src/relay/call_schedule.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

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

struct RequiredVersion {
  RequiredVersion() : random(1), schedule(options, absl::UnixEpoch(), random) {}

  std::optional<PlatformCall> Next() { return schedule.NextCall(inputs, now); }
  // Ends `call` with an answer without events as of `version`.
  void Answer(const PlatformCall& call, Version version) {
    REQUIRE(schedule.FinishCall(call.id).has_value());
    inputs.after = version;
    schedule.OnSuccess(call, false, now);
  }

  Options options;
  std::mt19937_64 random;
  CallSchedule schedule;
  CallSchedule::CallInputs inputs{.call_needed = true,
                                  .has_state = true,
                                  .after = 5};
  absl::Time now = absl::UnixEpoch() + absl::Seconds(5);
};

// Guards against a change of another kind being acted on for as long as a watch
// waits, although changes before it have not been read.
TEST_CASE("a required version is read without waiting for a change") {
  RequiredVersion f;
  const auto watch = f.Next();
  REQUIRE(watch.has_value());
  f.schedule.RequireVersion(9, f.now);
  CHECK(f.schedule.WasSuperseded(watch->id));
  CHECK_FALSE(f.schedule.IsActive(watch->id));
  const auto call = f.Next();
  REQUIRE(call.has_value());
  CHECK(call->type == CallType::kWatch);
  CHECK(call->after == 5);
  CHECK(call->wait <= absl::Milliseconds(1));
  f.now += absl::Milliseconds(5);
  f.Answer(*call, 12);
  // Then the usual calls go on.
  f.now += f.options.min_watch_gap;
  CHECK(f.Next()->wait == f.options.watch_wait);
  CHECK(f.schedule.timeouts() == 0);
  CHECK(f.schedule.errors() == 0);
}

TEST_CASE("a daemon that does not watch reads a required version once") {
  RequiredVersion f;
  f.inputs.call_needed = false;
  CHECK_FALSE(f.Next().has_value());
  f.schedule.RequireVersion(9, f.now);
  const auto call = f.Next();
  REQUIRE(call.has_value());
  SECTION("also if the answer is older") {
    f.Answer(*call, 7);
  }
  SECTION("if the answer has it") {
    f.Answer(*call, 9);
  }
  f.now += absl::Seconds(10);
  CHECK_FALSE(f.Next().has_value());
}

// The list may be older than the required version.
TEST_CASE("a required version is read after the list that is under way") {
  RequiredVersion f;
  f.inputs.has_state = false;
  const auto list = f.Next();
  REQUIRE(list->type == CallType::kList);
  f.schedule.RequireVersion(9, f.now);
  CHECK(f.schedule.IsActive(list->id));
  f.inputs.has_state = true;
  f.Answer(*list, 8);
  const auto call = f.Next();
  REQUIRE(call.has_value());
  CHECK(call->wait <= absl::Milliseconds(1));
}

// All daemons would call a store that serves nobody again and again.
TEST_CASE("a required version is given up after three failures") {
  RequiredVersion f;
  f.inputs.call_needed = false;
  f.schedule.RequireVersion(9, f.now);
  int calls = 0;
  for (int i = 0; i < 1000; ++i) {
    f.now += absl::Milliseconds(50);
    if (const auto call = f.Next()) {
      ++calls;
      REQUIRE(f.schedule.FinishCall(call->id).has_value());
      f.schedule.OnFailure(ResultCode::kPlatformUnavailable, f.now);
    }
  }
  CHECK(calls == 3);
}

}  // namespace
}  // namespace gcw::relay
