#ifndef GCW_TESTS_DIRECT_BALANCER_WORLD_H_
#define GCW_TESTS_DIRECT_BALANCER_WORLD_H_

#include <fmt/format.h>
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
inline constexpr absl::Duration kPatience = absl::Seconds(5);

// A free port of all loopback addresses that a test uses, different for test
// processes at the same time. It stays under the ports that the kernel gives to
// connections: one of those, on a daemon's own address, took such a port away.
inline std::uint16_t PortBase() {
  static std::uint16_t next =
      static_cast<std::uint16_t>(15'000 + (getpid() % 35) * 500);
  next = static_cast<std::uint16_t>(next + 10);
  return next;
}

// The platform's stand-in, backend servers as bare sockets, and a caller, for
// real daemons in this process.
class World {
 public:
  World() : port_(PortBase()) {
    fake_platform::FakePlatformOptions options;
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

  // A server that takes packets at a socket of its own, listed as ready.
  std::size_t AddServer(int incarnation = 1) {
    const auto n = static_cast<std::uint32_t>(servers_.size());
    const Endpoint address{kServerIp + n, port_};
    auto socket = kernel::UdpSocket::Make(address);
    REQUIRE(socket.ok());
    servers_.push_back(std::move(socket).value());
    const std::string key = KeyOf(servers_.size() - 1);
    const auto version = platform->Put(
        key,
        fmt::format(R"({{"service":"s","address":"{}","zone":"z","capacity":2,)"
                    R"("state":"ready","warmup_left_ms":0,"born":{}}})",
                    ToString(address), incarnation),
        0);
    REQUIRE(version.ok());
    versions_.push_back(version.value());
    return servers_.size() - 1;
  }

  static std::string KeyOf(std::size_t server) {
    return fmt::format("servers/i-{:04x}", server + 1);
  }

  void RemoveServer(std::size_t server) {
    REQUIRE(platform->Delete(KeyOf(server), versions_[server]).ok());
  }

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

  std::unique_ptr<Daemon> Start(std::uint32_t daemon) {
    auto made = Daemon::Make(SettingsOf(daemon), "/nowhere");
    if (!made.ok()) {
      FAIL(gcw::ToString(made.error()));
    }
    return std::move(made).value();
  }

  struct Arrival {
    std::size_t server = 0;
    direct::Packet packet;
    std::uint64_t number = 0;
  };

  void Send(std::uint32_t daemon, const direct::Packet& packet) {
    std::array<std::uint8_t, adapter::kHeaderBytes> bytes{};
    adapter::Header header = adapter::EncodeReset(packet);
    std::copy(header.begin(), header.end(), bytes.begin());
    // A reset goes the other way round; swap its ends and set the flags.
    std::swap_ranges(bytes.begin(), bytes.begin() + 4, bytes.begin() + 4);
    std::swap_ranges(bytes.begin() + 8, bytes.begin() + 10, bytes.begin() + 10);
    bytes[14] = packet.syn ? 128 : 32;
    adapter::WriteCookie(bytes, packet.cookie);
    caller_->Queue({kDaemonIp + daemon, port_}, bytes);
    caller_->Flush();
  }

  direct::Packet Syn(std::uint16_t port) const {
    direct::Packet packet;
    packet.flow = {{kCallerIp, port}, kService};
    packet.syn = true;
    return packet;
  }

  // The next packet that reaches any server.
  std::optional<Arrival> Next(absl::Duration patience = kPatience) {
    const absl::Time until = absl::Now() + patience;
    while (absl::Now() < until) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        std::optional<Arrival> arrival;
        servers_[i]->Receive(
            [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
              arrival = Read(i, datagram);
            });
        if (arrival) {
          return arrival;
        }
      }
      absl::SleepFor(absl::Milliseconds(2));
    }
    return std::nullopt;
  }

  // Whether a reset reaches the caller.
  bool ResetArrives(absl::Duration patience = kPatience) {
    const absl::Time until = absl::Now() + patience;
    bool reset = false;
    while (!reset && absl::Now() < until) {
      caller_->Receive(
          [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
            const auto packet = adapter::DecodePacket(datagram);
            reset = reset || (packet && packet->rst);
          });
      absl::SleepFor(absl::Milliseconds(2));
    }
    return reset;
  }

  // Sends first packets until one arrives, since a daemon that has just started
  // drops them.
  Arrival Open(std::uint32_t daemon, std::uint16_t port) {
    for (int i = 0; i < 100; ++i) {
      Send(daemon, Syn(port));
      const auto arrival = Next(absl::Milliseconds(50));
      if (arrival) {
        return *arrival;
      }
    }
    FAIL("no first packet arrived");
    return {};
  }

  // Whether the daemon places one of the flows from these ports on the server.
  bool PlacesOn(std::size_t server,
                std::uint32_t daemon,
                std::uint16_t first_port,
                std::uint16_t end_port) {
    for (std::uint16_t port = first_port; port < end_port; ++port) {
      Send(daemon, Syn(port));
      const auto arrival = Next(absl::Milliseconds(100));
      if (arrival && arrival->server == server) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<fake_platform::FakePlatform> platform;

 private:
  static std::optional<Arrival> Read(std::size_t server,
                                     std::span<const std::uint8_t> datagram) {
    if (datagram.size() < adapter::kServerPrefixBytes) {
      return std::nullopt;
    }
    Arrival arrival;
    arrival.server = server;
    for (std::size_t i = 0; i < adapter::kServerPrefixBytes; ++i) {
      arrival.number = arrival.number << 8 | datagram[i];
    }
    const auto packet =
        adapter::DecodePacket(datagram.subspan(adapter::kServerPrefixBytes));
    if (!packet) {
      return std::nullopt;
    }
    arrival.packet = *packet;
    return arrival;
  }

  const std::uint16_t port_;
  std::unique_ptr<kernel::UdpSocket> caller_;
  std::vector<std::unique_ptr<kernel::UdpSocket>> servers_;
  std::vector<config::Version> versions_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_TESTS_DIRECT_BALANCER_WORLD_H_
