#include "src/balancer/cluster_task.h"

#include <algorithm>
#include <utility>

#include "gcw/base/log.h"
#include "gcw/cluster/member_link.h"
#include "gcw/config/snapshot_builder.h"
#include "gcw/dispatch/options.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/service.h"
#include "src/balancer/leave_gate.h"
#include "src/balancer/send_to_service.h"

namespace gcw::balancer {
namespace {

constexpr Logger kLog("cluster");
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
// How long the platform may hold a watch call while nothing changes. Kept
// short, because a change that the platform accepts between two periods in
// which it does not answer should be in force within 3 s.
constexpr absl::Duration kWatchWait = absl::Seconds(1);
// Longest pause between platform calls after failures.
constexpr absl::Duration kMaxBackoff = absl::Seconds(2);
constexpr std::size_t kMailboxCapacity = 20'000;
// A started daemon can reliably tell a new request from a repeated one after
// the repeat lifetime plus this margin, in which it receives the configuration
// and finds its peers.
constexpr absl::Duration kConvergenceMargin = absl::Milliseconds(1500);

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
        leave_gate_(
            dispatch::DispatchOptions{}.repeat_lifetime + kConvergenceMargin,
            settings.shutdown_limit / 2) {}

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step :
         {&Impl::MakeLink, &Impl::MakeRelay, &Impl::MakeMailbox}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
    return OkStatus();
  }

 private:
  Status MakeLink(kernel::EventLoop& loop) {
    cluster::MemberLinkOptions options;
    options.membership = MembershipOptions(settings_);
    options.bind_ip = settings_.bind;
    options.control_port = settings_.ports.control;
    options.seeds = SeedsOf(settings_);
    cluster::MemberLink::Handlers handlers;
    handlers.on_members_changed =
        [this](std::span<const membership::MemberEvent> events) {
          OnMembers(events);
        };
    handlers.on_message = [this](const std::string& from,
                                 const control::ReceivedMessage& message) {
      OnControlMessage(from, message);
    };
    handlers.on_message_refused = LogRefused;
    handlers.on_connection_lost = [](const Endpoint& peer,
                                     absl::Duration idle) {
      kLog.Info("lost the control connection to {}, {} after the last byte",
                ToString(peer), absl::FormatDuration(idle));
    };
    auto link = cluster::MemberLink::Make(options, signer_, seed_, loop,
                                          std::move(handlers));
    if (!link.ok()) {
      return link.error();
    }
    link_ = std::move(link).value();
    return OkStatus();
  }

  Status MakeRelay(kernel::EventLoop& /*loop*/) {
    relay::Options options;
    options.name = settings_.name;
    options.zone = settings_.zone;
    options.watch_wait = kWatchWait;
    options.backoff_max = kMaxBackoff;
    auto made =
        relay::VersionedRelay::Make(options, kernel::MonotonicNow(), seed_ + 1);
    if (!made.ok()) {
      return made.error();
    }
    relay_ = std::move(made).value();
    return OkStatus();
  }

