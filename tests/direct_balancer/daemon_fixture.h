#ifndef GCW_TESTS_DIRECT_BALANCER_DAEMON_FIXTURE_H_
#define GCW_TESTS_DIRECT_BALANCER_DAEMON_FIXTURE_H_

#include <fmt/format.h>
#include <httplib.h>
#include <poll.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/kernel/udp_socket.h"
#include "platform/packet_header.h"
#include "platform/stand_in_form.h"
#include "src/direct_balancer/daemon.h"
#include "src/fake_platform/fake_platform.h"

namespace gcw::direct_balancer {

inline constexpr std::uint32_t kLoopback = 0x7f000001;
inline constexpr std::uint32_t kCallerIp = 0x7f000a01;
inline constexpr std::uint32_t kServerIp = 0x7f000b01;
inline constexpr std::uint32_t kDaemonIp = 0x7f000c01;
inline const Endpoint kService{0xc6120001, 8443};
inline constexpr absl::Duration kTimeout = absl::Seconds(5);
// Pause between two flows of EventuallyPlacesOn(). It leaves the daemon time to
// learn of a change between them.
inline constexpr absl::Duration kFlowInterval = absl::Milliseconds(5);

// Returns the first of ten ports that are free on all loopback addresses that a
// test uses. Test processes that run at the same time get different ports. They
// are below the kernel's ephemeral ports: an outgoing connection that the
// kernel bound to an ephemeral port on a daemon's address made the daemon's own
// bind to that port fail.
inline std::uint16_t NextFreePort() {
  static std::uint16_t next =
      static_cast<std::uint16_t>(15'000 + (getpid() % 35) * 500);
  next = static_cast<std::uint16_t>(next + 10);
  return next;
}

// Runs real daemons in this process against a fake platform, with plain sockets
// as backend servers and as the caller.
class DaemonFixture {
 public:
  // The platform lists in pages of at most `page_bytes`; 0: in one page.
  explicit DaemonFixture(std::size_t page_bytes = 0) : port_(NextFreePort()) {
    fake_platform::FakePlatformOptions options;
    options.page_bytes = page_bytes;
    options.listen = {kLoopback, 0};
    options.format = &adapter::ObjectForm();
    auto made = fake_platform::FakePlatform::Make(options);
    REQUIRE(made.ok());
    platform = std::move(made).value();
    auto socket = kernel::UdpSocket::Make({kCallerIp, port_});
    REQUIRE(socket.ok());
    caller_ = std::move(socket).value();
    REQUIRE(platform
                ->Put("config/main",
                      R"({"version":1,"routes":[{"name":"r","host":)"
                      R"("198.18.0.1","path_prefix":"/8443/","service":"s"}],)"
                      R"("services":[{"name":"s"}]})",
                      0)
                .ok());
  }

  // Adds a backend server that receives packets on its own socket, and its
  // entry on the platform in state "ready". Returns the server's index.
  std::size_t AddServer(int incarnation = 1) {
    const auto n = static_cast<std::uint32_t>(servers_.size());
    const Endpoint address{kServerIp + n, port_};
    auto socket = kernel::UdpSocket::Make(address);
    REQUIRE(socket.ok());
    servers_.push_back(std::move(socket).value());
    const std::string key = ServerKey(servers_.size() - 1);
    const auto version = platform->Put(
        key,
        fmt::format(R"({{"service":"s","address":"{}","zone":"z",)"
                    R"("version":"v1","capacity":2,"state":"ready",)"
                    R"("warmup_left_ms":0,"sequence":1,"born":{}}})",
                    ToString(address), incarnation),
        0);
    REQUIRE(version.ok());
    versions_.push_back(version.value());
    return servers_.size() - 1;
  }

  // The key of a server's entry on the platform.
  static std::string ServerKey(std::size_t server) {
    return fmt::format("servers/i-{:04x}", server + 1);
  }

  void RemoveServer(std::size_t server) {
    REQUIRE(platform->Delete(ServerKey(server), versions_[server]).ok());
  }

  // The settings of the daemon with this index.
  Settings SettingsOf(std::uint32_t daemon) const {
    Settings settings;
    settings.name = fmt::format("b{}", daemon);
    settings.zone = "z";
    settings.packets = {kDaemonIp + daemon, port_};
    settings.ready = {kDaemonIp + daemon,
                      static_cast<std::uint16_t>(port_ + 1)};
    settings.metrics = {kDaemonIp + daemon,
                        static_cast<std::uint16_t>(port_ + 2)};
    settings.members_port = static_cast<std::uint16_t>(port_ + 3);
    settings.seeds = {{kDaemonIp, 1}, {kDaemonIp + 1, 1}};
    settings.platform = platform->endpoint();
    settings.stop_limit = absl::Seconds(3);
    settings.log_level = LogLevel::kError;
    return settings;
  }

  std::unique_ptr<Daemon> StartDaemon(std::uint32_t daemon) {
    auto made = Daemon::Make(SettingsOf(daemon), "/nowhere");
    if (!made.ok()) {
      FAIL(gcw::ToString(made.error()));
    }
    return std::move(made).value();
  }

  // Reads the daemon's metrics until they contain `sample`. Returns an empty
  // string after kTimeout.
  std::string MetricsWith(std::uint32_t daemon, std::string_view sample) const {
    const Endpoint metrics = SettingsOf(daemon).metrics;
    httplib::Client client(IpToString(metrics.ip), metrics.port);
    const absl::Time deadline = absl::Now() + kTimeout;
    while (absl::Now() < deadline) {
      const auto answer = client.Get("/metrics");
      if (answer && answer->body.find(sample) != std::string::npos) {
        return answer->body;
      }
      absl::SleepFor(absl::Milliseconds(10));
    }
    return {};
  }

  // A packet that a daemon forwarded to a server.
  struct ReceivedPacket {
    std::size_t server = 0;  // Index of the server that received it.
    direct::Packet packet;
    std::uint64_t number = 0;  // The server number in the packet's prefix.
  };

  // Sends `packet` from the caller to a daemon.
  void SendPacket(std::uint32_t daemon, const direct::Packet& packet) {
    std::array<std::uint8_t, adapter::kHeaderBytes> bytes{};
    adapter::Header header = adapter::EncodeReset(packet);
    std::copy(header.begin(), header.end(), bytes.begin());
    // EncodeReset writes a header from the service to the caller; swap the
    // addresses and ports and set the flags to get the opposite direction.
    std::swap_ranges(bytes.begin(), bytes.begin() + 4, bytes.begin() + 4);
    std::swap_ranges(bytes.begin() + 8, bytes.begin() + 10, bytes.begin() + 10);
    bytes[14] = packet.syn ? 128 : 32;
    adapter::WriteCookie(bytes, packet.cookie);
    caller_->Queue({kDaemonIp + daemon, port_}, bytes);
    caller_->Flush();
  }

  // The first packet of a flow from this port of the caller.
  direct::Packet MakeSyn(std::uint16_t port) const {
    direct::Packet packet;
    packet.flow = {{kCallerIp, port}, kService};
    packet.syn = true;
    return packet;
  }

  // Waits for the next packet that any server receives. Returns nothing after
  // `timeout`.
  std::optional<ReceivedPacket> NextPacket(absl::Duration timeout = kTimeout) {
    const absl::Time deadline = absl::Now() + timeout;
    while (absl::Now() < deadline) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        std::optional<ReceivedPacket> received;
        servers_[i]->Receive(
            [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
              received = DecodeReceived(i, datagram);
            });
        if (received) {
          return received;
        }
      }
      absl::SleepFor(absl::Milliseconds(2));
    }
    return std::nullopt;
  }

