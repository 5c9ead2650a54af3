#include "src/direct_balancer/state_task.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/clock.h"
#include "gcw/cluster/member_link.h"
#include "gcw/cluster/platform_caller.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/relay/versioned_relay.h"
#include "platform/object_format.h"
#include "src/direct_balancer/feed_reader.h"
#include "src/direct_balancer/messages.h"
#include "src/direct_balancer/peer_message.h"
#include "src/direct_balancer/watch_duty.h"

namespace gcw::direct_balancer {
namespace {

using cluster::PlatformOutcome;
using direct::Feed;
using direct::kFeedCount;

constexpr std::size_t kMailboxCapacity = 1000;
constexpr absl::Duration kTick = absl::Milliseconds(50);
constexpr std::array<const char*, kFeedCount> kThreadNames{
    "read-config", "read-servers", "read-zones"};
constexpr std::array<std::string_view, kFeedCount> kPrefixes{
    adapter::kConfigurationPrefix, adapter::kServersPrefix,
    adapter::kZonesOutPrefix};
// One daemon of each zone reads for all; the others hear of it within tens of
// milliseconds, and stand in when it fails.
constexpr std::size_t kWatchersPerZone = 1;
// A few neighbours reach a zone of ten daemons in two steps.
constexpr std::size_t kZoneFanout = 3;
// A list takes a few milliseconds; beyond this, peers are asked as well.
constexpr absl::Duration kPlatformFirst = absl::Milliseconds(300);
// How long the platform may hold a watch without news, at first and after a
// failure. In milliseconds, for the check below.
constexpr std::int64_t kWatchWaitMs = 2500;
constexpr std::int64_t kRetryWaitMs = 200;
// Beyond its wait, a call may take this long.
constexpr std::int64_t kCallGraceMs = 700;
constexpr std::int64_t kLongestBackoffMs = 1000;
// The users' bounds count from this time after the platform's return.
constexpr std::int64_t kStabilityWindowMs = 4000;
// A call that the platform swallowed just before it came back is given up, and
// its successor answered, within the window.
static_assert(kWatchWaitMs + kCallGraceMs < kStabilityWindowMs);
static_assert(kRetryWaitMs + kCallGraceMs + kLongestBackoffMs <
              kStabilityWindowMs);
constexpr absl::Duration kWatchWait = absl::Milliseconds(kWatchWaitMs);
constexpr absl::Duration kRetryWait = absl::Milliseconds(kRetryWaitMs);
constexpr absl::Duration kCallGrace = absl::Milliseconds(kCallGraceMs);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration kKeepAlive = absl::Seconds(1);
// Pauses after failures: short enough that an outage's end is noticed well
// within the two seconds in which entries of servers return.
constexpr absl::Duration kShortestBackoff = absl::Milliseconds(150);
constexpr absl::Duration kLongestBackoff =
    absl::Milliseconds(kLongestBackoffMs);
// The packet task hears at most this often that nothing has changed.
constexpr absl::Duration kHeardInterval = absl::Milliseconds(500);
// How long a leaving daemon waits for its farewell to be sent.
constexpr absl::Duration kFarewell = absl::Milliseconds(50);

// Signs messages where the settings bring no key. It guards against damage and
// mix-ups, not against a forger, who would have to be on the fleet's network.
constexpr std::string_view kUnkeyedSecret = "goldcrestwheel: no key was set";

struct LeaveRequest {};

// An outcome of a call and the feed that it is about.
struct FeedOutcome {
  Feed feed = Feed::kConfiguration;
  PlatformOutcome outcome;
};

using TaskMessage = std::variant<FeedOutcome, LeaveRequest>;

std::size_t IndexOf(Feed feed) {
  return static_cast<std::size_t>(feed);
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
        metrics_(metrics) {}

  Status Setup(kernel::EventLoop& loop) {
    for (const auto step : {&Impl::OpenMailbox, &Impl::MakeLink,
                            &Impl::MakeRelays, &Impl::StartCallers}) {
      Status done = (this->*step)(loop);
      if (!done.ok()) {
        return done;
      }
    }
    loop.AddTimer(kTick, [this] { OnTick(); });
    ShareFleet();
    // The first lists need not wait for a timer.
    OnTick();
    return OkStatus();
  }

  // Thread-safe.
  void Leave() { mailbox_->Send(LeaveRequest{}); }

  // Cuts calls first, so that no outcome arrives any more.
  void StopCallers() {
    for (auto& caller : callers_) {
      caller.reset();
    }
  }

 private:
  Status OpenMailbox(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<TaskMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    return mailbox_->Attach(loop, [this](TaskMessage& message) {
      std::visit([this](auto& m) { Take(m); }, message);
    });
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
        static_cast<std::uint16_t>(settings_.members_port + 1);
    for (const Endpoint& seed : settings_.seeds) {
      if (seed.ip != settings_.packets.ip) {
        options.seeds.push_back({"", "", {seed.ip, settings_.members_port}});
      }
    }
    cluster::MemberLink::Handlers handlers;
    handlers.members = [this](std::span<const membership::MemberEvent> events) {
      OnMembers(events);
    };
    handlers.message = [this](const std::string& from,
                              const control::ReceivedMessage& message) {
      OnMessage(from, message.payload);
    };
    handlers.refused = [this](const Endpoint& from, const Error& error,
                              std::uint64_t refused) {
      log_.Write(MessageRefused{from, error.message, refused});
    };
    auto link = cluster::MemberLink::Make(options, std::move(signer).value(),
                                          seed_, loop, std::move(handlers));
    if (!link.ok()) {
      return link.error();
    }
    link_ = std::move(link).value();
    return OkStatus();
  }

  Status MakeRelays(kernel::EventLoop& /*loop*/) {
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      relay::Options options;
      options.name = settings_.name;
      options.zone = settings_.zone;
      options.watchers_per_zone = kWatchersPerZone;
      options.watch_wait = kWatchWait;
      options.watch_wait_after_failure = kRetryWait;
      options.call_grace = kCallGrace;
      options.backoff_min = kShortestBackoff;
      options.backoff_max = kLongestBackoff;
      options.zone_fanout = kZoneFanout;
      options.initial_platform_delay = absl::ZeroDuration();
      options.initial_peer_delay = kPlatformFirst;
      auto made = relay::VersionedRelay::Make(options, kernel::MonotonicNow(),
                                              seed_ + 1 + i);
      if (!made.ok()) {
        return made.error();
      }
      relays_[i] = std::move(made).value();
      readers_[i] = FeedReader::Make(static_cast<Feed>(i));
    }
    return OkStatus();
  }