  Status MakeMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::OpenService<ClusterMessage>(
        kernel_, loop, kClusterService, kMailboxCapacity,
        [this](ClusterMessage& message) {
          std::visit([this](auto& m) { OnMessage(m); }, message);
        });
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return OkStatus();
  }

  // Membership events.

  static void LogRefused(const Endpoint& from,
                         const Error& error,
                         std::uint64_t refused) {
    // Logs only when the count is a power of two, so that a flood of refused
    // messages does not fill the log.
    if ((refused & (refused - 1)) == 0) {
      kLog.Warning("refused a message from {}: {} ({} so far)", ToString(from),
                   ToString(error), refused);
    }
  }

  void OnMembers(std::span<const membership::MemberEvent> events) {
    for (const membership::MemberEvent& event : events) {
      kLog.Info("member {} in zone {} {}", event.member.name, event.member.zone,
                membership::ToString(event.type));
    }
    PublishMembers();
  }

  // Passes the list of members to the leave gate, the relay and the other
  // tasks.
  void PublishMembers() {
    MembersChanged changed;
    std::vector<relay::Peer> peers;
    std::vector<membership::Member> others = link_->members();
    leave_gate_.OnMembers(others, kernel::MonotonicNow());
    for (membership::Member& member : others) {
      if (!member.live()) {
        continue;
      }
      peers.push_back({member.name, member.zone});
      changed.members.push_back(std::move(member));
    }
    changed.members.push_back(link_->self());
    changed.self_leaving = leaving_;
    relay_->SetPeers(peers, kernel::MonotonicNow());
    SendToService<PacketMessage>(kernel_, kLog, kPacketService, changed);
    SendToService<DispatchMessage>(kernel_, kLog, kDispatchService, changed);
    SendToService<StatusWriterMessage>(kernel_, kLog, kStatusWriterService,
                                       std::move(changed));
  }

  // Actions of the versioned relay, which distributes the configuration.

  void ExecuteActions(const relay::Actions& actions) {
    for (const relay::OutgoingMessage& out : actions.messages) {
      SendTo(out.peer, control::MessageType::kRelay, relay::Encode(out.message),
             control::OverflowPolicy::kReject);
    }
    if (actions.call.has_value()) {
      SendToService<PlatformMessage>(kernel_, kLog, kPlatformService,
                                     *actions.call);
    }
    if (actions.changed) {
      PublishConfig();
    }
  }

  // Builds a snapshot of the configuration and sends it to the other tasks.
  void PublishConfig() {
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
        kLog.Warning("object {} is invalid and not in force: {}", problem.key,
                     ToString(problem.error));
      }
    }
    kLog.Info("configuration revision {} is in force", relay_->revision());
    link_->SetRevision(relay_->revision());
    SendToService<PacketMessage>(kernel_, kLog, kPacketService,
                                 ConfigChanged{built.snapshot});
    SendToService<DispatchMessage>(kernel_, kLog, kDispatchService,
                                   ConfigChanged{built.snapshot});
  }

  void SendTo(const std::string& name,
              control::MessageType type,
              std::span<const std::uint8_t> bytes,
              control::OverflowPolicy delivery) {
    const Status sent = link_->Send(name, type, bytes, delivery);
    if (!sent.ok() && sent.error().code == ResultCode::kUnknownMember) {
      return;  // The membership has removed the member meanwhile.
    }
    if (!sent.ok()) {
      kLog.Warning("cannot send a control message to {}: {}", name,
                   ToString(sent.error()));
    }
  }

  // Timers, and messages from other daemons and tasks.

  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    if (!members_published_) {
      members_published_ = true;
      PublishMembers();
    }
    link_->OnTick(now);
    ExecuteActions(relay_->OnTick(now));
    if (!leaving_ && leave_gate_.MayLeave(now)) {
      BeginLeave();
    }
  }

  void OnControlMessage(const std::string& from,
                        const control::ReceivedMessage& message) {
    switch (message.type) {
      case control::MessageType::kRelay:
        OnRelayMessage(from, message.payload);
        return;
      case control::MessageType::kFlowRecords:
        SendToService<PacketMessage>(kernel_, kLog, kPacketService,
                                     ControlPayload{from, message.payload});
        return;
      case control::MessageType::kDispatch:
        SendToService<DispatchMessage>(kernel_, kLog, kDispatchService,
                                       ControlPayload{from, message.payload});
        return;
      case control::MessageType::kStatus:
        SendToService<StatusWriterMessage>(
            kernel_, kLog, kStatusWriterService,
            ControlPayload{from, message.payload});
        return;
    }
  }

  void OnRelayMessage(const std::string& peer,
                      std::span<const std::uint8_t> bytes) {
    const auto message = relay::Decode(bytes);
    if (!message.ok()) {
      kLog.Warning("malformed relay message from {}: {}", peer,
                   ToString(message.error()));
      return;
    }
    ExecuteActions(relay_->OnMessage(peer, message.value(),
                                     absl::InfiniteDuration(),
                                     kernel::MonotonicNow()));
  }

  void OnMessage(SendControl& send) {
    SendTo(send.to, send.type, send.bytes,
           control::OverflowPolicy::kDropOldest);
  }

  static void LogSkipped(const platform::SkippedEntries& skipped) {
    if (skipped.count > 0) {
      kLog.Warning("{} entries of the platform are left out: {}", skipped.count,
                   ToString(skipped.first));
    }
  }

  void OnMessage(PlatformListed& listed) {
    LogSkipped(listed.skipped);
    ExecuteActions(relay_->OnList(listed.id, listed.revision, listed.objects,
                                  kernel::MonotonicNow()));
    ReportIfCurrent(listed.revision);
  }

  void OnMessage(PlatformWatched& watched) {
    LogSkipped(watched.skipped);
    ExecuteActions(relay_->OnWatch(watched.id, watched.revision, watched.events,
                                   kernel::MonotonicNow()));
    ReportIfCurrent(watched.revision);
  }

  // Tells the packet task that the configuration is current, unless `revision`,
  // the one in the platform's answer, is older than the configuration held
  // here. The answer has already been applied, so the configuration held
  // includes every change that the platform had when it answered.
  void ReportIfCurrent(relay::Version revision) {
    if (revision >= relay_->revision()) {
      SendToService<PacketMessage>(kernel_, kLog, kPacketService,
                                   ConfigCurrent{});
    }
  }

  void OnMessage(PlatformFailed& failed) {
    ExecuteActions(
        relay_->OnCallFailed(failed.id, failed.code, kernel::MonotonicNow()));
  }

  void OnMessage(PlatformVms& vms) { link_->SetSeeds(vms.seeds); }

  void OnMessage(BeginShutdown& /*shutdown*/) {
    kLog.Info("graceful shutdown requested");
    leave_gate_.RequestLeave(kernel::MonotonicNow());
    OnTick();
  }

  // Tells the other daemons before the tasks of this one, so that they stop
  // sending new work while this daemon still accepts work in transit.
  void BeginLeave() {
    leaving_ = true;
    kLog.Info("graceful shutdown begins");
    link_->BeginLeave(kernel::MonotonicNow());
    PublishMembers();
    SendToService<DispatchMessage>(kernel_, kLog, kDispatchService,
                                   BeginShutdown{});
    SendToService<PacketMessage>(kernel_, kLog, kPacketService,
                                 BeginShutdown{});
  }

  void OnMessage(FinishShutdown& /*shutdown*/) {
    link_->Leave(kernel::MonotonicNow());
  }

  void OnMessage(StatusRequest& request) {
    using nlohmann::json;
    json members = json::array();
    for (const membership::Member& member : link_->members()) {
      members.push_back({{"name", member.name},
                         {"zone", member.zone},
                         {"state", membership::ToString(member.state)},
                         {"revision", member.revision}});
    }
    const cluster::MemberLinkStats link = link_->stats();
    const relay::Stats relay = relay_->stats();
    json problems = json::array();
    for (const config::ObjectProblem& problem : problems_) {
      problems.push_back(
          {{"key", problem.key}, {"error", ToString(problem.error)}});
    }
    request.collector->Put("cluster",
                           {{"revision", relay_->revision()},
                            {"watcher", relay.watcher},
                            {"members", std::move(members)},
                            {"problems", std::move(problems)},
                            {"platform_calls", relay.platform_calls},
                            {"platform_errors", relay.platform_errors},
                            {"stale_answers", relay.stale_answers},
                            {"refused_messages", link.refused_messages},
                            {"control_bytes_sent", link.bytes_sent}});
  }

  const Settings settings_;
  const std::shared_ptr<auth::Signer> signer_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  std::shared_ptr<kernel::Mailbox<ClusterMessage>> mailbox_;
  std::unique_ptr<relay::VersionedRelay> relay_;
  config::SnapshotBuilder builder_;
  std::vector<config::ObjectProblem> problems_;
  LeaveGate leave_gate_;
  bool leaving_ = false;
  bool members_published_ = false;
  std::unique_ptr<cluster::MemberLink> link_;
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
