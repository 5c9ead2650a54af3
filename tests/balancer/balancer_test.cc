// Tests a complete daemon over real sockets: it reads its configuration from a
// fake platform, forwards a flow and a request to a backend server and returns
// the answers.

#include "src/balancer/balancer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "absl/time/clock.h"
#include "gcw/base/hash.h"
#include "gcw/dispatch/codec.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/wire/packet.h"
#include "src/fake_platform/fake_platform.h"
#include "tests/support/odd_values.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

constexpr std::uint32_t kNet = 0x7f4f0000;  // 127.79.0.0
constexpr Endpoint kFabric{kNet + 1, 7000};
constexpr Endpoint kPlatform{kNet + 2, 8080};
constexpr Endpoint kServer{kNet + 0xa01, 9000};
constexpr std::uint32_t kDaemonIp = kNet + 0x101;
constexpr Endpoint kCaller{0x0a000001, 40000};
constexpr Endpoint kService{0x0a640001, 80};
constexpr absl::Duration kTimeout = absl::Seconds(10);

using Bytes = std::vector<std::uint8_t>;

struct Datagram {
  Endpoint from;
  Bytes bytes;
};

// Returns the next datagram on `socket`, or nothing if none arrives within
// `timeout`.
std::optional<Datagram> ReceiveNext(kernel::UdpSocket& socket,
                                    absl::Duration timeout) {
  std::optional<Datagram> received;
  const absl::Time deadline = absl::Now() + timeout;
  while (!received.has_value() && absl::Now() < deadline) {
    socket.Receive(
        [&](const Endpoint& from, std::span<const std::uint8_t> datagram) {
          received = Datagram{from, {datagram.begin(), datagram.end()}};
        });
    absl::SleepFor(absl::Milliseconds(1));
  }
  return received;
}

void SeedPlatform(fake_platform::FakePlatform& platform) {
  const auto put = [&](const std::string& key, const json& spec) {
    const json value{{"op", "seed"}, {"spec", spec}};
    REQUIRE(platform.Put("config/" + key, value.dump(), 0).ok());
  };
  put("zone/a", {{"name", "a"}, {"state", "in"}});
  put("organisation/coop", {{"name", "coop"}, {"token_sha256", ""}});
  put("server/s1", {{"name", "s1"},
                    {"organisation", ""},
                    {"address", ToString(kServer)},
                    {"zone", "a"},
                    {"slots", 3},
                    {"connections", 2000},
                    {"state", "in"}});
  put("service/board", {{"name", "board"},
                        {"organisation", "coop"},
                        {"kind", "mixed"},
                        {"addresses", {ToString(kService)}},
                        {"servers", {{{"server", "s1"}, {"weight", 100}}}}});
}

Settings MakeSettings() {
  Settings settings;
  settings.name = "b1";
  settings.zone = "a";
  settings.bind = settings.advertise = kDaemonIp;
  settings.fabric = kFabric;
  settings.platform = kPlatform;
  settings.cluster_keys = {std::string(32, 'k')};
  settings.log_level = LogLevel::kError;
  settings.seed = 1;
  settings.shutdown_limit = absl::Seconds(8);
  return settings;
}

void WaitForRevision(const Balancer& balancer, std::uint64_t revision) {
  const absl::Time deadline = absl::Now() + kTimeout;
  while (absl::Now() < deadline &&
         balancer.Status().value("revision", std::uint64_t{0}) < revision) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  // Writes of status and lease objects advance the same revision counter, so
  // the daemon's revision may be higher.
  REQUIRE(balancer.Status()["revision"] >= revision);
}

// Sends `packet` to the daemon repeatedly, as a caller would, until the server
// receives a datagram. Returns that datagram.
std::optional<Datagram> SendUntilDelivered(kernel::UdpSocket& fabric,
                                           kernel::UdpSocket& server,
                                           const Bytes& packet) {
  for (int i = 0; i < 20; ++i) {
    fabric.Queue({kDaemonIp, 7000}, packet);
    fabric.Flush();
    auto delivered = ReceiveNext(server, absl::Milliseconds(500));
    if (delivered.has_value()) {
      return delivered;
    }
  }
  return std::nullopt;
}

void CheckFlow(kernel::UdpSocket& fabric, kernel::UdpSocket& server) {
  const Bytes syn =
      wire::BuildTcpPacket({kCaller, kService, {.syn = true}, 1, 0}, {});
  const auto delivered = SendUntilDelivered(fabric, server, syn);
  REQUIRE(delivered.has_value());
  CHECK(delivered->bytes == syn);
  const Bytes reply = wire::BuildTcpPacket(
      {kService, kCaller, {.syn = true, .ack = true}, 9, 2}, {});
  server.Queue(delivered->from, reply);
  server.Flush();
  const auto returned = ReceiveNext(fabric, kTimeout);
  REQUIRE(returned.has_value());
  CHECK(returned->bytes == reply);
}

