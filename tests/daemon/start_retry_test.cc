#include "src/daemon/start_retry.h"

#include <catch2/catch.hpp>

#include "absl/time/clock.h"
#include "src/daemon/program.h"
#include "src/daemon/start_sequence.h"

namespace gcw::daemon {
namespace {

Error ErrorWith(Retry retry) {
  return {ResultCode::kBindFailed, "listen", "no", retry};
}

// A program ended whenever one of its ports was taken at its start.
TEST_CASE("a program tries to start again after what passes by itself") {
  StartRetry retry("prog", BlockSignals({SIGTERM}));
  const absl::Time start = absl::Now();
  CHECK_FALSE(retry.OnFailure(ErrorWith(Retry::kAlways)));
  CHECK_FALSE(retry.OnFailure(ErrorWith(Retry::kBriefly)));
  CHECK(absl::Now() - start >= kStartBackoff.initial_pause);
  CHECK(retry.OnFailure(ErrorWith(Retry::kNever)) == 5);
}

TEST_CASE("a program that waits to start again ends with 0 on a signal") {
  StartRetry retry("prog", BlockSignals({SIGTERM}));
  raise(SIGTERM);
  CHECK(retry.OnFailure(ErrorWith(Retry::kAlways)) == 0);
}

}  // namespace
}  // namespace gcw::daemon
