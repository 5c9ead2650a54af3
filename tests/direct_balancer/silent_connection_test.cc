// Open connections may go silent for good, without a reset, while new ones
// work. Only a timeout of the daemon's own shows it.

#include <fmt/format.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "gcw/kernel/event_loop.h"
#include "src/direct_balancer/prober.h"
#include "tests/direct_balancer/daemon_fixture.h"
#include "tests/support/silent_proxy.h"

namespace gcw::direct_balancer {
namespace {

// Writes a configuration with this version number and waits until the daemons
// have it in force. Returns how long that took.
absl::Duration TimeOfChange(const DaemonFixture& fixture,
                            int version,
                            std::span<const std::uint32_t> daemons) {
  const auto current = fixture.platform->Get("config/main");
  REQUIRE(current.ok());
  REQUIRE(fixture.platform
              ->Put("config/main",
                    fmt::format(R"({{"version":{},"routes":[{{"name":"r",)"
                                R"("host":"198.18.0.1","path_prefix":"/8443/",)"
                                R"("service":"s"}}],)"
                                R"("services":[{{"name":"s"}}]}})",
                                version),
                    current.value().version)
              .ok());
  const absl::Time start = absl::Now();
  for (const std::uint32_t daemon : daemons) {
    const auto metrics = fixture.MetricsWith(
        daemon, fmt::format("gcw_configuration_version {}\n", version));
    REQUIRE_FALSE(metrics.empty());
  }
  return absl::Now() - start;
}

TEST_CASE(
    "a change is in force in time after the connections to the store go "
    "silent") {
  DaemonFixture fixture;
  fixture.AddServer();
  test::SilentProxy proxy({kLoopback, 0}, fixture.platform->endpoint());
  std::vector<std::unique_ptr<Daemon>> daemons;
  const std::uint32_t indices[] = {0, 1};
  for (const std::uint32_t index : indices) {
    Settings settings = fixture.SettingsOf(index);
    settings.platform = proxy.endpoint();
    auto made = Daemon::Make(settings, "/nowhere");
    REQUIRE(made.ok());
    daemons.push_back(std::move(made).value());
  }
  CHECK(TimeOfChange(fixture, 2, indices) < kTimeout);
  for (int version = 3; version < 6; ++version) {
    absl::SleepFor(absl::Milliseconds(300 * version));
    proxy.SilenceOpen();
    CHECK(TimeOfChange(fixture, version, indices) < absl::Seconds(3));
  }
}

// A listener whose queue of connections is full: the first packets of further
// connections are dropped, as by a silent server.
class FullListener {
 public:
  FullListener() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = Endpoint{kLoopback, 0}.ToSockaddr();
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(listener_, 0) == 0);
    socklen_t length = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = Endpoint::FromSockaddr(address);
    for (int i = 0; i < 4; ++i) {
      connections_.push_back(
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      (void)connect(connections_.back(),
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address));
    }
  }
  ~FullListener() {
    for (const int fd : connections_) {
      close(fd);
    }
    close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }

  // Empties the queue, so that new connections are accepted.
  void Accept() {
    for (int fd = 0; fd >= 0;) {
      fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        connections_.push_back(fd);
      }
    }
  }

 private:
  int listener_ = -1;
  Endpoint endpoint_;
  std::vector<int> connections_;
};

// The outcome of a probe of `server`, or nothing after kTimeout.
std::optional<direct::ProbeOutcome> Probe(const Endpoint& server) {
  auto loop = kernel::EventLoop::Make();
  REQUIRE(loop.ok());
  std::optional<direct::ProbeOutcome> result;
  Prober prober(*loop.value(), kLoopback,
                [&](std::uint32_t /*id*/, direct::ProbeOutcome outcome) {
                  result = outcome;
                  loop.value()->Stop();
                });
  const absl::Time deadline = absl::Now() + kTimeout;
  loop.value()->AddTimer(absl::Milliseconds(10), [&] {
    prober.OnTick(kernel::MonotonicNow());
    if (absl::Now() > deadline) {
      loop.value()->Stop();
    }
  });
  prober.Start({1, server, absl::Milliseconds(300)}, kernel::MonotonicNow());
  loop.value()->Run();
  return result;
}

// Probes of servers make a connection each, so that a silent one cannot mislead
// the next probe, and each has its own timeout.
TEST_CASE("a probe of a silent server times out, and the next one is new") {
  FullListener server;
  CHECK(Probe(server.endpoint()) == direct::ProbeOutcome::kTimedOut);
  server.Accept();
  CHECK(Probe(server.endpoint()) == direct::ProbeOutcome::kAccepted);
}

}  // namespace
}  // namespace gcw::direct_balancer
