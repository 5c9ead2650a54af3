#include "tests/support/idle_connections.h"

#include <signal.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "src/control/connection.h"
#include "tests/direct_balancer/process_fixture.h"

namespace gcw::direct_balancer {
namespace {

// The routers poll the readiness twice a second and wait a second.
constexpr absl::Duration kPollInterval = absl::Milliseconds(500);
constexpr absl::Duration kPollTimeout = absl::Seconds(1);
constexpr absl::Duration kIdleTime = absl::Seconds(3);
constexpr double kMaxProcessorShare = 0.2;
constexpr std::uint64_t kMaxDescriptors = 200;

Endpoint ControlOf(const Settings& settings) {
  return {settings.packets.ip,
          static_cast<std::uint16_t>(settings.members_port + 1)};
}

// Accepts connections on the address of the fixture's first server, so that the
// daemon's probes find it reachable.
class ReachableServer {
 public:
  explicit ReachableServer(const Settings& settings)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const Endpoint server{kServerIp, settings.packets.port};
    const sockaddr_in raw = server.ToSockaddr();
    REQUIRE(bind(socket_, reinterpret_cast<const sockaddr*>(&raw),
                 sizeof(raw)) == 0);
    REQUIRE(listen(socket_, 1000) == 0);
  }
  ~ReachableServer() { close(socket_); }
  ReachableServer(const ReachableServer&) = delete;
  ReachableServer& operator=(const ReachableServer&) = delete;

