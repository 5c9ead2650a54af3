#include "src/direct_balancer/packet_task.h"

#include <array>
#include <utility>
#include <variant>

#include "gcw/direct/direct_router.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/pause_guard.h"
#include "gcw/kernel/service.h"
#include "gcw/kernel/udp_socket.h"
#include "platform/packet_header.h"
#include "src/direct_balancer/messages.h"
#include "src/direct_balancer/prober.h"

namespace gcw::direct_balancer {
namespace {

using direct::Action;
using direct::Decision;
using direct::Packet;
using direct::Reason;

constexpr std::size_t kMailboxCapacity = 1000;
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr absl::Duration kStatsInterval = absl::Seconds(1);
// How often the load of this daemon is told to the other daemons.
constexpr absl::Duration kLoadInterval = absl::Milliseconds(250);

}  // namespace

class PacketTask::Impl {
 public:
  Impl(const Settings& settings,
       std::uint64_t seed,
       kernel::Kernel& kernel,
       EventWriter& log,
       SharedState& shared,
       Metrics& metrics)
      : settings_(settings),
        seed_(seed),
        kernel_(kernel),
        log_(log),
        shared_(shared),
        metrics_(metrics) {}

  ~Impl() { kernel_.Unregister(kPacketService); }

  // Opens the socket and the mailbox. Fails as DirectRouter::Make,
  // UdpSocket::Make and OpenService do.
  Status Setup(kernel::EventLoop& loop) {
    auto router = direct::DirectRouter::Make(
        {.zone = settings_.zone,
         .report_interval = settings_.report_interval,
         .max_flow_age = settings_.max_flow_age,
         .seed = seed_});
    if (!router.ok()) {
      return router.error();
    }
    router_ = std::move(router).value();
    auto socket = kernel::UdpSocket::Make(settings_.packets);
    if (!socket.ok()) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    prober_ = std::make_unique<Prober>(
        loop, settings_.packets.ip,
        [this](std::uint32_t id, direct::ProbeOutcome outcome) {
          router_->OnProbe(id, outcome, kernel::MonotonicNow());
          ProcessRouterOutput();
        });
    Status watching =
        loop.WatchReadable(socket_->fd(), [this] { OnReadable(); });
    if (!watching.ok()) {
      return watching;
    }
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
    return OpenMailbox(loop);
  }

 private:
  Status OpenMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::OpenService<PacketMessage>(
        kernel_, loop, kPacketService, kMailboxCapacity,
        [this](PacketMessage& message) { OnMessage(message); });
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return OkStatus();
  }

  void OnReadable() {
    const absl::Time now = kernel::MonotonicNow();
    DetectPause(now);
    shared_.last_packet_ns.store(absl::ToUnixNanos(now),
                                 std::memory_order_relaxed);
    socket_->Receive(
        [&](const Endpoint&, std::span<const std::uint8_t> datagram) {
          OnDatagram(datagram, now);
        });
    ProcessRouterOutput();
  }

  // Logs a pause of this process and lets the guard mark the packets that
  // waited in the socket meanwhile as stale.
  void DetectPause(absl::Time now) {
    if (now - last_activity_ > kernel::PauseGuard::kPause) {
      log_.Write(PauseNoticed{now - last_activity_});
    }
    last_activity_ = now;
    pause_guard_.OnActivity(now);
  }

  void OnDatagram(std::span<const std::uint8_t> datagram, absl::Time now) {
    const std::optional<Packet> packet = adapter::DecodePacket(datagram);
    if (!packet) {
      metrics_.CountPacket(Reason::kMalformed);
      return;
    }
    if (packet->syn && pause_guard_.stale(now)) {
      metrics_.CountPacket(Reason::kWaitedOutPause);
      return;
    }
    const Decision decision = router_->OnPacket(*packet, now);
    metrics_.CountPacket(decision.reason);
    switch (decision.action) {
      case Action::kForward:
        Forward(decision, datagram);
        return;
      case Action::kReset:
        SendReset(*packet);
        return;
      case Action::kDrop:
        return;
    }
  }

  // Resets the flow of `packet` towards its caller.
  void SendReset(const Packet& packet) {
    socket_->Queue(adapter::CallerAddress(packet, settings_.packets.port),
                   adapter::EncodeReset(packet));
  }

  // Queues a copy of `datagram`, with the flow's cookie written into it, for
  // the chosen backend server.
  void Forward(const Decision& decision,
               std::span<const std::uint8_t> datagram) {
    std::copy(datagram.begin(), datagram.end(), forward_buffer_.begin());
    const std::span<std::uint8_t> packet(forward_buffer_.data(),
                                         datagram.size());
    adapter::WriteCookie(packet, decision.cookie);
    socket_->Queue(decision.server,
                   adapter::EncodeServerPrefix(decision.server_number), packet);
  }

