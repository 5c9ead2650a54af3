#include "src/balancer/cluster_task.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/clock.h"
#include "gcw/auth/replay_window.h"
#include "gcw/base/log.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/dispatch/options.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/udp_socket.h"
#include "src/balancer/leave_gate.h"
#include "src/balancer/tell.h"

namespace gcw::balancer {
namespace {

constexpr Logger kLog("cluster");
constexpr absl::Duration kTick = absl::Milliseconds(50);
// A change accepted between two silent spells of the platform should be in
// force within 3 s, so no watch may hang for long.
constexpr absl::Duration kWatchWait = absl::Seconds(1);
constexpr absl::Duration kLongestBackoff = absl::Seconds(2);
constexpr std::size_t kMailboxCapacity = 20'000;
constexpr std::size_t kMaxBatches = 8;
// A daemon is certain of repeats after their lifetime; the rest is the time
// until it has heard of the configuration and of its peers.
constexpr absl::Duration kSettleMargin = absl::Milliseconds(1500);

membership::Options MembershipOptions(const Settings& settings) {
  membership::Options options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.advertise = {settings.advertise, settings.ports.membership};
  return options;
}

std::vector<membership::Seed> SeedsOf(const Settings& settings) {
  std::vector<membership::Seed> seeds;
  for (const PeerSeed& peer : settings.peers) {
    seeds.push_back(
        {peer.name, peer.zone, {peer.address, settings.ports.membership}});
  }
  return seeds;
}

config::ObjectRecord RecordOf(const relay::Object& object) {
  return {object.key, object.version, object.created, object.json};
}

}  // namespace

class ClusterTask::Impl {
 public:
  Impl(const Settings& settings,
       std::shared_ptr<auth::Signer> signer,
       std::uint64_t seed,
       kernel::Kernel& kernel)
      : settings_(settings),
        signer_(std::move(signer)),
        seed_(seed),
        kernel_(kernel),
        leave_gate_(dispatch::DispatchOptions{}.repeat_lifetime + kSettleMargin,
                    settings.shutdown_limit / 2) {}

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step :
         {&Impl::MakeParts, &Impl::MakeMailbox, &Impl::MakeSockets}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTick, [this] { OnTick(); });
    return OkStatus();
  }

 private:
  Status MakeParts(kernel::EventLoop& /*loop*/) {
    auto membership = membership::Membership::Make(MembershipOptions(settings_),
                                                   absl::Now(), seed_);
    if (!membership.ok()) {
      return membership.error();
    }
    membership_ = std::move(membership).value();
    membership_->SetSettingsSeeds(SeedsOf(settings_));

    relay::Options options;
    options.name = settings_.name;
    options.zone = settings_.zone;
    options.watch_wait = kWatchWait;
    options.backoff_max = kLongestBackoff;
    auto made =
        relay::VersionedRelay::Make(options, kernel::MonotonicNow(), seed_ + 1);
    if (!made.ok()) {
      return made.error();
    }
    relay_ = std::move(made).value();
    return OkStatus();
  }

  Status MakeMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<ClusterMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    Status attached = mailbox_->Attach(loop, [this](ClusterMessage& message) {
      std::visit([this](auto& m) { OnMessage(m); }, message);
    });
    if (!attached.ok()) {
      return attached;
    }
    return kernel_.Register<ClusterMessage>(kClusterService, mailbox_);
  }

  Status MakeSockets(kernel::EventLoop& loop) {
    auto socket =
        kernel::UdpSocket::Make({settings_.bind, settings_.ports.membership});
    if (!socket.ok()) {
      return socket.error();
    }
    socket_ = std::move(socket).value();
    Status watched =
        loop.WatchReadable(socket_->fd(), [this] { OnReadable(); });
    if (!watched.ok()) {
      return watched;
    }
    control::Options options;
    options.listen = {settings_.bind, settings_.ports.control};
    auto transport = control::ControlTransport::Make(
        options, signer_, [this](control::ReceivedMessage message) {
          mailbox_->Send(ControlReceived{std::move(message)});
        });
    if (!transport.ok()) {
      return transport.error();
    }
    transport_ = std::move(transport).value();
    return OkStatus();
  }

  // Membership.

  void OnReadable() {
    const auto receive = [this](const Endpoint& from,
                                std::span<const std::uint8_t> datagram) {
      OnDatagram(from, datagram);
    };
    for (std::size_t i = 0; i < kMaxBatches; ++i) {
      if (socket_->Receive(receive) < kernel::UdpSocket::kBatch) {
        break;
      }
    }
    socket_->Flush();
  }

  void OnDatagram(const Endpoint& from, std::span<const std::uint8_t> bytes) {
    const auto verified = signer_->Verify(auth::Channel::kMembership, bytes);
    if (!verified.ok()) {
      CountRefused(from, verified.error());
      return;
    }
    const Status fresh = window_.Accept(verified.value(), absl::Now());
    if (!fresh.ok()) {
      CountRefused(from, fresh.error());
      return;
    }
    const auto message = membership::Decode(verified.value().payload);
    if (!message.ok()) {
      CountRefused(from, message.error());
      return;
    }
    const std::string& name = message.value().sender.name;
    if (auth::SenderIdOf(name) != verified.value().sender) {
      CountRefused(from, {ResultCode::kBadSignature, "",
                          "the sender names another member"});
      return;
    }
    Perform(
        membership_->OnMessage(from, message.value(), kernel::MonotonicNow()));
  }

  void CountRefused(const Endpoint& from, const Error& error) {
    ++refused_;
    // One line for each power of two, so that a flood does not fill the log.
    if ((refused_ & (refused_ - 1)) == 0) {
      kLog.Warning("refused a message from {}: {} ({} so far)", ToString(from),
                   ToString(error), refused_);
    }
  }

  void Perform(const membership::Actions& actions) {
    for (const membership::OutgoingMessage& out : actions.messages) {
      const auto bytes =
          signer_->Sign(auth::Channel::kMembership,
                        membership::Encode(out.message), absl::Now());
      socket_->Queue(out.to, bytes);
    }
    for (const membership::MemberEvent& event : actions.events) {
      kLog.Info("member {} in {} {}", event.member.name, event.member.zone,
                membership::ToString(event.type));
      if (event.type == membership::EventType::kDied ||
          event.type == membership::EventType::kLeft) {
        transport_->Forget(ControlAddress(event.member));
      }
    }
    if (!actions.events.empty()) {
      ShareMembers();
    }
  }

  Endpoint ControlAddress(const membership::Member& member) const {
    return {member.address.ip, settings_.ports.control};
  }

  void ShareMembers() {
    MembersChanged changed;
    std::vector<relay::Peer> peers;
    names_.clear();
    std::vector<membership::Member> others = membership_->members();
    leave_gate_.OnMembers(others, kernel::MonotonicNow());
    for (membership::Member& member : others) {
      names_[auth::SenderIdOf(member.name)] = member.name;
      if (!member.live()) {
        continue;
      }
      peers.push_back({member.name, member.zone});
      changed.members.push_back(std::move(member));
    }
    changed.members.push_back(membership_->self());
    changed.self_leaving = leaving_;
    relay_->SetPeers(peers, kernel::MonotonicNow());
    Tell<PacketMessage>(kernel_, kLog, kPacketService, changed);
    Tell<DispatchMessage>(kernel_, kLog, kDispatchService, changed);
    Tell<StatusWriterMessage>(kernel_, kLog, kStatusWriterService,
                              std::move(changed));
  }

  // Configuration.

  void Perform(const relay::Actions& actions) {
    for (const relay::OutgoingMessage& out : actions.messages) {
      SendTo(out.peer, control::MessageType::kRelay, relay::Encode(out.message),
             control::Delivery::kQueued);
    }
    if (actions.call.has_value()) {
      Tell<PlatformMessage>(kernel_, kLog, kPlatformService, *actions.call);
    }
    if (actions.changed) {
      ShareConfig();
    }
  }

  void ShareConfig() {
    const std::vector<relay::Object> objects = relay_->objects();
    std::vector<config::ObjectRecord> records;
    records.reserve(objects.size());
    std::transform(objects.begin(), objects.end(), std::back_inserter(records),
                   RecordOf);
    const config::BuiltSnapshot built =
        builder_.Build(records, relay_->revision());
    if (built.problems != problems_) {
      problems_ = built.problems;
      for (const config::ObjectProblem& problem : problems_) {
        kLog.Warning("object {} is not in force: {}", problem.key,
                     ToString(problem.error));
      }
    }
    kLog.Info("revision {} in force", relay_->revision());
    membership_->SetRevision(relay_->revision());
    Tell<PacketMessage>(kernel_, kLog, kPacketService,
                        ConfigChanged{built.snapshot});
    Tell<DispatchMessage>(kernel_, kLog, kDispatchService,
                          ConfigChanged{built.snapshot});
  }

  void SendTo(const std::string& name,
              control::MessageType type,
              std::span<const std::uint8_t> bytes,
              control::Delivery delivery) {
    const auto member = membership_->Find(name);
    if (!member.has_value()) {
      return;
    }
    const Status sent =
        transport_->Send(ControlAddress(*member), type, bytes, delivery);
    if (!sent.ok()) {
      kLog.Warning("cannot send to {}: {}", name, ToString(sent.error()));
    }
  }

  // Timers and messages.

  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    if (!shared_) {
      shared_ = true;
      ShareMembers();
    }
    Perform(membership_->OnTick(now));
    Perform(relay_->OnTick(now));
    if (!leaving_ && leave_gate_.MayLeave(now)) {
      BeginLeave();
    }
    socket_->Flush();
  }

  void OnMessage(ControlReceived& received) {
    const control::ReceivedMessage& message = received.message;
    const auto name = names_.find(message.sender);
    if (name == names_.end()) {
      return;
    }
    switch (message.type) {
      case control::MessageType::kRelay:
        OnRelayMessage(name->second, message.payload);
        return;
      case control::MessageType::kFlowRecords:
        Tell<PacketMessage>(kernel_, kLog, kPacketService,
                            PeerBytes{name->second, message.payload});
        return;
      case control::MessageType::kHints:
      case control::MessageType::kDispatch:
        Tell<DispatchMessage>(kernel_, kLog, kDispatchService,
                              PeerBytes{name->second, message.payload});
        return;
      case control::MessageType::kStatus:
        Tell<StatusWriterMessage>(kernel_, kLog, kStatusWriterService,
                                  PeerBytes{name->second, message.payload});
        return;
    }
  }

  void OnRelayMessage(const std::string& peer,
                      std::span<const std::uint8_t> bytes) {
    const auto message = relay::Decode(bytes);
    if (!message.ok()) {
      kLog.Warning("bad relay message from {}: {}", peer,
                   ToString(message.error()));
      return;
    }
    Perform(relay_->OnMessage(peer, message.value(), kernel::MonotonicNow()));
  }

  void OnMessage(SendControl& send) {
    SendTo(send.to, send.type, send.bytes, control::Delivery::kDroppable);
  }

  void OnMessage(PlatformListed& listed) {
    Perform(relay_->OnList(listed.id, listed.revision, listed.objects,
                           kernel::MonotonicNow()));
    NoteFreshness(listed.revision);
  }

  void OnMessage(PlatformWatched& watched) {
    Perform(relay_->OnWatch(watched.id, watched.revision, watched.events,
                            kernel::MonotonicNow()));
    NoteFreshness(watched.revision);
  }

  // An answer of the platform that is not older than what is held proves that
  // nothing newer was missed when the platform gave it.
  void NoteFreshness(relay::Version revision) {
    if (revision >= relay_->revision()) {
      Tell<PacketMessage>(kernel_, kLog, kPacketService, Fresh{});
    }
  }

  void OnMessage(PlatformFailed& failed) {
    Perform(
        relay_->OnCallFailed(failed.id, failed.code, kernel::MonotonicNow()));
  }

  void OnMessage(PlatformVms& vms) { membership_->SetPlatformSeeds(vms.seeds); }

  void OnMessage(BeginShutdown& /*shutdown*/) {
    kLog.Info("told to leave");
    leave_gate_.Request(kernel::MonotonicNow());
    OnTick();
  }

  // The other daemons hear of it first, so that they send nothing new while
  // this one still takes what is on its way.
  void BeginLeave() {
    leaving_ = true;
    kLog.Info("leaving");
    membership_->BeginLeave();
    Perform(membership_->OnTick(kernel::MonotonicNow()));
    ShareMembers();
    Tell<DispatchMessage>(kernel_, kLog, kDispatchService, BeginShutdown{});
    Tell<PacketMessage>(kernel_, kLog, kPacketService, BeginShutdown{});
  }

  void OnMessage(FinishShutdown& /*shutdown*/) {
    Perform(membership_->Leave(kernel::MonotonicNow()));
    socket_->Flush();
  }

  void OnMessage(StatusRequest& request) {
    using nlohmann::json;
    json members = json::array();
    for (const membership::Member& member : membership_->members()) {
      members.push_back({{"name", member.name},
                         {"zone", member.zone},
                         {"state", membership::ToString(member.state)},
                         {"revision", member.revision}});
    }
    const control::Stats control = transport_->stats();
    const relay::Stats relay = relay_->stats();
    json problems = json::array();
    for (const config::ObjectProblem& problem : problems_) {
      problems.push_back(
          {{"key", problem.key}, {"error", ToString(problem.error)}});
    }
    request.reply->Put(
        "cluster",
        {{"revision", relay_->revision()},
         {"watcher", relay.watcher},
         {"members", std::move(members)},
         {"problems", std::move(problems)},
         {"platform_calls", relay.platform_calls},
         {"platform_errors", relay.platform_errors},
         {"stale_answers", relay.stale_answers},
         {"refused_messages", refused_ + control.refused},
         {"control_bytes_sent", control.bytes_sent + socket_->bytes_sent()}});
  }

  const Settings settings_;
  const std::shared_ptr<auth::Signer> signer_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  std::shared_ptr<kernel::Mailbox<ClusterMessage>> mailbox_;
  std::unique_ptr<kernel::UdpSocket> socket_;
  std::unique_ptr<membership::Membership> membership_;
  std::unique_ptr<relay::VersionedRelay> relay_;
  auth::ReplayWindow window_;
  config::SnapshotBuilder builder_;
  std::vector<config::ObjectProblem> problems_;
  absl::flat_hash_map<auth::SenderId, std::string> names_;
  std::uint64_t refused_ = 0;
  LeaveGate leave_gate_;
  bool leaving_ = false;
  bool shared_ = false;
  // Last, so that its thread ends before what its handler uses.
  std::unique_ptr<control::ControlTransport> transport_;
};

ClusterTask::ClusterTask(const Settings& settings,
                         std::shared_ptr<auth::Signer> signer,
                         std::uint64_t seed,
                         kernel::Kernel& kernel)
    : Task("cluster"),
      impl_(std::make_unique<Impl>(settings, std::move(signer), seed, kernel)) {
}

ClusterTask::~ClusterTask() {
  Stop();
}

Status ClusterTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