// Returns the next request that the server receives, with the endpoint that it
// came from. Skips other messages, such as load queries.
std::optional<std::pair<Endpoint, dispatch::Request>> NextRequest(
    kernel::UdpSocket& server) {
  const absl::Time deadline = absl::Now() + kTimeout;
  while (absl::Now() < deadline) {
    const auto datagram = ReceiveNext(server, absl::Milliseconds(200));
    if (!datagram.has_value()) {
      continue;
    }
    const auto message = dispatch::Decode(datagram->bytes);
    if (!message.ok()) {
      continue;
    }
    if (const auto* request =
            std::get_if<dispatch::Request>(&message.value())) {
      return std::pair(datagram->from, *request);
    }
  }
  return std::nullopt;
}

void CheckRequest(kernel::UdpSocket& fabric, kernel::UdpSocket& server) {
  dispatch::Request request;
  request.id = "request-1";
  request.organisation = "coop";
  request.service = "board";
  request.deadline = absl::Seconds(8);
  request.worth = 1;
  request.idempotent = true;
  request.body = {1, 2, 3};
  fabric.Queue(
      {kDaemonIp, 7000},
      wire::BuildUdpPacket(kCaller, kService, dispatch::Encode(request)));
  fabric.Flush();
  const auto delivered = NextRequest(server);
  REQUIRE(delivered.has_value());
  CHECK(delivered->second.id == "request-1");
  CHECK(delivered->second.body == request.body);

  dispatch::AnswerPart answer;
  answer.id = delivered->second.id;
  answer.attempt_id = delivered->second.attempt_id;
  answer.service = "board";
  answer.server = "s1";
  answer.incarnation = 1;
  answer.body = {9, 9};
  answer.sum = StableHash(std::span<const std::uint8_t>(answer.body));
  server.Queue(delivered->first, dispatch::Encode(answer));
  server.Flush();
  const auto returned = ReceiveNext(fabric, kTimeout);
  REQUIRE(returned.has_value());
  const auto packet = wire::PacketView::Parse(returned->bytes);
  REQUIRE(packet.has_value());
  CHECK(packet->source == kService);
  CHECK(packet->destination == kCaller);
  const auto message = dispatch::Decode(packet->payload);
  REQUIRE(message.ok());
  const auto* part = std::get_if<dispatch::AnswerPart>(&message.value());
  REQUIRE(part != nullptr);
  CHECK(part->id == "request-1");
  CHECK(part->body == answer.body);
}

TEST_CASE("a daemon forwards a flow and a request and returns the answers") {
  fake_platform::FakePlatformOptions options;
  options.listen = kPlatform;
  auto platform = fake_platform::FakePlatform::Make(options);
  REQUIRE(platform.ok());
  SeedPlatform(*platform.value());
  auto fabric = kernel::UdpSocket::Make(kFabric);
  auto server = kernel::UdpSocket::Make(kServer);
  REQUIRE(fabric.ok());
  REQUIRE(server.ok());
  auto balancer = Balancer::Make(MakeSettings());
  REQUIRE(balancer.ok());
  WaitForRevision(*balancer.value(), platform.value()->revision());
  CheckFlow(*fabric.value(), *server.value());
  CheckRequest(*fabric.value(), *server.value());
  CHECK(balancer.value()->Shutdown());
}

// One value of another writer among the resources ended the daemon (deep
// nesting) or stopped the news of all resources (no JSON).
TEST_CASE("a daemon follows its resources beside odd values") {
  fake_platform::FakePlatformOptions options;
  options.listen = kPlatform;
  auto platform = fake_platform::FakePlatform::Make(options);
  REQUIRE(platform.ok());
  auto fabric = kernel::UdpSocket::Make(kFabric);
  auto server = kernel::UdpSocket::Make(kServer);
  REQUIRE(fabric.ok());
  REQUIRE(server.ok());
  const auto put_odd_values = [&](const std::string& kind) {
    int number = 0;
    for (const test::OddValue& odd : test::OddValues()) {
      platform.value()->PutRaw(
          "config/" + kind + "/odd-" + std::to_string(number++), odd.text);
    }
  };
  put_odd_values("server");
  auto balancer = Balancer::Make(MakeSettings());
  REQUIRE(balancer.ok());
  WaitForRevision(*balancer.value(), 1);
  put_odd_values("service");
  SeedPlatform(*platform.value());
  WaitForRevision(*balancer.value(), platform.value()->revision());
  CheckFlow(*fabric.value(), *server.value());
  CHECK(balancer.value()->Shutdown());
}

TEST_CASE("a daemon whose port is in use fails with kBindFailed") {
  auto taken = kernel::UdpSocket::Make({kDaemonIp, 7002});
  REQUIRE(taken.ok());
  const auto balancer = Balancer::Make(MakeSettings());
  REQUIRE_FALSE(balancer.ok());
  CHECK(balancer.error().code == ResultCode::kBindFailed);
}

}  // namespace
}  // namespace gcw::balancer