  // Runs the periodic work of the prober and the router, and updates the
  // metrics once per kStatsInterval.
  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    DetectPause(now);
    prober_->OnTick(now);
    router_->OnTick(now);
    ProcessRouterOutput();
    UpdateReady();
    if (now - last_load_ >= kLoadInterval) {
      last_load_ = now;
      SendOwnLoad();
    }
    if (now - last_stats_ >= kStatsInterval) {
      last_stats_ = now;
      direct::RouterStats stats = router_->Stats(now);
      shared_.open_flows.store(stats.flows, std::memory_order_relaxed);
      metrics_.SetRouterStats(std::move(stats));
    }
  }

  // Sends the load of this daemon's flows to the state task, if it takes part
  // in the exchange.
  void SendOwnLoad() {
    const auto load = kernel_.Find<OwnLoadMeasured>(kLoadService);
    if (load.ok()) {
      load.value()->Send({router_->own_load()});
    }
  }

  // Asks the state task to read the list of servers, if the router wants that.
  void RequestServers() {
    const auto version = router_->TakeWantedServersVersion();
    if (!version) {
      return;
    }
    const auto state =
        kernel_.Find<ServersVersionWanted>(kServersVersionService);
    if (state.ok()) {
      state.value()->Send({*version});
    }
  }

  // Starts the probes, sends the resets and forwarded packets, and records the
  // latency samples and events that the last calls to the router produced.
  void ProcessRouterOutput() {
    RequestServers();
    for (const direct::ProbeRequest& probe : router_->TakeProbes()) {
      prober_->Start(probe, kernel::MonotonicNow());
    }
    for (const direct::FlowReset& reset : router_->TakeResets()) {
      const Packet packet{.flow = reset.flow,
                          .acknowledged = reset.acknowledged};
      SendReset(packet);
    }
    socket_->Flush();
    for (const direct::LatencySample& wait : router_->TakeLatencySamples()) {
      metrics_.AddWait(wait);
    }
    for (const direct::Event& event : router_->TakeEvents()) {
      log_.Write(event);
    }
  }

  // Updates the answer to the routers' readiness check. Looks at all servers,
  // so it runs with each tick instead of each packet.
  void UpdateReady() {
    const bool leaving = shared_.leaving.load(std::memory_order_relaxed);
    const bool ready = router_->can_serve() && !leaving;
    if (shared_.ready.exchange(ready, std::memory_order_relaxed) != ready) {
      log_.Write(ReadyChanged{ready, router_->synced(), leaving});
    }
  }

  void OnMessage(PacketMessage& message) {
    const absl::Time now = kernel::MonotonicNow();
    std::visit([&](const auto& m) { Handle(m, now); }, message);
    ProcessRouterOutput();
    UpdateReady();
  }

  void Handle(const ConfigurationRead& m, absl::Time now) {
    router_->ApplyConfiguration(m.configuration, m.revision, now);
  }
  void Handle(const ServersListed& m, absl::Time now) {
    router_->ApplyServerList(m.reports, m.revision, now);
  }
  void Handle(const ZonesOutRead& m, absl::Time now) {
    router_->ApplyZonesOut(m.zones, m.revision, now);
  }
  void Handle(const MissingServersTold& m, absl::Time now) {
    router_->AddMissingServers(m.reports, now);
  }
  void Handle(const ZonesOutTold& m, absl::Time /*now*/) {
    router_->KeepZonesOut(m.zones, m.until);
  }
  void Handle(const FeedConfirmed& m, absl::Time now) {
    if (m.by_platform) {
      router_->OnStoreAnswer(m.feed, now);
    } else {
      router_->OnFeedConfirmed(m.feed, m.confirmed);
    }
  }
  void Handle(const ServersInclude& m, absl::Time now) {
    router_->OnServersInclude(m.version, now);
  }
  void Handle(const FleetChanged& m, absl::Time now) {
    router_->SetFleetPosition(m.place, now);
  }
  void Handle(const FleetLoadSummed& m, absl::Time /*now*/) {
    // The message may have waited while the process was paused.
    router_->SetFleetLoad(m.figures, m.summed);
  }
  void Handle(const FeedFailed& m, absl::Time now) {
    router_->OnStoreFailure(m.feed, m.code, now);
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  EventWriter& log_;
  SharedState& shared_;
  Metrics& metrics_;
  std::unique_ptr<direct::DirectRouter> router_;
  std::unique_ptr<kernel::UdpSocket> socket_;
  std::unique_ptr<Prober> prober_;
  std::shared_ptr<kernel::Mailbox<PacketMessage>> mailbox_;
  kernel::PauseGuard pause_guard_;
  std::array<std::uint8_t, kernel::UdpSocket::kMaxDatagram> forward_buffer_{};
  absl::Time last_activity_ = absl::InfiniteFuture();
  absl::Time last_stats_ = absl::InfinitePast();
  absl::Time last_load_ = absl::InfinitePast();
};

PacketTask::PacketTask(const Settings& settings,
                       std::uint64_t seed,
                       kernel::Kernel& kernel,
                       EventWriter& log,
                       SharedState& shared,
                       Metrics& metrics)
    : Task("packets"),
      impl_(std::make_unique<Impl>(settings,
                                   seed,
                                   kernel,
                                   log,
                                   shared,
                                   metrics)) {}

PacketTask::~PacketTask() {
  Stop();
}

Status PacketTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::direct_balancer