  Status StartCallers(kernel::EventLoop& /*loop*/) {
    platform::HttpPlatformOptions options;
    options.platform = settings_.platform;
    options.bind_ip = settings_.packets.ip;
    options.connect_timeout = kConnectTimeout;
    options.call_timeout = kCallGrace;
    options.keep_alive_interval = kKeepAlive;
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

  // Members.

  void OnMembers(std::span<const membership::MemberEvent> events) {
    for (const membership::MemberEvent& event : events) {
      log_.Write(MemberChanged{event.member.name, event.member.zone,
                               std::string(membership::ToString(event.type))});
    }
    ShareFleet();
    SharePeers();
  }

  void ShareFleet() {
    direct::FleetPosition place;
    for (const membership::Member& member : link_->members()) {
      if (member.live()) {
        ++place.daemons;
        place.rank += member.name < settings_.name ? 1 : 0;
      }
    }
    Send(FleetChanged{place});
  }

  void SharePeers() {
    const absl::Time now = kernel::MonotonicNow();
    std::vector<relay::Peer> peers;
    for (const membership::Member& member : link_->members()) {
      if (member.live()) {
        peers.push_back(
            {member.name, member.zone, duty_.MayWatch(member.name, now)});
      }
    }
    for (const auto& relay : relays_) {
      relay->SetPeers(peers, now);
    }
  }

  // Messages of other daemons.

  void OnMessage(const std::string& from, std::span<const std::uint8_t> bytes) {
    const auto message = DecodePeerMessage(bytes);
    if (!message.ok()) {
      log_.Write(MessageRefused{{}, message.error().message, 0});
      return;
    }
    std::visit([&](const auto& m) { OnPeerMessage(from, m); }, message.value());
  }

  void OnPeerMessage(const std::string& from, const NotServed& /*message*/) {
    if (duty_.OnNotServed(from, kernel::MonotonicNow())) {
      log_.Write(WatcherNotServed{from});
      SharePeers();
    }
  }

  void OnPeerMessage(const std::string& from, const StateMessage& message) {
    const absl::Time now = kernel::MonotonicNow();
    relay::VersionedRelay& relay = *relays_[IndexOf(message.feed)];
    Perform(message.feed, relay.OnMessage(from, message.message, now));
    // Only where nothing of the sender's state is missing here.
    if (relay.revision() >= RevisionOf(message.message)) {
      NoteConfirmed(message.feed, message.age, now);
    }
  }

  // The revision that the sender of `message` holds.
  static relay::Version RevisionOf(const relay::Message& message) {
    if (const auto* digest = std::get_if<relay::Digest>(&message)) {
      return digest->revision;
    }
    if (const auto* update = std::get_if<relay::Update>(&message)) {
      return update->to;
    }
    return std::get<relay::Request>(message).since;
  }

  void SendTo(const std::string& name, const PeerMessage& message) {
    // A member that is gone, or takes nothing, hears from others.
    (void)link_->Send(name, control::MessageType::kRelay,
                      EncodePeerMessage(message), control::Delivery::kQueued);
  }

  // Calls and their outcomes.

  void Perform(Feed feed, const relay::Actions& actions) {
    for (const relay::OutgoingMessage& out : actions.messages) {
      const absl::Duration age =
          kernel::MonotonicNow() - confirmed_[IndexOf(feed)];
      SendTo(out.peer, StateMessage{feed, age, out.message});
    }
    if (actions.call.has_value()) {
      callers_[IndexOf(feed)]->Call(*actions.call);
    }
    if (actions.changed) {
      Share(feed);
    }
  }

  void Take(FeedOutcome& outcome) {
    std::visit([&](const auto& o) { OnOutcome(outcome.feed, o); },
               outcome.outcome);
  }

  void OnOutcome(Feed feed, const cluster::PlatformListed& listed) {
    const absl::Time now = kernel::MonotonicNow();
    Answered(feed, "list", now);
    const bool known = known_[IndexOf(feed)];
    Perform(feed, relays_[IndexOf(feed)]->OnList(listed.id, listed.revision,
                                                 listed.objects, now));
    if (!known) {
      Share(feed);  // Also an empty state is one.
    }
  }

  void OnOutcome(Feed feed, const cluster::PlatformWatched& watched) {
    const absl::Time now = kernel::MonotonicNow();
    Answered(feed, "watch", now);
    Perform(feed, relays_[IndexOf(feed)]->OnWatch(watched.id, watched.revision,
                                                  watched.events, now));
  }

  void OnOutcome(Feed feed, const cluster::PlatformFailed& failed) {
    const absl::Time now = kernel::MonotonicNow();
    Count(feed, "call", failed.code);
    Send(FeedFailed{feed, failed.code});
    Perform(feed,
            relays_[IndexOf(feed)]->OnCallFailed(failed.id, failed.code, now));
    // A history that is gone is an answer too.
    if (failed.code != ResultCode::kPlatformCompacted) {
      duty_.OnCallFailed(feed, now);
    }
  }

  void Answered(Feed feed, std::string_view verb, absl::Time now) {
    Count(feed, verb, ResultCode::kOk);
    duty_.OnCallAnswered(feed);
    confirmed_[IndexOf(feed)] = now;
    told_[IndexOf(feed)] = now;
    Send(FeedConfirmed{feed, now, true});
  }

  void Count(Feed feed, std::string_view verb, ResultCode code) {
    metrics_.calls().Count(fmt::format("{} {}", verb, kPrefixes[IndexOf(feed)]),
                           std::string(ResultCodeName(code)));
  }

  // What the packet task is told.

  void Share(Feed feed) {
    const relay::VersionedRelay& relay = *relays_[IndexOf(feed)];
    FeedNews news =
        readers_[IndexOf(feed)]->OnObjects(relay.objects(), relay.revision());
    for (const UnreadableObject& object : news.unreadable) {
      log_.Write(
          ObjectUnreadable{object.key, object.revision, object.error.message});
    }
    if (news.message) {
      known_[IndexOf(feed)] = true;
      Send(*std::move(news.message));
    }
  }

  // Nothing was missing here when another daemon's state was the platform's,
  // `age` ago.
  void NoteConfirmed(Feed feed, absl::Duration age, absl::Time now) {
    absl::Time& confirmed = confirmed_[IndexOf(feed)];
    confirmed = std::max(confirmed, now - age);
    absl::Time& told = told_[IndexOf(feed)];
    if (now - told >= kHeardInterval) {
      told = now;
      Send(FeedConfirmed{feed, confirmed, false});
    }
  }

  void Send(PacketMessage message) {
    const auto packets = kernel_.Find<PacketMessage>(kPacketService);
    if (packets.ok()) {
      packets.value()->Send(std::move(message));
    }
  }

  // Timers.

  void OnTick() {
    const absl::Time now = kernel::MonotonicNow();
    link_->OnTick(now);
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      Perform(static_cast<Feed>(i), relays_[i]->OnTick(now));
    }
    if (duty_.OnTick(now)) {
      SharePeers();
    }
    if (duty_.MustSayNotServed(now)) {
      for (const membership::Member& member : link_->members()) {
        if (member.live() && member.zone == settings_.zone) {
          SendTo(member.name, NotServed{});
        }
      }
    }
  }

