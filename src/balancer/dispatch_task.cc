#include "src/balancer/dispatch_task.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "gcw/auth/replay_window.h"
#include "gcw/base/hash.h"
#include "gcw/base/log.h"
#include "gcw/dispatch/codec.h"
#include "gcw/dispatch/dispatcher.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/service.h"
#include "gcw/kernel/udp_socket.h"
#include "gcw/wire/packet.h"
#include "src/balancer/open_socket.h"
#include "src/balancer/send_to_service.h"

namespace gcw::balancer {
namespace {

constexpr Logger kLog("dispatch");
constexpr absl::Duration kTickInterval = absl::Milliseconds(1);
// How often the packet task learns about servers with reduced capacity.
constexpr absl::Duration kShareLimitInterval = absl::Milliseconds(200);
constexpr std::size_t kMailboxCapacity = 50'000;

dispatch::MemberState StateOf(const membership::Member& member) {
  if (member.leaving()) {
    return dispatch::MemberState::kLeaving;
  }
  return member.state == membership::MemberState::kSuspect
             ? dispatch::MemberState::kSuspect
             : dispatch::MemberState::kLive;
}

nlohmann::json LatencyJson(const dispatch::LatencySummary& latency) {
  return {{"count", latency.count},
          {"p50_ms", absl::ToDoubleMilliseconds(latency.p50)},
          {"p99_ms", absl::ToDoubleMilliseconds(latency.p99)},
          {"p999_ms", absl::ToDoubleMilliseconds(latency.p999)}};
}

nlohmann::json CountersJson(const dispatch::DispatchCounters& counters) {
  return {{"received", counters.received},
          {"repeats", counters.repeats},
          {"answered", counters.answered},
          {"refused_not_run", counters.refused_not_run},
          {"unknown", counters.unknown},
          {"cut", counters.cut},
          {"attempts", counters.attempts},
          {"retries", counters.retries},
          {"sheds", counters.sheds},
          {"dropped_answers", counters.dropped_answers},
          {"cancelled", counters.cancelled},
          {"handed", counters.handed},
          {"control_bytes", counters.control_bytes}};
}

nlohmann::json StatusJson(const dispatch::DispatchStatus& status) {
  nlohmann::json services = nlohmann::json::array();
  for (const dispatch::ServiceStatus& service : status.services) {
    services.push_back(
        {{"service", service.service},
         {"queued", service.queued},
         {"time_in_queue", LatencyJson(service.time_in_queue)},
         {"time_to_answer", LatencyJson(service.time_to_answer)}});
  }
  nlohmann::json servers = nlohmann::json::array();
  for (const dispatch::ServerStatus& server : status.servers) {
    servers.push_back({{"server", server.server},
                       {"home", server.home},
                       {"in_flight", server.in_flight},
                       {"allowed", server.allowed},
                       {"slots", server.slots},
                       {"cold", server.cold},
                       {"ejected", server.ejected},
                       {"incarnation", server.incarnation}});
  }
  return {{"counters", CountersJson(status.counters)},
          {"services", std::move(services)},
          {"servers", std::move(servers)},
          {"certain", status.certain}};
}

}  // namespace

class DispatchTask::Impl {
 public:
  Impl(const Settings& settings,
       std::shared_ptr<auth::Signer> signer,
       std::uint64_t seed,
       kernel::Kernel& kernel)
      : settings_(settings),
        signer_(std::move(signer)),
        seed_(seed),
        kernel_(kernel) {}

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step :
         {&Impl::MakeDispatcher, &Impl::MakeMailbox, &Impl::MakeSockets}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
    loop.AddTimer(kShareLimitInterval, [this] { SendShareLimits(); });
    return OkStatus();
  }

 private:
  Status MakeDispatcher(kernel::EventLoop& /*loop*/) {
    dispatch::DispatchOptions options;
    options.policy = settings_.dispatch_policy;
    options.self = settings_.name;
    options.zone = settings_.zone;
    options.seed = seed_;
    options.boot_id =
        MixHash(seed_,
                static_cast<std::uint64_t>(absl::GetCurrentTimeNanos())) |
        1;
    auto dispatcher = dispatch::Dispatcher::Make(options);
    if (!dispatcher.ok()) {
      return dispatcher.error();
    }
    dispatcher_ = std::move(dispatcher).value();
    return OkStatus();
  }

