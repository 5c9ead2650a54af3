#include "src/direct_balancer/state_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/cluster/member_link.h"
#include "gcw/cluster/platform_caller.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/kernel/service.h"
#include "gcw/relay/versioned_relay.h"
#include "platform/object_format.h"
#include "src/direct_balancer/confirmation_log.h"
#include "src/direct_balancer/feed_reader.h"
#include "src/direct_balancer/load_service.h"
#include "src/direct_balancer/messages.h"
#include "src/direct_balancer/peer_message.h"
#include "src/direct_balancer/relay_options.h"
#include "src/direct_balancer/retained_exchange.h"
#include "src/direct_balancer/store_answer_log.h"
#include "src/direct_balancer/unreadable_log.h"
#include "src/direct_balancer/watcher_health.h"

namespace gcw::direct_balancer {
namespace {

using cluster::PlatformOutcome;
using direct::Feed;
using direct::kFeedCount;

constexpr std::size_t kMailboxCapacity = 1000;
constexpr std::size_t kServiceCapacity = 10;
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr std::array<const char*, kFeedCount> kThreadNames{
    "read-config", "read-servers", "read-zones"};
constexpr std::array<std::string_view, kFeedCount> kPrefixes{
    adapter::kConfigurationPrefix, adapter::kServersPrefix,
    adapter::kZonesOutPrefix};
// A connection to the platform that is not established within this time fails.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
// Interval of TCP keep-alive probes on idle connections to the platform. A
// connection on which the platform went silent fails after about three probes.
constexpr absl::Duration kKeepAlive = absl::Seconds(1);
// A connection that was idle for longer is not used again: it may have gone
// silent meanwhile. Longer than the pauses between the calls of a watcher.
constexpr absl::Duration kMaxIdle = absl::Milliseconds(1500);
// Confirmations of unchanged state that other daemons relay are passed on to
// the packet task at most once per interval and feed.
constexpr absl::Duration kConfirmedInterval = absl::Milliseconds(500);
// Stands for the platform's store in log lines about confirmations.
constexpr std::string_view kStoreName = "store";
// How long a leaving daemon waits until its leave message has been sent.
constexpr absl::Duration kLeaveSendTime = absl::Milliseconds(50);

// Signs messages between daemons, since the settings have no key. Detects
// damaged and misdirected messages, but does not protect against an attacker on
// the fleet's network.
constexpr std::string_view kUnkeyedSecret = "goldcrestwheel: no key was set";

// The field of the settings with the ports for other daemons.
constexpr char kMembersField[] = "members_port";
// The control transport uses the port this far above that of the members.
constexpr std::uint16_t kControlPortOffset = 1;
// The field of the settings that names the load exchange in the log.
constexpr char kLoadField[] = "load_exchange";

// Asks the task to announce that this daemon leaves the fleet.
struct LeaveRequest {};

// Asks the task to contact these daemons, too.
struct SeedsChanged {
  std::vector<Endpoint> seeds;
};

// The outcome of a call to the platform and the feed that the call was for.
struct FeedOutcome {
  Feed feed = Feed::kConfiguration;
  PlatformOutcome outcome;
};

using TaskMessage = std::variant<FeedOutcome, LeaveRequest, SeedsChanged>;

std::size_t IndexOf(Feed feed) {
  return static_cast<std::size_t>(feed);
}

// A state whose newest confirmation is older than this is logged: the first age
// at which the daemon may ask the platform itself.
std::array<absl::Duration, kFeedCount> ConfirmationLimits(
    const Settings& settings) {
  std::array<absl::Duration, kFeedCount> limits;
  for (std::size_t i = 0; i < kFeedCount; ++i) {
    limits[i] = MaxStateAge(settings, static_cast<Feed>(i)) *
                (1 - relay::kMaxAgeJitter);
  }
  return limits;
}

}  // namespace

class StateTask::Impl {
 public:
  Impl(const Settings& settings,
       std::uint64_t seed,
       kernel::Kernel& kernel,
       EventWriter& log,
       Metrics& metrics)
      : settings_(settings),
        seed_(seed),
        kernel_(kernel),
        log_(log),
        metrics_(metrics),
        answer_log_(log),
        unreadable_log_(log),
        confirmation_log_(ConfirmationLimits(settings), log) {}