  void Take(const LeaveRequest& /*request*/) {
    link_->Leave(kernel::MonotonicNow());
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  EventWriter& log_;
  Metrics& metrics_;
  std::shared_ptr<kernel::Mailbox<TaskMessage>> mailbox_;
  std::unique_ptr<cluster::MemberLink> link_;
  std::array<std::unique_ptr<relay::VersionedRelay>, kFeedCount> relays_;
  std::array<std::unique_ptr<FeedReader>, kFeedCount> readers_;
  std::array<std::unique_ptr<cluster::PlatformCaller>, kFeedCount> callers_;
  std::array<bool, kFeedCount> known_{};
  // When each state is known to have been the platform's.
  std::array<absl::Time, kFeedCount> confirmed_{
      absl::InfinitePast(), absl::InfinitePast(), absl::InfinitePast()};
  std::array<absl::Time, kFeedCount> told_{
      absl::InfinitePast(), absl::InfinitePast(), absl::InfinitePast()};
  WatchDuty duty_;
};

StateTask::StateTask(const Settings& settings,
                     std::uint64_t seed,
                     kernel::Kernel& kernel,
                     EventWriter& log,
                     Metrics& metrics)
    : Task("state"),
      impl_(std::make_unique<Impl>(settings, seed, kernel, log, metrics)) {}

StateTask::~StateTask() {
  impl_->StopCallers();
  Stop();
}

void StateTask::Leave() {
  impl_->Leave();
  absl::SleepFor(kFarewell);
}

Status StateTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::direct_balancer