  Status MakeMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::OpenService<DispatchMessage>(
        kernel_, loop, kDispatchService, kMailboxCapacity,
        [this](DispatchMessage& message) {
          std::visit([this](auto& m) { OnMessage(m); }, message);
          ExecuteActions();
        });
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return OkStatus();
  }

  Status MakeSockets(kernel::EventLoop& loop) {
    Status made = OpenSocket(loop, settings_.ports.dispatch,
                             &Impl::OnServerDatagram, server_socket_);
    if (made.ok()) {
      made = OpenSocket(loop, settings_.ports.peer, &Impl::OnPeerDatagram,
                        peer_socket_);
    }
    return made;
  }

  using DatagramHandler = void (Impl::*)(const Endpoint&,
                                         std::span<const std::uint8_t>);

  Status OpenSocket(kernel::EventLoop& loop,
                    std::uint16_t port,
                    DatagramHandler handler,
                    std::unique_ptr<kernel::UdpSocket>& target) {
    return balancer::OpenSocket(
        loop, {settings_.bind, port},
        [this, handler](kernel::UdpSocket& socket) {
          ReceiveDatagrams(socket, handler);
        },
        target);
  }

  void ReceiveDatagrams(kernel::UdpSocket& socket, DatagramHandler handler) {
    const auto receive = [this, handler](
                             const Endpoint& from,
                             std::span<const std::uint8_t> datagram) {
      (this->*handler)(from, datagram);
    };
    socket.ReceiveBatches(receive);
    ExecuteActions();
  }

  void OnServerDatagram(const Endpoint& from,
                        std::span<const std::uint8_t> datagram) {
    const auto message = dispatch::Decode(datagram);
    if (!message.ok()) {
      ++malformed_;
      return;
    }
    dispatcher_->OnServerMessage(from, message.value(), kernel::MonotonicNow());
  }

  void OnPeerDatagram(const Endpoint& /*from*/,
                      std::span<const std::uint8_t> datagram) {
    const auto verified = signer_->Verify(auth::Channel::kPeer, datagram);
    if (!verified.ok() ||
        !replay_window_.Accept(verified.value(), absl::Now()).ok()) {
      ++refused_peers_;
      return;
    }
    const auto name = names_by_sender_.find(verified.value().sender);
    if (name == names_by_sender_.end()) {
      ++refused_peers_;
      return;
    }
    DeliverPeerMessage(name->second, verified.value().payload);
  }

  void DeliverPeerMessage(const std::string& member,
                          std::span<const std::uint8_t> bytes) {
    const auto message = dispatch::DecodePeer(bytes);
    if (!message.ok()) {
      ++malformed_;
      return;
    }
    dispatcher_->OnPeerMessage(member, message.value(), kernel::MonotonicNow());
  }

  // Actions of the dispatcher.

  void ExecuteActions() {
    for (const dispatch::Action& action : dispatcher_->TakeActions()) {
      std::visit([this](const auto& a) { Execute(a); }, action);
    }
    server_socket_->Flush();
    peer_socket_->Flush();
  }

  void Execute(const dispatch::SendToServer& send) {
    server_socket_->Queue(send.server, dispatch::Encode(send.message));
  }

  void Execute(const dispatch::SendToCaller& send) {
    const auto payload = dispatch::Encode(send.message);
    if (payload.size() > wire::kMaxPayload) {
      ++oversized_;
      return;
    }
    SendToService<PacketMessage>(
        kernel_, kLog, kPacketService,
        SendToFabric{
            wire::BuildUdpPacket(send.service_address, send.caller, payload)});
  }

  void Execute(const dispatch::SendToPeer& send) {
    auto bytes = dispatch::EncodePeer(send.message);
    if (send.channel == dispatch::Channel::kControl) {
      SendToService<ClusterMessage>(
          kernel_, kLog, kClusterService,
          SendControl{send.member, control::MessageType::kDispatch,
                      std::move(bytes)});
      return;
    }
    const auto ip = ips_by_member_.find(send.member);
    if (ip == ips_by_member_.end()) {
      return;
    }
    peer_socket_->Queue(
        {ip->second, settings_.ports.peer},
        signer_->Sign(auth::Channel::kPeer, bytes, absl::Now()));
  }

  void Execute(const dispatch::Decision& decision) {
    kLog.Info("{}: service \"{}\", request \"{}\", target \"{}\": {}{}{}",
              dispatch::ToString(decision.kind), decision.service, decision.id,
              decision.target, ResultCodeName(decision.code),
              decision.reason.empty() ? "" : ": ", decision.reason);
  }

  // Timers, and messages from other tasks.

  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    if (dispatcher_->NextTick() <= now) {
      dispatcher_->OnTick(now);
      ExecuteActions();
    }
  }

  // Sends the packet task the servers that should get fewer new flows. An empty
  // list is sent once, to lift the earlier limits.
  void SendShareLimits() {
    ServerShareLimitsChanged changed;
    for (const dispatch::ServerCapacity& server :
         dispatcher_->reduced_capacities()) {
      changed.limits.push_back(
          {server.server, server.ejected ? 0.0 : server.share});
    }
    if (changed.limits.empty() && !limits_sent_) {
      return;
    }
    limits_sent_ = !changed.limits.empty();
    SendToService<PacketMessage>(kernel_, kLog, kPacketService,
                                 std::move(changed));
  }

  void OnMessage(ConfigChanged& changed) {
    dispatcher_->ApplySnapshot(std::move(changed.snapshot),
                               kernel::MonotonicNow());
  }

  void OnMessage(MembersChanged& changed) {
    std::vector<dispatch::Member> members;
    ips_by_member_.clear();
    for (const membership::Member& member : changed.members) {
      ips_by_member_[member.name] = member.address.ip;
      names_by_sender_[auth::SenderIdOf(member.name)] = member.name;
      const bool leaving =
          changed.self_leaving && member.name == settings_.name;
      members.push_back(
          {member.name, member.zone,
           leaving ? dispatch::MemberState::kLeaving : StateOf(member),
           membership::ProcessStart(member.incarnation)});
    }
    dispatcher_->ApplyMembers(members, kernel::MonotonicNow());
  }

  void OnMessage(FlowsLost& lost) {
    kLog.Info("backend server at {} no longer knows its flows",
              ToString(lost.server));
    dispatcher_->OnFlowsLost(lost.server, kernel::MonotonicNow());
  }

  void OnMessage(ControlPayload& received) {
    DeliverPeerMessage(received.from, received.bytes);
  }

  void OnMessage(CallerDatagram& datagram) {
    auto message = dispatch::Decode(datagram.payload);
    if (!message.ok()) {
      ++malformed_;
      kLog.Info("malformed request from {}: {}", ToString(datagram.caller),
                ToString(message.error()));
      return;
    }
    const absl::Time now = kernel::MonotonicNow();
    if (auto* request = std::get_if<dispatch::Request>(&message.value())) {
      dispatcher_->OnRequest(datagram.caller, datagram.service_address,
                             std::move(*request), now);
      return;
    }
    if (const auto* cancel = std::get_if<dispatch::Cancel>(&message.value())) {
      dispatcher_->OnCancel(datagram.caller, datagram.service_address, *cancel,
                            now);
      return;
    }
    ++malformed_;
  }

  void OnMessage(BeginShutdown& /*shutdown*/) {
    dispatcher_->BeginShutdown(kernel::MonotonicNow());
  }

  void OnMessage(StatusRequest& request) {
    nlohmann::json status = StatusJson(dispatcher_->status());
    status["policy"] = settings_.dispatch_policy;
    status["drained"] = dispatcher_->drained();
    status["malformed"] = malformed_;
    status["oversized"] = oversized_;
    status["refused_peers"] = refused_peers_;
    request.collector->Put("dispatch", std::move(status));
  }

  const Settings settings_;
  const std::shared_ptr<auth::Signer> signer_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  std::shared_ptr<kernel::Mailbox<DispatchMessage>> mailbox_;
  std::unique_ptr<kernel::UdpSocket> server_socket_;
  std::unique_ptr<kernel::UdpSocket> peer_socket_;
  std::unique_ptr<dispatch::Dispatcher> dispatcher_;
  auth::ReplayWindow replay_window_;
  absl::flat_hash_map<std::string, std::uint32_t> ips_by_member_;
  absl::flat_hash_map<auth::SenderId, std::string> names_by_sender_;
  bool limits_sent_ = false;
  std::uint64_t malformed_ = 0;
  std::uint64_t oversized_ = 0;
  std::uint64_t refused_peers_ = 0;
};

DispatchTask::DispatchTask(const Settings& settings,
                           std::shared_ptr<auth::Signer> signer,
                           std::uint64_t seed,
                           kernel::Kernel& kernel)
    : Task("dispatch"),
      impl_(std::make_unique<Impl>(settings, std::move(signer), seed, kernel)) {
}

DispatchTask::~DispatchTask() {
  Stop();
}

Status DispatchTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
