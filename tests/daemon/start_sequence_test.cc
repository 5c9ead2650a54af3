#include "src/daemon/start_sequence.h"

#include <catch2/catch.hpp>
#include <new>
#include <system_error>

#include "src/daemon/bind_failure.h"
#include "src/daemon/http_endpoint.h"

namespace gcw::daemon {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

// Counts the attempts and delays of parts whose results the test chooses.
struct Fixture {
  Status Try(Status result) {
    ++tries;
    return result;
  }

  int tries = 0;
  std::vector<std::string> delays;
  StartSequence sequence{
      1, [this](std::string_view part, const Error& error, std::uint64_t n) {
        delays.push_back(std::string(part) + " " + error.message + " " +
                         std::to_string(n));
      }};
};

Error ErrorWith(Retry retry) {
  return {ResultCode::kBindFailed, "", "no", retry};
}

// A port that was taken for a moment ended the daemon and kept its other parts
// from running.
TEST_CASE("a part that fails for now is tried again while the others run") {
  Fixture f;
  Status result = ErrorWith(Retry::kAlways);
  int others = 0;
  f.sequence.Add("a", "", [&] { return f.Try(result); });
  f.sequence.Add("b", "a", [&] { return OkStatus(); });
  f.sequence.Add("c", "", [&] {
    ++others;
    return OkStatus();
  });
  REQUIRE(f.sequence.Run(kStart).ok());
  CHECK_FALSE(f.sequence.running("a"));
  CHECK_FALSE(f.sequence.running("b"));
  CHECK(f.sequence.running("c"));
  CHECK(f.delays == std::vector<std::string>{"a no 1"});
  CHECK(f.sequence.next_attempt() > kStart);
  CHECK(f.sequence.next_attempt() <= kStart + kStartBackoff.initial_pause);
  result = OkStatus();
  REQUIRE(f.sequence.Run(f.sequence.next_attempt()).ok());
  CHECK(f.tries == 2);
  CHECK(others == 1);
  CHECK(f.sequence.running("a"));
  CHECK(f.sequence.running("b"));
  CHECK(f.sequence.next_attempt() == absl::InfiniteFuture());
}

// A port that stays taken costs an attempt now and then, and never the process.
TEST_CASE("a part is tried for hours with a bounded pause") {
  Fixture f;
  f.sequence.Add("a", "", [&] { return f.Try(ErrorWith(Retry::kAlways)); });
  absl::Time now = kStart;
  while (now < kStart + absl::Hours(1)) {
    REQUIRE(f.sequence.Run(now).ok());
    const absl::Time next = f.sequence.next_attempt();
    REQUIRE(next - now <= kStartBackoff.max_pause);
    REQUIRE(next - now >= kStartBackoff.initial_pause / 2);
    now = next;
  }
  CHECK(f.tries < 3600 * 4 + 10);
}

// An address that the machine never has was retried for ever, or not at all.
TEST_CASE("an error that passes soon or never ends the start after a while") {
  Fixture f;
  f.sequence.Add("a", "", [&] { return f.Try(ErrorWith(Retry::kBriefly)); });
  absl::Time now = kStart;
  while (now < kStart + kBriefRetryTime) {
    REQUIRE(f.sequence.Run(now).ok());
    now = f.sequence.next_attempt();
  }
  const Status last = f.sequence.Run(now);
  REQUIRE_FALSE(last.ok());
  CHECK(last.error().field == "a");
}

TEST_CASE("an error that needs a person ends the start at once") {
  Fixture f;
  f.sequence.Add("a", "", [&] { return f.Try(ErrorWith(Retry::kNever)); });
  const Status started = f.sequence.Run(kStart);
  REQUIRE_FALSE(started.ok());
  CHECK(started.error().field == "a");
  CHECK(started.error().message == "no");
}

// A lack of memory for a thread aborted the process.
TEST_CASE("what a lack of memory throws delays the start") {
  Fixture f;
  f.sequence.Add("thread", "", []() -> Status {
    throw std::system_error(EAGAIN, std::generic_category());
  });
  f.sequence.Add("memory", "", []() -> Status { throw std::bad_alloc(); });
  REQUIRE(f.sequence.Run(kStart).ok());
  CHECK(f.delays.size() == 2);
}

// The HTTP library reports no cause, so a taken port looked like a wrong one.
TEST_CASE("why an address cannot be bound is told") {
  auto holder = HttpEndpoint::Make({.listen = {0x7f000001, 0}, .path = "/"},
                                   [] { return HttpAnswer{}; });
  REQUIRE(holder.ok());
  const Error taken = ExplainBindFailure(holder.value()->endpoint());
  CHECK(taken.code == ResultCode::kBindFailed);
  CHECK(taken.retry == Retry::kAlways);
  CHECK(taken.message.find("in use") != std::string::npos);
  const Error elsewhere = ExplainBindFailure({0xc6120001, 8443});
  CHECK(elsewhere.retry == Retry::kBriefly);
  CHECK(elsewhere.message.find("198.18.0.1:8443") != std::string::npos);
}

}  // namespace
}  // namespace gcw::daemon
