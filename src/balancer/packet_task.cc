#include "src/balancer/packet_task.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "gcw/auth/replay_window.h"
#include "gcw/base/log.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/pause_guard.h"
#include "gcw/kernel/service.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/wire/packet.h"
#include "gcw/wire/relay_header.h"
#include "src/balancer/reset_watch.h"

namespace gcw::balancer {
namespace {

using wire::PacketView;

constexpr Logger kLog("routing");
constexpr absl::Duration kTick = absl::Milliseconds(50);
constexpr std::size_t kMailboxCapacity = 50'000;
// Batches of one socket before the others get their turn.

routing::TcpFlags FlagsOf(const PacketView& view) {
  return {view.tcp.syn, view.tcp.ack, view.tcp.fin, view.tcp.rst};
}

routing::FlowPacket FlowPacketOf(const PacketView& view) {
  routing::FlowPacket packet;
  packet.source = view.source;
  packet.service_address = view.destination;
  packet.flags = FlagsOf(view);
  packet.length = static_cast<std::uint32_t>(view.packet.size());
  packet.payload = static_cast<std::uint32_t>(view.payload.size());
  return packet;
}

// A reply names its flow as the packets that it answers do.
routing::FlowPacket ReplyOf(const PacketView& view) {
  routing::FlowPacket packet = FlowPacketOf(view);
  std::swap(packet.source, packet.service_address);
  return packet;
}

wire::RelayHeader ToWire(const routing::RelayHeader& header) {
  return {header.hops, header.visited, header.revision, header.service,
          header.placement};
}

routing::RelayHeader FromWire(const wire::RelayHeader& header) {
  routing::RelayHeader result;
  result.hops = header.hops;
  result.visited = header.visited;
  result.revision = header.revision;
  result.service = header.service;
  result.placement = header.placement;
  return result;
}

routing::MemberState StateOf(const membership::Member& member) {
  if (member.leaving()) {
    return routing::MemberState::kLeaving;
  }
  return member.state == membership::MemberState::kSuspect
             ? routing::MemberState::kSuspect
             : routing::MemberState::kAlive;
}

}  // namespace

class PacketTask::Impl {
 public:
  Impl(const Settings& settings,
       std::shared_ptr<auth::Signer> signer,
       kernel::Kernel& kernel)
      : settings_(settings), signer_(std::move(signer)), kernel_(kernel) {}

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step :
         {&Impl::MakePolicy, &Impl::MakeMailbox, &Impl::MakeSockets}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTick, [this] { OnTick(); });
    return OkStatus();
  }

 private:
  Status MakePolicy(kernel::EventLoop& /*loop*/) {
    routing::RouterOptions options;
    options.policy = settings_.policy;
    options.self = settings_.name;
    options.zone = settings_.zone;
    auto policy = routing::RoutingPolicy::Make(options);
    if (!policy.ok()) {
      return policy.error();
    }
    policy_ = std::move(policy).value();
    return OkStatus();
  }

  Status MakeMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::OpenService<PacketMessage>(
        kernel_, loop, kPacketService, kMailboxCapacity,
        [this](PacketMessage& message) {
          std::visit([this](auto& m) { OnMessage(m); }, message);
        });
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return OkStatus();
  }

  Status MakeSockets(kernel::EventLoop& loop) {
    const Ports& ports = settings_.ports;
    Status made = OpenSocket(loop, ports.data, &Impl::OnFabricPacket, data_);
    if (made.ok()) {
      made = OpenSocket(loop, ports.server, &Impl::OnServerPacket, server_);
    }
    if (made.ok()) {
      made = OpenSocket(loop, ports.relay, &Impl::OnRelayedPacket, relay_);
    }
    return made;
  }

  using PacketHandler = void (Impl::*)(const Endpoint&,
                                       std::span<const std::uint8_t>);

  Status OpenSocket(kernel::EventLoop& loop,
                    std::uint16_t port,
                    PacketHandler handler,
                    std::unique_ptr<kernel::UdpSocket>& target) {
    auto socket = kernel::UdpSocket::Make({settings_.bind, port});
    if (!socket.ok()) {
      return socket.error();
    }
    target = std::move(socket).value();
    kernel::UdpSocket* opened = target.get();
    return loop.WatchReadable(
        opened->fd(), [this, opened, handler] { Serve(*opened, handler); });
  }

  void Serve(kernel::UdpSocket& socket, PacketHandler handler) {
    const auto receive = [this, handler](
                             const Endpoint& from,
                             std::span<const std::uint8_t> datagram) {
      (this->*handler)(from, datagram);
    };
    socket.ReceiveBatches(receive, [this] {
      now_ = kernel::MonotonicNow();
      pause_guard_.OnActivity(now_);
    });
    Flush();
  }

  void Flush() {
    data_->Flush();
    server_->Flush();
    relay_->Flush();
  }

  // Packets.

  void OnFabricPacket(const Endpoint& /*from*/,
                      std::span<const std::uint8_t> datagram) {
    last_fabric_packet_ = now_;
    const auto view = PacketView::Parse(datagram);
    if (!view.has_value()) {
      ++malformed_;
      return;
    }
    if (view->protocol == wire::Protocol::kUdp) {
      PassToDispatch(*view);
      return;
    }
    if (MayHavePaused(*view)) {
      return;
    }
    Perform(*view, policy_->OnPacket(FlowPacketOf(*view), now_));
  }

  // Whether this is a first packet that may have waited out a pause.
  bool MayHavePaused(const PacketView& view) {
    const bool opening = view.tcp.syn && !view.tcp.ack;
    if (!opening || !pause_guard_.stale(now_)) {
      return false;
    }
    ++stale_openings_;
    return true;
  }

  void PassToDispatch(const PacketView& view) {
    CallerDatagram datagram{view.source,
                            view.destination,
                            {view.payload.begin(), view.payload.end()}};
    TellDispatch(std::move(datagram));
  }

  void TellDispatch(DispatchMessage message) {
    if (!dispatch_) {
      auto sink = kernel_.Find<DispatchMessage>(kDispatchService);
      if (!sink.ok()) {
        return;
      }
      dispatch_ = std::move(sink).value();
    }
    if (!dispatch_->Send(std::move(message))) {
      ++dispatch_overruns_;
    }
  }

  void OnServerPacket(const Endpoint& from,
                      std::span<const std::uint8_t> datagram) {
    const auto view = PacketView::Parse(datagram);
    if (!view.has_value() || view->protocol != wire::Protocol::kTcp) {
      ++malformed_;
      return;
    }
    const routing::ReplyDecision decision =
        policy_->OnReply(from, ReplyOf(*view), now_);
    if (!decision.accept) {
      kLog.Debug("reply of {} refused: {}", ToString(from),
                 ResultCodeName(decision.code));
      return;
    }
    data_->Queue(settings_.fabric, view->packet);
    if (view->tcp.rst && reset_watch_.OnReset(from, view->destination, now_)) {
      TellDispatch(FlowsLost{from});
    }
  }

  void OnRelayedPacket(const Endpoint& /*from*/,
                       std::span<const std::uint8_t> datagram) {
    const auto verified = signer_->Verify(auth::Channel::kRelay, datagram);
    if (!verified.ok() || !window_.Accept(verified.value(), absl::Now()).ok()) {
      ++refused_relays_;
      return;
    }
    const auto bytes = verified.value().payload;
    const auto header = wire::RelayHeader::Decode(bytes);
    if (!header.has_value()) {
      ++malformed_;
      return;
    }
    const auto view =
        PacketView::Parse(bytes.subspan(wire::RelayHeader::kSize));
    if (!view.has_value() || view->protocol != wire::Protocol::kTcp) {
      ++malformed_;
      return;
    }
    if (MayHavePaused(*view)) {
      return;
    }
    Perform(*view,
            policy_->OnRelayed(FlowPacketOf(*view), FromWire(*header), now_));
  }

  void Perform(const PacketView& view, const routing::Decision& decision) {
    if (decision.new_flow) {
      kLog.Info("flow {} to {} placed on {}{}", ToString(view.source),
                decision.service_name, decision.server_name,
                decision.deviates_from_table ? " (exception)" : "");
    }
    switch (decision.action) {
      case routing::Action::kForward:
        server_->Queue(decision.server, view.packet);
        return;
      case routing::Action::kRelay:
        Relay(view, decision);
        return;
      case routing::Action::kReset:
        kLog.Info("flow {} to {} reset: {}", ToString(view.source),
                  ToString(view.destination), ResultCodeName(decision.code));
        if (!view.tcp.rst) {
          data_->Queue(settings_.fabric, wire::BuildReset(view));
        }
        return;
      case routing::Action::kDrop:
        kLog.Debug("packet {} to {} dropped: {}", ToString(view.source),
                   ToString(view.destination), ResultCodeName(decision.code));
        return;
    }
  }

  void Relay(const PacketView& view, const routing::Decision& decision) {
    const auto ip = ips_.find(
        absl::string_view(decision.member.data(), decision.member.size()));
    if (ip == ips_.end()) {
      ++unknown_members_;
      return;
    }
    const auto header = ToWire(decision.header).Encode();
    relay_bytes_.assign(header.begin(), header.end());
    relay_bytes_.insert(relay_bytes_.end(), view.packet.begin(),
                        view.packet.end());
    relay_->Queue(
        {ip->second, settings_.ports.relay},
        signer_->Sign(auth::Channel::kRelay, relay_bytes_, absl::Now()));
  }

  // Timers and messages.

  void OnTick() {
    now_ = kernel::MonotonicNow();
    pause_guard_.OnActivity(now_);
    policy_->OnTick(now_);
    SendRecords();
    Flush();
  }

  void SendRecords() {
    for (routing::OutgoingMessage& out : policy_->TakeMessages()) {
      const auto cluster = kernel_.Find<ClusterMessage>(kClusterService);
      if (cluster.ok()) {
        cluster.value()->Send(SendControl{std::move(out.to),
                                          control::MessageType::kFlowRecords,
                                          std::move(out.bytes)});
      }
    }
  }

  void OnMessage(ConfigChanged& changed) {
    policy_->ApplySnapshot(std::move(changed.snapshot), kernel::MonotonicNow());
  }

  void OnMessage(MembersChanged& changed) {
    members_ = std::move(changed.members);
    self_leaving_ = changed.self_leaving;
    ApplyMembers();
  }

  void ApplyMembers() {
    std::vector<routing::Member> members;
    ips_.clear();
    for (const membership::Member& member : members_) {
      ips_[member.name] = member.address.ip;
      const bool leaving = self_leaving_ && member.name == settings_.name;
      members.push_back(
          {member.name, member.zone,
           leaving ? routing::MemberState::kLeaving : StateOf(member),
           membership::ProcessStart(member.incarnation)});
    }
    policy_->ApplyMembers(members, kernel::MonotonicNow());
  }

  void OnMessage(Fresh& /*fresh*/) {
    policy_->NoteConfigurationCurrent(kernel::MonotonicNow());
  }

  void OnMessage(PeerBytes& received) {
    policy_->OnMessage(received.from, received.bytes, kernel::MonotonicNow());
    SendRecords();
  }

  void OnMessage(ServerHintsChanged& changed) {
    policy_->SetServerShareLimits(changed.hints, kernel::MonotonicNow());
  }

  void OnMessage(SendToFabric& send) {
    data_->Queue(settings_.fabric, send.packet);
    data_->Flush();
  }

  void OnMessage(BeginShutdown& /*shutdown*/) {
    self_leaving_ = true;
    ApplyMembers();
  }

  void OnMessage(StatusRequest& request) {
    using nlohmann::json;
    const routing::RouterStats stats = policy_->Stats();
    json servers = json::array();
    for (const routing::ServerFlows& server : stats.servers) {
      servers.push_back({{"server", server.server},
                         {"flows", server.flows},
                         {"placed", server.placed}});
    }
    const absl::Duration quiet = kernel::MonotonicNow() - last_fabric_packet_;
    request.reply->Put("routing",
                       {{"policy", settings_.policy},
                        {"revision", stats.revision},
                        {"flows", stats.flows},
                        {"records", stats.records},
                        {"services", stats.services},
                        {"buckets", stats.buckets},
                        {"unsettled_buckets", stats.unsettled_buckets},
                        {"tables", stats.tables},
                        {"table_bytes", stats.table_bytes},
                        {"flow_bytes", stats.flow_bytes},
                        {"new_flows", stats.new_flows},
                        {"exceptions", stats.exceptions},
                        {"forwarded", stats.forwarded},
                        {"relayed", stats.relayed},
                        {"relay_received", stats.relay_received},
                        {"resets", stats.resets},
                        {"silent_resets", stats.silent_resets},
                        {"drops", stats.drops},
                        {"evictions", stats.evictions},
                        {"refused_replies", stats.refused_replies},
                        {"control_bytes", stats.control_bytes},
                        {"bad_messages", stats.bad_messages},
                        {"fresh", stats.fresh},
                        {"complete", stats.complete},
                        {"handed_over", policy_->handed_over()},
                        {"quiet_ms", absl::ToInt64Milliseconds(
                                         std::min(quiet, absl::Hours(1)))},
                        {"malformed", malformed_},
                        {"stale_openings", stale_openings_},
                        {"refused_relays", refused_relays_},
                        {"dispatch_overruns", dispatch_overruns_},
                        {"dropped_datagrams", data_->datagrams_dropped() +
                                                  server_->datagrams_dropped() +
                                                  relay_->datagrams_dropped()},
                        {"servers", std::move(servers)}});
  }

  const Settings settings_;
  const std::shared_ptr<auth::Signer> signer_;
  kernel::Kernel& kernel_;
  std::shared_ptr<kernel::Mailbox<PacketMessage>> mailbox_;
  std::shared_ptr<kernel::Sink<DispatchMessage>> dispatch_;
  std::unique_ptr<kernel::UdpSocket> data_;
  std::unique_ptr<kernel::UdpSocket> server_;
  std::unique_ptr<kernel::UdpSocket> relay_;
  std::unique_ptr<routing::RoutingPolicy> policy_;
  auth::ReplayWindow window_;
  ResetWatch reset_watch_;
  kernel::PauseGuard pause_guard_;
  std::vector<membership::Member> members_;
  absl::flat_hash_map<std::string, std::uint32_t> ips_;
  std::vector<std::uint8_t> relay_bytes_;
  bool self_leaving_ = false;
  absl::Time now_ = kernel::MonotonicNow();
  absl::Time last_fabric_packet_ = absl::InfinitePast();
  std::uint64_t malformed_ = 0;
  std::uint64_t stale_openings_ = 0;
  std::uint64_t refused_relays_ = 0;
  std::uint64_t unknown_members_ = 0;
  std::uint64_t dispatch_overruns_ = 0;
};

PacketTask::PacketTask(const Settings& settings,
                       std::shared_ptr<auth::Signer> signer,
                       kernel::Kernel& kernel)
    : Task("packet"),
      impl_(std::make_unique<Impl>(settings, std::move(signer), kernel)) {}

PacketTask::~PacketTask() {
  Stop();
}

Status PacketTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
