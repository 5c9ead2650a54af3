// Measures packets per second of CPU time: the packet task of gcw-balancer,
// compared with a bare relay that receives and sends in the same batches but
// makes no routing decision. Each runs on its own thread and receives packets
// over loopback.

#include <benchmark/benchmark.h>

#include <memory>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/base/log.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/wire/packet.h"
#include "src/balancer/messages.h"
#include "src/balancer/packet_task.h"

namespace gcw::balancer {
namespace {

constexpr std::uint32_t kDaemonIp = 0x7f4e0001;  // 127.78.0.1
constexpr std::uint32_t kRelayIp = 0x7f4e0002;
constexpr Endpoint kServer{0x7f4e0003, 9000};
constexpr Endpoint kGenerator{0x7f4e0004, 9000};
constexpr Endpoint kService{0x0a640001, 80};
constexpr std::size_t kFlows = 10'000;
constexpr std::size_t kBurst = 256;
constexpr std::size_t kPayload = 64;

// Forwards every datagram to kServer.
class BareRelay : public kernel::Task {
 public:
  BareRelay() : Task("bare-relay") {}
  ~BareRelay() override { Stop(); }

 protected:
  Status Setup(kernel::EventLoop& loop) override {
    auto socket = kernel::UdpSocket::Make({kRelayIp, 7000});
    if (!socket.ok()) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    return loop.WatchReadable(socket_->fd(), [this] { Serve(); });
  }

 private:
  void Serve() {
    const auto forward = [this](const Endpoint&,
                                std::span<const std::uint8_t> datagram) {
      socket_->Queue(kServer, datagram);
    };
    while (socket_->Receive(forward) == kernel::UdpSocket::kBatch) {
    }
    socket_->Flush();
  }

  std::unique_ptr<kernel::UdpSocket> socket_;
};

config::SnapshotPtr MakeSnapshot() {
  auto snapshot = std::make_shared<config::Snapshot>();
  snapshot->revision = 1;
  snapshot->zones["a"] = {"a", config::ZoneState::kIn, 1};
  config::BackendServer server;
  server.name = "s1";
  server.address = kServer;
  server.zone = "a";
  server.connections = 2'000'000;
  server.version = server.created = 1;
  snapshot->servers["s1"] = server;
  config::Service service;
  service.name = "dispatch";
  service.organisation = "organisation";
  service.addresses = {kService};
  service.servers = {{"s1", 100}};
  service.version = 1;
  snapshot->services["dispatch"] = service;
  return snapshot;
}

std::vector<std::vector<std::uint8_t>> MakePackets(bool syn) {
  const std::vector<std::uint8_t> payload(syn ? 0 : kPayload, 1);
  std::vector<std::vector<std::uint8_t>> packets;
  for (std::size_t i = 0; i < kFlows; ++i) {
    const Endpoint caller{0x0a000000 + static_cast<std::uint32_t>(i), 40000};
    packets.push_back(wire::BuildTcpPacket(
        {caller, kService, {.syn = syn, .ack = !syn}, 1, 1}, payload));
  }
  return packets;
}

// Sends one burst of packets and receives it at `sink` before returning, so
// that no socket buffer overflows. Returns how many packets arrived within 200
// ms.
std::size_t SendBurst(kernel::UdpSocket& from,
                      kernel::UdpSocket& sink,
                      const Endpoint& to,
                      const std::vector<std::vector<std::uint8_t>>& packets,
                      std::size_t first) {
  for (std::size_t i = 0; i < kBurst; ++i) {
    from.Queue(to, packets[(first + i) % packets.size()]);
  }
  from.Flush();
  std::size_t received = 0;
  const absl::Time deadline = absl::Now() + absl::Milliseconds(200);
  while (received < kBurst && absl::Now() < deadline) {
    received +=
        sink.Receive([](const Endpoint&, std::span<const std::uint8_t>) {});
  }
  return received;
}

void Measure(benchmark::State& state,
             const kernel::Task& task,
             kernel::UdpSocket& generator,
             kernel::UdpSocket& server,
             const Endpoint& to) {
  const auto syns = MakePackets(true);
  for (std::size_t i = 0; i < kFlows; i += kBurst) {
    SendBurst(generator, server, to, syns, i);
  }
  const auto packets = MakePackets(false);
  std::size_t first = 0;
  std::size_t delivered = 0;
  std::size_t sent = 0;
  const absl::Duration before = task.cpu_time();
  for (auto _ : state) {
    delivered += SendBurst(generator, server, to, packets, first);
    first += kBurst;
    sent += kBurst;
  }
  const absl::Duration used = task.cpu_time() - before;
  state.counters["packets_per_cpu_s"] =
      static_cast<double>(delivered) / absl::ToDoubleSeconds(used);
  state.counters["delivered_share"] =
      static_cast<double>(delivered) / static_cast<double>(sent);
}

void BM_BareRelay(benchmark::State& state) {
  auto generator = kernel::UdpSocket::Make(kGenerator);
  auto server = kernel::UdpSocket::Make(kServer);
  BareRelay relay;
  if (!generator.ok() || !server.ok() || !relay.Start().ok()) {
    state.SkipWithError("cannot bind");
    return;
  }
  Measure(state, relay, *generator.value(), *server.value(), {kRelayIp, 7000});
}

void BM_PacketTask(benchmark::State& state) {
  SetLogLevel(LogLevel::kWarning);
  auto generator = kernel::UdpSocket::Make(kGenerator);
  auto server = kernel::UdpSocket::Make(kServer);
  Settings settings;
  settings.name = std::string("b1");
  settings.zone = "a";
  settings.bind = settings.advertise = kDaemonIp;
  settings.fabric = {kGenerator.ip, 9001};
  auto signer = auth::Signer::Make("b1", {1, std::string(32, 'k')},
                                   std::nullopt, absl::Now());
  kernel::Kernel kernel;
  PacketTask task(settings, signer.value(), kernel);
  if (!generator.ok() || !server.ok() || !task.Start().ok()) {
    state.SkipWithError("cannot bind");
    return;
  }
  const auto sink = kernel.Find<PacketMessage>(kPacketService);
  membership::Member self;
  self.name = "b1";
  self.zone = "a";
  sink.value()->Send(MembersChanged{{self}, false});
  sink.value()->Send(ConfigChanged{MakeSnapshot()});
  // Waits until the policy has activated the first table.
  absl::SleepFor(absl::Seconds(3));
  Measure(state, task, *generator.value(), *server.value(),
          {kDaemonIp, settings.ports.data});
}

BENCHMARK(BM_BareRelay)->UseRealTime()->MinTime(2.0);
BENCHMARK(BM_PacketTask)->UseRealTime()->MinTime(2.0);

}  // namespace
}  // namespace gcw::balancer

BENCHMARK_MAIN();
