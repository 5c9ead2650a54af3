#include "src/soak/fleet.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "absl/time/clock.h"
#include "src/lab/loopback_claim.h"

namespace gcw::soak {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(10);
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);

// How often the daemon that writes to the log `path` has started.
int StartsIn(const std::string& path) {
  std::ifstream log(path);
  int starts = 0;
  for (std::string line; std::getline(log, line);) {
    starts += line.find("process_started") != std::string::npos ? 1 : 0;
  }
  return starts;
}

// Waits until the log shows `starts` starts, with the fleet's periodic work.
// Returns false after kTimeout.
bool HasStarted(Fleet& fleet, const std::string& log, int starts) {
  const absl::Time deadline = absl::Now() + kTimeout;
  while (StartsIn(log) < starts && absl::Now() < deadline) {
    fleet.StartExited();
    absl::SleepFor(kPollInterval);
  }
  return StartsIn(log) == starts;
}

// On a busy machine daemons took longer to end than the pause before their
// restart. They were never started again, and a run of the soak had no service
// from then on.
TEST_CASE("a daemon that is still ending is restarted once it has ended") {
  const std::string dir =
      "/tmp/gcw-soak-fleet-test-" + std::to_string(getpid());
  std::filesystem::create_directories(dir);
  auto claim = lab::LoopbackClaim::Make();
  REQUIRE(claim.ok());
  auto loop = lab::EventLoop::Make();
  REQUIRE(loop.ok());
  FleetOptions options;
  options.program = std::string(GCW_BIN_DIR) + "/gcw-direct";
  options.work_dir = dir;
  options.octet = claim.value()->octet();
  options.zones = 1;
  options.daemons_per_zone = 1;
  auto fleet = Fleet::Make(*loop.value(), options);
  REQUIRE(fleet.ok());
  const std::string log = dir + "/b0.log";
  REQUIRE(HasStarted(*fleet.value(), log, 1));
  // A graceful stop takes about a second.
  fleet.value()->Signal(0, SIGTERM);
  fleet.value()->Restart(0);
  CHECK(HasStarted(*fleet.value(), log, 2));
  CHECK(fleet.value()->crashes() == 0);
  std::filesystem::remove_all(dir);
}

}  // namespace
}  // namespace gcw::soak
