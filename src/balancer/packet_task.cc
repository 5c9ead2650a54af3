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
#include "src/balancer/open_socket.h"
#include "src/balancer/server_restart_detector.h"

namespace gcw::balancer {
namespace {

using wire::PacketView;

constexpr Logger kLog("routing");
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr std::size_t kMailboxCapacity = 50'000;
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

// Describes a reply by the flow that it belongs to: `source` is the caller, as
// in the packets from the caller.
routing::FlowPacket ReplyFlowPacketOf(const PacketView& view) {
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
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
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
    Status made =
        OpenSocket(loop, ports.data, &Impl::OnFabricPacket, data_socket_);
    if (made.ok()) {
      made =
          OpenSocket(loop, ports.server, &Impl::OnServerPacket, server_socket_);
    }
    if (made.ok()) {
      made =
          OpenSocket(loop, ports.relay, &Impl::OnRelayedPacket, relay_socket_);
    }
    return made;
  }

  using PacketHandler = void (Impl::*)(const Endpoint&,
                                       std::span<const std::uint8_t>);

  Status OpenSocket(kernel::EventLoop& loop,
                    std::uint16_t port,
                    PacketHandler handler,
                    std::unique_ptr<kernel::UdpSocket>& target) {
    return balancer::OpenSocket(
        loop, {settings_.bind, port},
        [this, handler](kernel::UdpSocket& socket) {
          ReceiveDatagrams(socket, handler);
        },
        target);
  }

  void ReceiveDatagrams(kernel::UdpSocket& socket, PacketHandler handler) {
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
    data_socket_->Flush();
    server_socket_->Flush();
    relay_socket_->Flush();
  }

  // Packets from the sockets.

  void OnFabricPacket(const Endpoint& /*from*/,
                      std::span<const std::uint8_t> datagram) {
    last_fabric_packet_ = now_;
    const auto view = PacketView::Parse(datagram);
    if (!view.has_value()) {
      ++malformed_;
      return;
    }
    if (view->protocol == wire::Protocol::kUdp) {
      ForwardToDispatch(*view);
      return;
    }
    if (IsStaleOpening(*view)) {
      return;
    }
    ExecuteDecision(*view, policy_->OnPacket(FlowPacketOf(*view), now_));
  }

  // Whether `view` is the SYN of a flow and may have waited in the socket
  // buffer while this process was paused. Another daemon may have placed the
  // flow meanwhile, so the packet must be dropped; a caller that still waits
  // sends another SYN. Counts such packets.
  bool IsStaleOpening(const PacketView& view) {
    const bool is_opening = view.tcp.syn && !view.tcp.ack;
    if (!is_opening || !pause_guard_.stale(now_)) {
      return false;
    }
    ++stale_openings_;
    return true;
  }

  void ForwardToDispatch(const PacketView& view) {
    CallerDatagram datagram{view.source,
                            view.destination,
                            {view.payload.begin(), view.payload.end()}};
    SendToDispatch(std::move(datagram));
  }

