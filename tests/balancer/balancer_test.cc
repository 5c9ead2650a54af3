// The whole path of one daemon with real sockets: configuration from the
// stand-in platform, a flow and a request there and back.

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
constexpr absl::Duration kPatience = absl::Seconds(10);

using Bytes = std::vector<std::uint8_t>;

struct Datagram {
  Endpoint from;
  Bytes bytes;
};

// The next datagram on `socket`, or nothing within `patience`.
std::optional<Datagram> Next(kernel::UdpSocket& socket,
                             absl::Duration patience) {
  std::optional<Datagram> got;
  const absl::Time limit = absl::Now() + patience;
  while (!got.has_value() && absl::Now() < limit) {
    socket.Receive(
        [&](const Endpoint& from, std::span<const std::uint8_t> datagram) {
          got = Datagram{from, {datagram.begin(), datagram.end()}};
        });
    absl::SleepFor(absl::Milliseconds(1));
  }
  return got;
}

void Seed(fake_platform::FakePlatform& platform) {
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
  const absl::Time limit = absl::Now() + kPatience;
  while (absl::Now() < limit &&
         balancer.Status().value("revision", std::uint64_t{0}) < revision) {
    absl::SleepFor(absl::Milliseconds(20));
  }
  // Status and lease objects share the counter, so it may be larger.
  REQUIRE(balancer.Status()["revision"] >= revision);
}

// Repeats the datagram, as a caller does, until the server sees something.
std::optional<Datagram> SendUntilSeen(kernel::UdpSocket& fabric,
                                      kernel::UdpSocket& server,
                                      const Bytes& packet) {
  for (int i = 0; i < 20; ++i) {
    fabric.Queue({kDaemonIp, 7000}, packet);
    fabric.Flush();
    auto seen = Next(server, absl::Milliseconds(500));
    if (seen.has_value()) {
      return seen;
    }
  }
  return std::nullopt;
}

void CheckFlow(kernel::UdpSocket& fabric, kernel::UdpSocket& server) {
  const Bytes syn =
      wire::BuildTcpPacket({kCaller, kService, {.syn = true}, 1, 0}, {});
  const auto seen = SendUntilSeen(fabric, server, syn);
  REQUIRE(seen.has_value());
  CHECK(seen->bytes == syn);
  const Bytes reply = wire::BuildTcpPacket(
      {kService, kCaller, {.syn = true, .ack = true}, 9, 2}, {});
  server.Queue(seen->from, reply);
  server.Flush();
  const auto back = Next(fabric, kPatience);
  REQUIRE(back.has_value());
  CHECK(back->bytes == reply);
}

// The first request that reaches the server; load queries are passed over.
std::optional<std::pair<Endpoint, dispatch::Request>> NextRequest(
    kernel::UdpSocket& server) {
  const absl::Time limit = absl::Now() + kPatience;
  while (absl::Now() < limit) {
    const auto datagram = Next(server, absl::Milliseconds(200));
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
  const auto seen = NextRequest(server);
  REQUIRE(seen.has_value());
  CHECK(seen->second.id == "request-1");
  CHECK(seen->second.body == request.body);

  dispatch::AnswerPart answer;
  answer.id = seen->second.id;
  answer.attempt_id = seen->second.attempt_id;
  answer.service = "board";
  answer.server = "s1";
  answer.incarnation = 1;
  answer.body = {9, 9};
  answer.sum = StableHash(std::span<const std::uint8_t>(answer.body));
  server.Queue(seen->first, dispatch::Encode(answer));
  server.Flush();
  const auto back = Next(fabric, kPatience);
  REQUIRE(back.has_value());
  const auto packet = wire::PacketView::Parse(back->bytes);
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

TEST_CASE("a flow and a request go through a daemon and back") {
  fake_platform::FakePlatformOptions options;
  options.listen = kPlatform;
  auto platform = fake_platform::FakePlatform::Make(options);
  REQUIRE(platform.ok());
  Seed(*platform.value());
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

TEST_CASE("a daemon whose address is taken says so and starts nothing") {
  auto taken = kernel::UdpSocket::Make({kDaemonIp, 7002});
  REQUIRE(taken.ok());
  const auto balancer = Balancer::Make(MakeSettings());
  REQUIRE_FALSE(balancer.ok());
  CHECK(balancer.error().code == ResultCode::kBindFailed);
}

}  // namespace
}  // namespace gcw::balancer