  ~Impl() { kernel_.Unregister(kServersVersionService); }

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step :
         {&Impl::OpenMailbox, &Impl::OpenService, &Impl::MakeRelays,
          &Impl::StartCallers, &Impl::MakeLink, &Impl::MakeLoadService}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
    PublishFleet();
    // Starts the first list calls without waiting for the timer.
    OnTick();
    return OkStatus();
  }

  // Asks the task to announce that this daemon leaves the fleet. Thread-safe.
  void Leave() { mailbox_->Send(LeaveRequest{}); }
  // Asks the task to contact these daemons, too. Thread-safe.
  void SetSeeds(std::vector<Endpoint> seeds) {
    mailbox_->Send(SeedsChanged{std::move(seeds)});
  }

 private:
  Status OpenMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<TaskMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return mailbox_->Attach(loop, [this](TaskMessage& message) {
      std::visit([this](auto& m) { Handle(m); }, message);
    });
  }

  // Opens the mailbox for the packet task.
  Status OpenService(kernel::EventLoop& loop) {
    auto service = kernel::OpenService<ServersVersionWanted>(
        kernel_, loop, kServersVersionService, kServiceCapacity,
        [this](const ServersVersionWanted& wanted) { ReadServers(wanted); });
    if (!service.ok()) {
      return service.error();
    }
    service_ = std::move(service).value();
    return OkStatus();
  }

  Status MakeLink(kernel::EventLoop& loop) {
    auto signer = auth::Signer::Make(
        settings_.name, {1, std::string(kUnkeyedSecret)}, {}, absl::Now());
    if (!signer.ok()) {
      return signer.error();
    }
    cluster::MemberLinkOptions options;
    options.membership.name = settings_.name;
    options.membership.zone = settings_.zone;
    options.membership.advertise = {settings_.packets.ip,
                                    settings_.members_port};
    options.bind_ip = settings_.packets.ip;
    options.control_port =
        static_cast<std::uint16_t>(settings_.members_port + kControlPortOffset);
    options.may_open_later = true;
    options.seeds = OtherDaemons(settings_.seeds);
    cluster::MemberLink::Handlers handlers;
    handlers.on_members_changed =
        [this](std::span<const membership::MemberEvent> events) {
          OnMembers(events);
        };
    handlers.on_message = [this](const std::string& from,
                                 const control::ReceivedMessage& message) {
      OnMessage(from, message.payload);
    };
    handlers.on_message_refused = [this](const Endpoint& from,
                                         const Error& error,
                                         std::uint64_t refused) {
      log_.Write(MessageRefused{from, error.message, refused});
    };
    handlers.on_connection_lost = [&log = log_](const Endpoint& peer,
                                                absl::Duration idle) {
      log.Write(PeerConnectionLost{peer, idle});
    };
    handlers.on_open_delayed = [this](const Error& error,
                                      std::uint64_t attempts) {
      OnOpenDelayed(kMembersField, error, attempts);
    };
    handlers.on_bound_reached = [&log = log_](
                                    const Endpoint& listen,
                                    const control::AcceptStats& stats) {
      log.Write(ConnectionsBounded{listen, stats.closed_for_room, stats.refused,
                                   stats.pauses});
    };
    auto link = cluster::MemberLink::Make(options, std::move(signer).value(),
                                          seed_, loop, std::move(handlers));
    if (!link.ok()) {
      Error error = link.error();
      error.field = kMembersField;
      return error;
    }
    link_ = std::move(link).value();
    return OkStatus();
  }

  // The addresses at which the daemons at `seeds` other than this one take part
  // in the fleet.
  std::vector<membership::Seed> OtherDaemons(
      std::span<const Endpoint> seeds) const {
    std::vector<membership::Seed> others;
    for (const Endpoint& seed : seeds) {
      if (seed.ip != settings_.packets.ip) {
        others.push_back({"", "", {seed.ip, settings_.members_port}});
      }
    }
    return others;
  }

  Status MakeLoadService(kernel::EventLoop& loop) {
    if (!settings_.load_exchange) {
      return OkStatus();
    }
    auto service = LoadService::Make(
        settings_, kUnkeyedSecret, kernel_, loop, metrics_,
        [this](const Error& error, std::uint64_t attempts) {
          OnOpenDelayed(kLoadField, error, attempts);
        },
        [this](FleetLoadSummed total) { Send(std::move(total)); });
    if (!service.ok()) {
      return service.error();
    }
    load_service_ = std::move(service).value();
    load_service_->SetMembers(link_->members(), kernel::MonotonicNow());
    return OkStatus();
  }

  // Until the ports of the members can be opened, this daemon works as the only
  // one of the fleet; until that of the load exchange can be, it estimates the
  // load of the fleet from its own flows. `field` of the settings names the
  // ports.
  void OnOpenDelayed(const char* field, Error error, std::uint64_t attempts) {
    metrics_.CountStartDelay();
    error.field = field;
    // Twice as many attempts between two lines each time.
    if (std::has_single_bit(attempts)) {
      log_.Write(StartDelayed{field, ToString(error), attempts});
    }
  }

  Status MakeRelays(kernel::EventLoop& /*loop*/) {
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      const relay::Options options =
          MakeRelayOptions(settings_, static_cast<Feed>(i));
      auto made = relay::VersionedRelay::Make(options, kernel::MonotonicNow(),
                                              seed_ + 1 + i);
      if (!made.ok()) {
        return made.error();
      }
      relays_[i] = std::move(made).value();
      readers_[i] = FeedReader::Make(static_cast<Feed>(i),
                                     {.servers = settings_.max_flow_age});
    }
    return OkStatus();
  }

  Status StartCallers(kernel::EventLoop& /*loop*/) {
    platform::HttpPlatformOptions options;
    options.platform = settings_.platform;
    options.bind_ip = settings_.packets.ip;
    options.connect_timeout = kConnectTimeout;
    options.call_timeout = kPlatformCallGrace;
    options.keep_alive_interval = kKeepAlive;
    options.max_idle = kMaxIdle;
    options.format = &adapter::ObjectFormat();
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      const auto feed = static_cast<Feed>(i);
      callers_[i] = std::make_unique<cluster::PlatformCaller>(
          kThreadNames[i], std::string(kPrefixes[i]), options,
          [mailbox = mailbox_, feed](PlatformOutcome outcome) {
            mailbox->Send(FeedOutcome{feed, std::move(outcome)});
          });
      Status started = callers_[i]->Start();
      if (!started.ok()) {
        return started;
      }
    }
    return OkStatus();
  }

  // The fleet's members.

  void OnMembers(std::span<const membership::MemberEvent> events) {
    const absl::Time now = kernel::MonotonicNow();
    for (const membership::MemberEvent& event : events) {
      NoteMember(event, now);
      log_.Write(MemberChanged{event.member.name, event.member.zone,
                               std::string(membership::ToString(event.type))});
    }
    PublishFleet();
    UpdateRelayPeers();
    if (load_service_ != nullptr) {
      load_service_->SetMembers(link_->members(), now);
    }
  }

  // Records which peers may have to be told what the store lacks.
  void NoteMember(const membership::MemberEvent& event, absl::Time now) {
    switch (event.type) {
      case membership::EventType::kJoined:
      case membership::EventType::kRestarted:
        exchange_.OnPeerStarted(event.member.name, now);
        return;
      case membership::EventType::kDied:
      case membership::EventType::kLeft:
        exchange_.OnPeerGone(event.member.name);
        return;
      default:
        return;
    }
  }

  // Tells the packet task the number of live daemons and the rank of this
  // daemon among them by name.
  void PublishFleet() {
    direct::FleetPosition place;
    for (const membership::Member& member : link_->members()) {
      if (member.live()) {
        ++place.daemons;
        place.rank += member.name < settings_.name ? 1 : 0;
        place.zone_daemons += member.zone == settings_.zone ? 1 : 0;
      }
    }
    Send(FleetChanged{place});
  }

  // Tells the relays which daemons are live and which of them can watch the
  // platform.
  void UpdateRelayPeers() {
    const absl::Time now = kernel::MonotonicNow();
    std::vector<relay::Peer> peers;
    for (const membership::Member& member : link_->members()) {
      if (member.live()) {
        peers.push_back({member.name, member.zone,
                         watcher_health_.CanWatch(member.name, now)});
      }
    }
    for (const auto& relay : relays_) {
      relay->SetPeers(peers, now);
    }
  }

  // Messages from other daemons.

  void OnMessage(const std::string& from, std::span<const std::uint8_t> bytes) {
    const auto message = DecodePeerMessage(bytes);
    if (!message.ok()) {
      log_.Write(MessageRefused{{}, message.error().message, 0});
      return;
    }
    std::visit([&](const auto& m) { OnPeerMessage(from, m); }, message.value());
  }

  void OnPeerMessage(const std::string& from,
                     const WatchUnavailable& /*message*/) {
    if (watcher_health_.OnUnavailableReport(from, kernel::MonotonicNow())) {
      log_.Write(WatcherUnavailable{from});
      UpdateRelayPeers();
    }
  }

  void OnPeerMessage(const std::string& from, const StateMessage& message) {
    const absl::Time now = kernel::MonotonicNow();
    relay::VersionedRelay& relay = *relays_[IndexOf(message.feed)];
    const absl::Time confirmed = relay.confirmed();
    Perform(message.feed,
            relay.OnMessage(from, message.message, message.age, now));
    if (relay.confirmed() > confirmed) {
      NoteConfirmed(message.feed, from, now);
    }
    TellRetained(message.feed, from, now);
  }

  void OnPeerMessage(const std::string& from, const RetainedMessage& message) {
    log_.Write(RetainedStateTold{std::string(direct::FeedName(message.feed)),
                                 from, message.objects.size(), message.age,
                                 message.store_version});
    const std::size_t feed = IndexOf(message.feed);
    Deliver(readers_[feed]->OnRetained(message, relays_[feed]->revision(),
                                       kernel::MonotonicNow()));
  }

  // Tells `peer`, which may have started too late to read it, what this daemon
  // still honours although the store lacks it.
  void TellRetained(Feed feed, const std::string& peer, absl::Time now) {
    const auto batches = readers_[IndexOf(feed)]->retained();
    for (const RetainedMessage& message :
         exchange_.MessagesFor(peer, feed, batches, now)) {
      SendTo(peer, message);
    }
  }

  void SendTo(const std::string& name, const PeerMessage& message) {
    // A failure is ignored: the member is gone or its queue is full, and it
    // gets the state from other daemons or from a later digest.
    (void)link_->Send(name, control::MessageType::kRelay,
                      EncodePeerMessage(message),
                      control::OverflowPolicy::kReject);
  }

  // Calls to the platform and their outcomes.

  // Sends the messages, starts the call and publishes the change that a relay
  // asks for.
  void Perform(Feed feed, const relay::Actions& actions) {
    for (const relay::OutgoingMessage& out : actions.messages) {
      const absl::Duration age =
          kernel::MonotonicNow() - relays_[IndexOf(feed)]->confirmed();
      SendTo(out.peer, StateMessage{feed, age, out.message});
    }
    if (actions.call.has_value()) {
      callers_[IndexOf(feed)]->Call(*actions.call);
    }
    if (actions.changed) {
      PublishState(feed);
    }
  }

  void Handle(FeedOutcome& outcome) {
    std::visit([&](const auto& o) { OnOutcome(outcome.feed, o); },
               outcome.outcome);
  }

  void OnOutcome(Feed feed, const cluster::PlatformListed& listed) {
    const absl::Time now = kernel::MonotonicNow();
    const bool confirms =
        OnCallAnswered(feed, "list", listed.id, listed.revision);
    LogSkipped(feed, listed.skipped);
    if (listed.revision < relays_[IndexOf(feed)]->revision()) {
      Deliver(readers_[IndexOf(feed)]->OnStaleObjects(
          listed.objects, relays_[IndexOf(feed)]->revision()));
    }
    Perform(feed, relays_[IndexOf(feed)]->OnList(listed.id, listed.revision,
                                                 listed.objects, now));
    if (!state_published_[IndexOf(feed)]) {
      // Without objects the relay reports no change, but the packet task must
      // learn that the state is empty rather than not yet read.
      PublishState(feed);
    }
    if (confirms) {
      ConfirmByPlatform(feed, now);
    }
  }

  void OnOutcome(Feed feed, const cluster::PlatformWatched& watched) {
    const absl::Time now = kernel::MonotonicNow();
    const bool confirms =
        OnCallAnswered(feed, "watch", watched.id, watched.revision);
    LogSkipped(feed, watched.skipped);
    Perform(feed, relays_[IndexOf(feed)]->OnWatch(watched.id, watched.revision,
                                                  watched.events, now));
    if (confirms) {
      ConfirmByPlatform(feed, now);
    }
  }

  void OnOutcome(Feed feed, const cluster::PlatformFailed& failed) {
    if (relays_[IndexOf(feed)]->WasSuperseded(failed.id)) {
      return;
    }
    const absl::Time now = kernel::MonotonicNow();
    Count(feed, "call", failed.code);
    // The platform answers kPlatformCompacted to a watch from a version whose
    // events it has dropped, so it is reachable.
    if (failed.code != ResultCode::kPlatformCompacted) {
      answer_log_.OnFailure(feed, failed.code, failed.message);
      Send(FeedFailed{feed, failed.code});
      watcher_health_.OnCallFailed(feed, now);
    }
    Perform(feed,
            relays_[IndexOf(feed)]->OnCallFailed(failed.id, failed.code, now));
  }

  // The platform answered the call `id` for `feed` with its state as of
  // `answered`; `verb` names the call in the metrics. Returns whether the
  // answer, once it is applied, confirms the state held here: a stale answer
  // does not, nor one that the relay ignores, because it gave the call up.
  bool OnCallAnswered(Feed feed,
                      std::string_view verb,
                      std::uint64_t id,
                      relay::Version answered) {
    const relay::VersionedRelay& relay = *relays_[IndexOf(feed)];
    Count(feed, verb, ResultCode::kOk);
    watcher_health_.OnCallAnswered(feed);
    answer_log_.OnAnswer(feed, answered, relay.revision());
    return relay.Expects(id) && answered >= relay.revision();
  }

  // Tells the packet task that the state which it was sent before was confirmed
  // by an answer of the platform.
  void ConfirmByPlatform(Feed feed, absl::Time now) {
    last_confirmed_sent_[IndexOf(feed)] = now;
    confirmation_log_.OnConfirmed(feed, kStoreName, now, now);
    Send(FeedConfirmed{feed, now, true});
    if (feed == Feed::kServers) {
      Send(ServersInclude{relays_[IndexOf(feed)]->complete_version()});
    }
  }

  void LogSkipped(Feed feed, const platform::SkippedEntries& skipped) {
    if (skipped.count > 0) {
      log_.Write(EntriesSkipped{std::string(direct::FeedName(feed)),
                                skipped.count, skipped.first.message});
    }
  }

  // Counts one call to the platform in the metrics.
  void Count(Feed feed, std::string_view verb, ResultCode code) {
    metrics_.calls().Count(fmt::format("{} {}", verb, kPrefixes[IndexOf(feed)]),
                           std::string(ResultCodeName(code)));
  }

  // Reads the servers from the platform, unless this daemon knows all changes
  // up to the wanted version.
  void ReadServers(const ServersVersionWanted& wanted) {
    relay::VersionedRelay& relay = *relays_[IndexOf(Feed::kServers)];
    if (relay.complete_version() >= wanted.version) {
      Send(ServersInclude{relay.complete_version()});
      return;
    }
    Perform(Feed::kServers,
            relay.RequireVersion(wanted.version, kernel::MonotonicNow()));
  }

  // Messages to the packet task.

  // Decodes the relay's objects of `feed` and sends the packet task the result.
  void PublishState(Feed feed) {
    const relay::VersionedRelay& relay = *relays_[IndexOf(feed)];
    FeedUpdate update = readers_[IndexOf(feed)]->OnObjects(
        relay.objects(), relay.revision(), kernel::MonotonicNow());
    state_published_[IndexOf(feed)] =
        state_published_[IndexOf(feed)] || update.message.has_value();
    Deliver(std::move(update));
  }

  // Sends the packet task what a reader has decoded, and logs what could not be
  // decoded or is ignored.
  void Deliver(FeedUpdate update) {
    unreadable_log_.OnUnreadable(update.unreadable, kernel::MonotonicNow());
    if (update.ignored) {
      log_.Write(*update.ignored);
    }
    if (update.message) {
      Send(*std::move(update.message));
    }
  }

  // The daemon `from` confirmed the state of this daemon.
  void NoteConfirmed(Feed feed, const std::string& from, absl::Time now) {
    const absl::Time confirmed = relays_[IndexOf(feed)]->confirmed();
    confirmation_log_.OnConfirmed(feed, from, confirmed, now);
    absl::Time& last_sent = last_confirmed_sent_[IndexOf(feed)];
    if (now - last_sent >= kConfirmedInterval) {
      last_sent = now;
      Send(FeedConfirmed{feed, confirmed, false});
    }
  }

  // Sends `message` to the packet task, if that task is running.
  void Send(PacketMessage message) {
    const auto packets = kernel_.Find<PacketMessage>(kPacketService);
    if (packets.ok()) {
      packets.value()->Send(std::move(message));
    }
  }

  // Runs the periodic work of the membership, the relays and the watcher
  // health.
  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    link_->OnTick(now);
    const control::AcceptStats accepts = link_->stats().accepts;
    metrics_.SetAcceptStats(
        "control", {accepts.closed_for_room, accepts.refused, accepts.pauses});
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      TickFeed(static_cast<Feed>(i), now);
    }
    confirmation_log_.OnTick(IsWatcher(), now);
    if (watcher_health_.OnTick(now)) {
      UpdateRelayPeers();
    }
    ReportIfUnavailable(now);
    if (load_service_ != nullptr) {
      load_service_->OnTick(now);
    }
  }

  // All feeds have the same peers, so they have the same watchers.
  bool IsWatcher() const { return relays_[0]->is_watcher(); }

  void TickFeed(Feed feed, absl::Time now) {
    relay::VersionedRelay& relay = *relays_[IndexOf(feed)];
    const std::uint64_t timeouts = relay.stats().call_timeouts;
    Perform(feed, relay.OnTick(now));
    if (relay.stats().call_timeouts > timeouts) {
      log_.Write(StoreCallTimedOut{std::string(direct::FeedName(feed))});
    }
    Deliver(readers_[IndexOf(feed)]->OnTick(relay.revision(), now));
  }

  // Tells the daemons of the zone that another one must watch the platform.
  void ReportIfUnavailable(absl::Time now) {
    if (!IsWatcher()) {
      watcher_health_.OnNotWatching();
      return;
    }
    if (watcher_health_.ShouldReportUnavailable(now)) {
      for (const membership::Member& member : link_->members()) {
        if (member.live() && member.zone == settings_.zone) {
          SendTo(member.name, WatchUnavailable{});
        }
      }
    }
  }

  void Handle(const SeedsChanged& changed) {
    link_->SetSeeds(OtherDaemons(changed.seeds));
  }

  void Handle(const LeaveRequest& /*request*/) {
    link_->Leave(kernel::MonotonicNow());
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  EventWriter& log_;
  Metrics& metrics_;
  std::shared_ptr<kernel::Mailbox<TaskMessage>> mailbox_;
  std::shared_ptr<kernel::Mailbox<ServersVersionWanted>> service_;
  std::unique_ptr<cluster::MemberLink> link_;
  std::array<std::unique_ptr<relay::VersionedRelay>, kFeedCount> relays_;
  std::array<std::unique_ptr<FeedReader>, kFeedCount> readers_;
  std::array<std::unique_ptr<cluster::PlatformCaller>, kFeedCount> callers_;
  // Whether the packet task was sent the state of each feed at least once.
  std::array<bool, kFeedCount> state_published_{};
  // When the packet task was last sent a FeedConfirmed for each feed.
  std::array<absl::Time, kFeedCount> last_confirmed_sent_{
      absl::InfinitePast(), absl::InfinitePast(), absl::InfinitePast()};
  WatcherHealth watcher_health_;
  StoreAnswerLog answer_log_;
  UnreadableLog unreadable_log_;
  ConfirmationLog confirmation_log_;
  RetainedExchange exchange_;
  std::unique_ptr<LoadService> load_service_;  // Null if it is disabled.
};

StateTask::StateTask(const Settings& settings,
                     std::uint64_t seed,
                     kernel::Kernel& kernel,
                     EventWriter& log,
                     Metrics& metrics)
    : Task("state"),
      impl_(std::make_unique<Impl>(settings, seed, kernel, log, metrics)) {}

StateTask::~StateTask() {
  // The task's thread uses the callers until it has ended. An outcome that
  // arrives afterwards stays in the mailbox, which the callers share.
  Stop();
}

void StateTask::SetSeeds(std::vector<Endpoint> seeds) {
  impl_->SetSeeds(std::move(seeds));
}

void StateTask::Leave() {
  impl_->Leave();
  absl::SleepFor(kLeaveSendTime);
}

Status StateTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::direct_balancer