  void SendToDispatch(DispatchMessage message) {
    if (!dispatch_sink_) {
      auto sink = kernel_.Find<DispatchMessage>(kDispatchService);
      if (!sink.ok()) {
        return;
      }
      dispatch_sink_ = std::move(sink).value();
    }
    if (!dispatch_sink_->Send(std::move(message))) {
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
        policy_->OnReply(from, ReplyFlowPacketOf(*view), now_);
    if (!decision.accept) {
      kLog.Debug("reply from {} refused: {}", ToString(from),
                 ResultCodeName(decision.code));
      return;
    }
    data_socket_->Queue(settings_.fabric, view->packet);
    if (view->tcp.rst &&
        restart_detector_.OnReset(from, view->destination, now_)) {
      SendToDispatch(FlowsLost{from});
    }
  }

  void OnRelayedPacket(const Endpoint& /*from*/,
                       std::span<const std::uint8_t> datagram) {
    const auto verified = signer_->Verify(auth::Channel::kRelay, datagram);
    if (!verified.ok() ||
        !replay_window_.Accept(verified.value(), absl::Now()).ok()) {
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
    if (IsStaleOpening(*view)) {
      return;
    }
    ExecuteDecision(*view, policy_->OnRelayed(FlowPacketOf(*view),
                                              FromWire(*header), now_));
  }

  void ExecuteDecision(const PacketView& view,
                       const routing::Decision& decision) {
    if (decision.new_flow) {
      kLog.Info(
          "new flow {} to {} placed on {}{}", ToString(view.source),
          decision.service_name, decision.server_name,
          decision.deviates_from_table ? " (not the server in the table)" : "");
    }
    switch (decision.action) {
      case routing::Action::kForward:
        server_socket_->Queue(decision.server, view.packet);
        return;
      case routing::Action::kRelay:
        Relay(view, decision);
        return;
      case routing::Action::kReset:
        kLog.Info("flow {} to {} reset: {}", ToString(view.source),
                  ToString(view.destination), ResultCodeName(decision.code));
        if (!view.tcp.rst) {
          data_socket_->Queue(settings_.fabric, wire::BuildReset(view));
        }
        return;
      case routing::Action::kDrop:
        kLog.Debug("packet {} to {} dropped: {}", ToString(view.source),
                   ToString(view.destination), ResultCodeName(decision.code));
        return;
    }
  }

  void Relay(const PacketView& view, const routing::Decision& decision) {
    const auto ip = ips_by_member_.find(
        absl::string_view(decision.member.data(), decision.member.size()));
    if (ip == ips_by_member_.end()) {
      ++unknown_members_;
      return;
    }
    const auto header = ToWire(decision.header).Encode();
    relay_buffer_.assign(header.begin(), header.end());
    relay_buffer_.insert(relay_buffer_.end(), view.packet.begin(),
                         view.packet.end());
    relay_socket_->Queue(
        {ip->second, settings_.ports.relay},
        signer_->Sign(auth::Channel::kRelay, relay_buffer_, absl::Now()));
  }

  // Timers, and messages from other tasks.

  void OnTick() {
    now_ = kernel::MonotonicNow();
    pause_guard_.OnActivity(now_);
    policy_->OnTick(now_);
    SendFlowRecords();
    Flush();
  }

  void SendFlowRecords() {
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
    ips_by_member_.clear();
    for (const membership::Member& member : members_) {
      ips_by_member_[member.name] = member.address.ip;
      const bool leaving = self_leaving_ && member.name == settings_.name;
      members.push_back(
          {member.name, member.zone,
           leaving ? routing::MemberState::kLeaving : StateOf(member),
           membership::ProcessStart(member.incarnation)});
    }
    policy_->ApplyMembers(members, kernel::MonotonicNow());
  }

  void OnMessage(ConfigCurrent& /*current*/) {
    policy_->NoteConfigurationCurrent(kernel::MonotonicNow());
  }

  void OnMessage(ControlPayload& received) {
    policy_->OnMessage(received.from, received.bytes, kernel::MonotonicNow());
    SendFlowRecords();
  }

  void OnMessage(ServerShareLimitsChanged& changed) {
    policy_->SetServerShareLimits(changed.limits, kernel::MonotonicNow());
  }

  void OnMessage(SendToFabric& send) {
    data_socket_->Queue(settings_.fabric, send.packet);
    data_socket_->Flush();
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
    const absl::Duration since_last_packet =
        kernel::MonotonicNow() - last_fabric_packet_;
    request.collector->Put(
        "routing",
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
                          std::min(since_last_packet, absl::Hours(1)))},
         {"malformed", malformed_},
         {"stale_openings", stale_openings_},
         {"refused_relays", refused_relays_},
         {"dispatch_overruns", dispatch_overruns_},
         {"dropped_datagrams", data_socket_->datagrams_dropped() +
                                   server_socket_->datagrams_dropped() +
                                   relay_socket_->datagrams_dropped()},
         {"servers", std::move(servers)}});
  }

  const Settings settings_;
  const std::shared_ptr<auth::Signer> signer_;
  kernel::Kernel& kernel_;
  std::shared_ptr<kernel::Mailbox<PacketMessage>> mailbox_;
  std::shared_ptr<kernel::Sink<DispatchMessage>> dispatch_sink_;
  std::unique_ptr<kernel::UdpSocket> data_socket_;
  std::unique_ptr<kernel::UdpSocket> server_socket_;
  std::unique_ptr<kernel::UdpSocket> relay_socket_;
  std::unique_ptr<routing::RoutingPolicy> policy_;
  auth::ReplayWindow replay_window_;
  ServerRestartDetector restart_detector_;
  kernel::PauseGuard pause_guard_;
  std::vector<membership::Member> members_;
  absl::flat_hash_map<std::string, std::uint32_t> ips_by_member_;
  std::vector<std::uint8_t> relay_buffer_;
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