 private:
  const int socket_;
};

// How long the readiness check takes to be answered with 200; infinite if it is
// not.
absl::Duration TimeOfReadinessCheck(const Settings& settings) {
  httplib::Client client(IpToString(settings.ready.ip), settings.ready.port);
  client.set_connection_timeout(absl::ToChronoMilliseconds(kPollTimeout));
  client.set_read_timeout(absl::ToChronoMilliseconds(kPollTimeout));
  const absl::Time start = absl::Now();
  const auto answer = client.Get("/ready");
  return answer && answer->status == 200 ? absl::Now() - start
                                         : absl::InfiniteDuration();
}

// Polls the readiness like the routers for `period`. Returns the number of
// checks that failed or were late.
int FailedReadinessChecks(const Settings& settings, absl::Duration period) {
  int failed = 0;
  for (const absl::Time end = absl::Now() + period; absl::Now() < end;) {
    const absl::Time next = absl::Now() + kPollInterval;
    failed += TimeOfReadinessCheck(settings) > kPollTimeout ? 1 : 0;
    absl::SleepFor(next - absl::Now());
  }
  return failed;
}

// The descriptors that the process has open once they are at most `expected`,
// or after `timeout`.
std::size_t DescriptorsAfter(lab::DaemonProcess& process,
                             std::size_t expected,
                             absl::Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  while (true) {
    const auto usage = process.Usage();
    REQUIRE(usage);
    if (usage->descriptors <= expected || absl::Now() > deadline) {
      return usage->descriptors;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
}

// Opens idle connections to each of `endpoints` of a daemon with few
// descriptors and checks that it works on, and stops in time.
void CheckIdleConnections(ProcessFixture& fixture,
                          const std::vector<Endpoint>& endpoints) {
  fixture.AddServer();
  const Settings settings = fixture.SettingsOf(0);
  const ReachableServer server(settings);
  const auto process =
      fixture.StartProcess(0, lab::ProcessLimits{kMaxDescriptors});
  REQUIRE(fixture.BecomesReady(0));
  fixture.OpenFlow(0, 1000);
  IdleConnections connections;
  for (const Endpoint& endpoint : endpoints) {
    connections.Open(endpoint, 300);
  }
  const auto before = process->Usage();
  const int failed = FailedReadinessChecks(settings, kIdleTime);
  const auto after = process->Usage();
  REQUIRE((before && after));
  CHECK(absl::FDivDuration(after->processor_time - before->processor_time,
                           kIdleTime) < kMaxProcessorShare);
  CHECK(failed == 0);
  fixture.OpenFlow(0, 1001);
  process->Signal(SIGTERM);
  CHECK(fixture.WaitForExit(*process, settings.stop_limit) == 0);
}

// Idle connections up to the limit of descriptors kept the control transport
// accepting in vain with a full core.
TEST_CASE("idle connections to the control port cost a daemon no core") {
  ProcessFixture fixture;
  CheckIdleConnections(fixture, {ControlOf(fixture.SettingsOf(0))});
  CHECK(fixture.LogContains(0, R"("event":"connections_bounded")"));
}

// Each idle connection held the thread of the readiness endpoint in turn.
TEST_CASE("idle connections to the readiness port do not delay its answers") {
  ProcessFixture fixture;
  CheckIdleConnections(fixture, {fixture.SettingsOf(0).ready});
}

// Idle connections to the metrics left the readiness endpoint no descriptors.
TEST_CASE("idle connections to the metrics port do not delay the readiness") {
  ProcessFixture fixture;
  CheckIdleConnections(fixture, {fixture.SettingsOf(0).metrics});
}

// The endpoints' threads took a core and delayed the stop over stop_limit_s.
TEST_CASE(
    "idle connections to all ports neither take a core nor delay a stop") {
  ProcessFixture fixture;
  const Settings settings = fixture.SettingsOf(0);
  CheckIdleConnections(fixture,
                       {settings.ready, settings.metrics, ControlOf(settings)});
}

// Clients that send a request byte by byte held the threads of the readiness
// endpoint, so the routers' checks waited.
TEST_CASE("slow senders are closed and do not delay the readiness checks") {
  ProcessFixture fixture;
  const Settings settings = fixture.SettingsOf(0);
  const auto process = fixture.StartProcess(0);
  REQUIRE(fixture.BecomesReady(0));
  IdleConnections senders;
  senders.Open(settings.ready, 20);
  senders.SendOnAll("GET /ready HTTP/1.1\r\nX: ");
  absl::Duration slowest;
  const absl::Time end = absl::Now() + absl::Seconds(2);
  while (absl::Now() < end) {
    senders.SendOnAll("x");
    slowest = std::max(slowest, TimeOfReadinessCheck(settings));
    absl::SleepFor(absl::Milliseconds(100));
  }
  CHECK(slowest < kPollTimeout);
  CHECK(senders.CountOpen() == 0);
}

// A client that never reads the metrics or never closes its connection must not
// keep a descriptor of the daemon.
TEST_CASE("clients that do not read the metrics are closed") {
  ProcessFixture fixture;
  const Settings settings = fixture.SettingsOf(0);
  const auto process = fixture.StartProcess(0);
  REQUIRE(fixture.BecomesReady(0));
  const std::size_t before =
      DescriptorsAfter(*process, 0, absl::Milliseconds(500));
  IdleConnections clients;
  clients.Open(settings.metrics, 20);
  clients.SendOnAll("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(FailedReadinessChecks(settings, absl::Seconds(1)) == 0);
  CHECK(DescriptorsAfter(*process, before, absl::Seconds(4)) <= before);
}

// Connections that send the begin of a large message and then nothing filled
// the memory of a daemon before it could verify any of them.
TEST_CASE("unverified messages do not fill the memory of a daemon") {
  ProcessFixture fixture;
  const Settings settings = fixture.SettingsOf(0);
  const auto process = fixture.StartProcess(0);
  REQUIRE(fixture.BecomesReady(0));
  constexpr std::size_t kMessageBytes = 2 << 20;
  constexpr std::int64_t kMaxPeakBytes = 80 << 20;
  std::vector<std::size_t> sent(100, 0);
  std::vector<std::unique_ptr<control::Connection>> senders;
  for (std::size_t& bytes : sent) {
    auto socket = control::StartConnect(kCallerIp, ControlOf(settings));
    REQUIRE(socket.ok());
    auto stream = control::HttpStream::MakeClient([&bytes](auto out) {
      // The length prefix is followed by all but the last byte.
      const std::array<std::uint8_t, 4> prefix{0, 0x20, 0, 0};
      std::size_t filled = 0;
      for (; filled < out.size() && bytes < kMessageBytes; ++filled, ++bytes) {
        out[filled] = bytes < prefix.size() ? prefix[bytes] : 0;
      }
      return filled;
    });
    senders.push_back(std::make_unique<control::Connection>(
        std::move(socket).value(), std::move(stream), absl::Now()));
  }
  for (const absl::Time end = absl::Now() + absl::Seconds(3);
       absl::Now() < end;) {
    for (auto& sender : senders) {
      if (sender &&
          !(sender->Read(absl::Now()) && sender->Write(absl::Now()))) {
        sender.reset();
      }
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  const auto usage = process->Usage();
  REQUIRE(usage);
  CHECK(usage->peak_resident_bytes < kMaxPeakBytes);
  CHECK(TimeOfReadinessCheck(settings) < kPollTimeout);
}

// Nothing showed that connections were opened for nothing.
TEST_CASE("the metrics count connections that were closed at the bound") {
  ProcessFixture fixture;
  const Settings settings = fixture.SettingsOf(0);
  const auto process =
      fixture.StartProcess(0, lab::ProcessLimits{kMaxDescriptors});
  REQUIRE(fixture.BecomesReady(0));
  IdleConnections connections;
  // Three eighths of the descriptors, and 25 more.
  connections.Open(ControlOf(settings), 100);
  CHECK_FALSE(
      fixture
          .MetricsWith(
              0, R"(gcw_connections_closed_total{port="control",result="idle"})"
                 " 25\n")
          .empty());
}

// Many idle connections kept the readiness checks waiting behind them.
TEST_CASE("a daemon with many idle connections stays ready") {
  ProcessFixture fixture;
  fixture.AddServer();
  const Settings settings = fixture.SettingsOf(0);
  const ReachableServer server(settings);
  const auto process = fixture.StartProcess(0);
  REQUIRE(fixture.BecomesReady(0));
  IdleConnections connections;
  for (const Endpoint& endpoint :
       {settings.ready, settings.metrics, ControlOf(settings)}) {
    connections.Open(endpoint, 1000);
  }
  CHECK(FailedReadinessChecks(settings, kIdleTime) == 0);
  fixture.OpenFlow(0, 1000);
  process->Signal(SIGTERM);
  CHECK(fixture.WaitForExit(*process, settings.stop_limit) == 0);
}

}  // namespace
}  // namespace gcw::direct_balancer