  // Waits for a reset to reach the caller. Returns false after `timeout`.
  bool ResetArrives(absl::Duration timeout = kTimeout) {
    const absl::Time deadline = absl::Now() + timeout;
    bool reset = false;
    while (!reset && absl::Now() < deadline) {
      caller_->Receive(
          [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
            const auto packet = adapter::DecodePacket(datagram);
            reset = reset || (packet && packet->rst);
          });
      absl::SleepFor(absl::Milliseconds(2));
    }
    return reset;
  }

  // Opens a flow through a daemon: repeats its first packet until a server
  // receives it, since a daemon that has just started drops packets. Fails the
  // test after 100 attempts.
  ReceivedPacket OpenFlow(std::uint32_t daemon, std::uint16_t port) {
    for (int i = 0; i < 100; ++i) {
      SendPacket(daemon, MakeSyn(port));
      const auto received = NextPacket(absl::Milliseconds(50));
      if (received) {
        return *received;
      }
    }
    FAIL("no first packet arrived");
    return {};
  }

  // Opens flows from the ports starting at `first_port` through a daemon until
  // it places one on `server`. Returns false after kTimeout.
  bool EventuallyPlacesOn(std::size_t server,
                          std::uint32_t daemon,
                          std::uint16_t first_port) {
    const absl::Time deadline = absl::Now() + kTimeout;
    for (std::uint16_t port = first_port; absl::Now() < deadline; ++port) {
      SendPacket(daemon, MakeSyn(port));
      const auto received = NextPacket(absl::Milliseconds(100));
      if (received && received->server == server) {
        return true;
      }
      absl::SleepFor(kFlowInterval);
    }
    return false;
  }

  std::unique_ptr<fake_platform::FakePlatform> platform;

 private:
  static std::optional<ReceivedPacket> DecodeReceived(
      std::size_t server,
      std::span<const std::uint8_t> datagram) {
    if (datagram.size() < adapter::kServerPrefixBytes) {
      return std::nullopt;
    }
    ReceivedPacket received;
    received.server = server;
    for (std::size_t i = 0; i < adapter::kServerPrefixBytes; ++i) {
      received.number = received.number << 8 | datagram[i];
    }
    const auto packet =
        adapter::DecodePacket(datagram.subspan(adapter::kServerPrefixBytes));
    if (!packet) {
      return std::nullopt;
    }
    received.packet = *packet;
    return received;
  }

  const std::uint16_t port_;
  std::unique_ptr<kernel::UdpSocket> caller_;
  std::vector<std::unique_ptr<kernel::UdpSocket>> servers_;
  std::vector<config::Version> versions_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_TESTS_DIRECT_BALANCER_DAEMON_FIXTURE_H_
