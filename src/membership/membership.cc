#include "gcw/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "src/membership/gossip_queue.h"
#include "src/membership/member_table.h"
#include "src/membership/probe_order.h"

namespace gcw::membership {
namespace {

// Gossip of one message. A full page leaves room for payload and signature.
constexpr std::size_t kGossipPerProbe = 8;
constexpr std::size_t kGossipBytes = 800;
constexpr int kGossipFactor = 2;
// Members that hear at once of a leave or of other urgent news.
constexpr std::size_t kLeaveFanout = 16;
constexpr std::size_t kNewsFanout = 4;
constexpr absl::Duration kNewsGap = absl::Milliseconds(200);
// Operators who change things all the time must not fill the control budget.
constexpr absl::Duration kRevisionGap = absl::Seconds(1);
// Pages of the member list are fetched at these intervals: while joining or
// while pages bring news, and when digests merely differ.
constexpr absl::Duration kJoinPageInterval = absl::Milliseconds(100);
constexpr absl::Duration kPageInterval = absl::Seconds(1);
// When a whole fleet starts, the peers that are asked know little themselves.
constexpr absl::Duration kStartupTime = absl::Seconds(30);
constexpr absl::Duration kForgetInterval = absl::Seconds(5);
// A seed or dead member is contacted at this interval, one at a time; faster
// while this daemon knows nobody.
constexpr absl::Duration kContactInterval = absl::Seconds(1);
constexpr absl::Duration kLonelyContactInterval = absl::Milliseconds(200);
// Suspects that are told of the suspicion in each probe interval.
constexpr std::size_t kSuspectsToTell = 2;
// A ping on behalf of another is remembered this long.
constexpr absl::Duration kRelayedPingTtl = absl::Seconds(3);
constexpr std::size_t kMaxRelayedPings = 1024;

struct Probe {
  std::string target;
  absl::Time sent;
  bool indirect = false;
};

// A ping sent because `requester` could not reach its target.
struct RelayedPing {
  Endpoint requester;
  std::uint64_t nonce = 0;
  absl::Time sent;
};

Error FieldError(std::string field, std::string message) {
  return Error{ResultCode::kInvalidField, std::move(field), std::move(message)};
}

bool IsGoodName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// Reduces `members` to `count` random ones.
void KeepRandom(std::vector<const Member*>& members,
                std::size_t count,
                std::mt19937_64& random) {
  std::shuffle(members.begin(), members.end(), random);
  if (members.size() > count) {
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(count),
                  members.end());
  }
}

Status Check(const Options& options) {
  if (!IsGoodName(options.name)) {
    return FieldError("name", "must be 1 to 64 visible ASCII characters");
  }
  if (!IsGoodName(options.zone)) {
    return FieldError("zone", "must be 1 to 64 visible ASCII characters");
  }
  if (options.advertise.ip == 0 || options.advertise.port == 0) {
    return FieldError("advertise", "address and port must not be zero");
  }
  if (options.cross_zone_every == 0) {
    return FieldError("cross_zone_every", "must not be zero");
  }
  return OkStatus();
}

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

std::string_view ToString(EventType type) {
  switch (type) {
    case EventType::kJoined:
      return "joined";
    case EventType::kRestarted:
      return "restarted";
    case EventType::kSuspected:
      return "suspected";
    case EventType::kRecovered:
      return "recovered";
    case EventType::kDied:
      return "died";
    case EventType::kLeft:
      return "left";
    case EventType::kLeaving:
      return "is leaving";
  }
  return "unknown";
}

struct Membership::State {
  State(const Options& o, std::uint64_t seed)
      : options(o), random(seed), order(options, random) {}

  // Inputs.
  void Tick(absl::Time now, Actions& actions);
  void Receive(const Message& message, absl::Time now, Actions& actions);
  void BeginLeave();
  void Leave(absl::Time now, Actions& actions);

  // Periodic work.
  void NoticePause(absl::Time now);
  void ExpireProbes(absl::Time now, Actions& actions);
  void ExpireSuspicions(absl::Time now, Actions& actions);
  void TellLeave(absl::Time now, Actions& actions);
  void ForgetDead(absl::Time now);
  void ProbeNext(absl::Time now, Actions& actions);
  void TellSuspects(Actions& actions);
  bool IsUnknown(const Seed& seed) const;
  void ContactSeed(absl::Time now, Actions& actions);
  void FetchPage(absl::Time now, Actions& actions);
  void TellNews(absl::Time now, Actions& actions);

  // Messages.
  void OnAck(const Message& message, Actions& actions);
  void OnPingRequest(const Message& message, absl::Time now, Actions& actions);
  void OnSyncRequest(const Message& message, Actions& actions);
  void OnSyncReply(const Message& message);
  void NoteDigest(const Message& message);
  void Reply(MessageType type, const Message& to, Actions& actions);

  // Statements.
  bool Apply(const Gossip& gossip, absl::Time now, Actions& actions);
  void Spread(const Gossip& gossip, absl::Time now, Actions& actions);
  void Refute(const Gossip& gossip);
  void RaiseIncarnation(Incarnation at_least);

  // Sending.
  Message NewMessage(MessageType type, std::uint64_t nonce) const;
  void Send(const Endpoint& to,
            std::string_view to_name,
            Message message,
            Actions& actions);
  void Ping(const Member& member, Actions& actions);

  std::uint32_t digest() const {
    return table.digest() ^ DigestOf(self.name, self.incarnation);
  }
  int gossip_limit() const {
    const auto members = static_cast<double>(table.live_count() + 2);
    return kGossipFactor * static_cast<int>(std::ceil(std::log2(members)));
  }
  absl::Duration suspicion_time() const {
    const auto members = static_cast<double>(table.live_count() + 1);
    return options.suspicion * std::max(1.0, std::log10(members));
  }
  absl::Duration Jitter(absl::Duration duration) {
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    return duration * factor(random);
  }
  std::uint64_t NextNonce() { return ++last_nonce; }

  const Options options;
  std::mt19937_64 random;
  Member self;
  MemberTable table;
  GossipQueue news;
  ProbeOrder order;
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedPing> relayed;
  std::vector<Seed> settings_seeds;
  std::vector<Seed> platform_seeds;
  std::vector<std::uint8_t> payload;
  std::uint64_t last_nonce = 0;

  bool leaving = false;
  bool urgent_news = false;
  bool revision_news = false;
  bool joining = true;
  bool page_wanted = false;
  bool page_had_news = false;
  Endpoint page_peer;
  std::string page_cursor;

  absl::Time last_tick = absl::InfinitePast();
  absl::Time first_tick = absl::InfinitePast();
  absl::Time next_probe = absl::InfinitePast();
  absl::Time next_contact = absl::InfinitePast();
  absl::Time next_page = absl::InfinitePast();
  absl::Time next_forget = absl::InfinitePast();
  absl::Time next_news = absl::InfinitePast();
  absl::Time next_revision = absl::InfinitePast();
};

void Membership::State::Tick(absl::Time now, Actions& actions) {
  NoticePause(now);
  ExpireProbes(now, actions);
  ExpireSuspicions(now, actions);
  ForgetDead(now);
  if (leaving) {
    if (now >= next_probe) {
      TellLeave(now, actions);
    }
    return;
  }
  if (now >= next_probe) {
    next_probe = now + Jitter(options.probe_interval);
    ProbeNext(now, actions);
    TellSuspects(actions);
  }
  ContactSeed(now, actions);
  FetchPage(now, actions);
  TellNews(now, actions);
}

// While a process does not run, its peers' answers wait in its socket. Nothing
// that its timers say on waking is evidence against them. Peers, however, may
// have given this member up, which a new incarnation undoes.
void Membership::State::NoticePause(absl::Time now) {
  const absl::Time before = std::exchange(last_tick, now);
  if (before == absl::InfinitePast()) {
    first_tick = now;
  }
  if (before == absl::InfinitePast() ||
      now - before <= options.pause_threshold) {
    return;
  }
  probes.clear();
  table.RestartSuspicions(now);
  if (now - before >= options.suspicion && !leaving) {
    RaiseIncarnation(self.incarnation);
  }
}

void Membership::State::ExpireProbes(absl::Time now, Actions& actions) {
  std::vector<std::string> failed;
  for (auto it = probes.begin(); it != probes.end();) {
    Probe& probe = it->second;
    const Member* target = table.Find(probe.target);
    const absl::Duration age = now - probe.sent;
    if (target == nullptr || !target->live()) {
      it = probes.erase(it);
      continue;
    }
    if (age >= options.probe_timeout) {
      failed.push_back(probe.target);
      it = probes.erase(it);
      continue;
    }
    if (age >= options.ack_timeout && !probe.indirect) {
      probe.indirect = true;
      for (const Member* helper :
           order.Helpers(table, *target, options.indirect_probes)) {
        Message request = NewMessage(MessageType::kPingRequest, it->first);
        request.target = probe.target;
        Send(helper->address, helper->name, std::move(request), actions);
      }
    }
    ++it;
  }
  for (const std::string& name : failed) {
    const Member* member = table.Find(name);
    if (member->state == MemberState::kAlive) {
      Gossip suspicion = ToGossip(*member);
      suspicion.state = MemberState::kSuspect;
      urgent_news = true;
      Spread(suspicion, now, actions);
    }
  }
}

void Membership::State::ExpireSuspicions(absl::Time now, Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<Gossip> deaths;
  for (const Member* member : table.InState(MemberState::kSuspect)) {
    if (now - member->since >= suspicion_time()) {
      deaths.push_back(ToGossip(*member));
      deaths.back().state = MemberState::kDead;
    }
  }
  urgent_news |= !deaths.empty();
  for (const Gossip& death : deaths) {
    Spread(death, now, actions);
  }
}

void Membership::State::ForgetDead(absl::Time now) {
  if (now >= next_forget) {
    next_forget = now + kForgetInterval;
    table.Forget(now - options.dead_retention);
  }
}

void Membership::State::ProbeNext(absl::Time now, Actions& actions) {
  std::set<std::string> busy;
  for (const auto& [nonce, probe] : probes) {
    busy.insert(probe.target);
  }
  const std::optional<std::string> name = order.Next(table, busy);
  if (!name) {
    return;
  }
  const Member* member = table.Find(*name);
  Ping(*member, actions);
  probes[last_nonce] = Probe{*name, now, false};
}

// A suspect that still runs can refute only what it has heard of.
void Membership::State::TellSuspects(Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<const Member*> suspects = table.InState(MemberState::kSuspect);
  KeepRandom(suspects, kSuspectsToTell, random);
  for (const Member* suspect : suspects) {
    Ping(*suspect, actions);
  }
}

// Whether nobody is known at the seed, as far as names and addresses tell. Dead
// members are contacted on their own account and those that left not at all.
bool Membership::State::IsUnknown(const Seed& seed) const {
  return seed.name != self.name && seed.address != self.address &&
         table.Find(seed.name) == nullptr && !table.HasLiveAt(seed.address);
}

// Seeds that are no members yet, and members that were given up: after a
// partition both sides hold each other for dead, and someone must try.
void Membership::State::ContactSeed(absl::Time now, Actions& actions) {
  if (now < next_contact) {
    return;
  }
  const bool lonely = table.live_count() == 0;
  next_contact =
      now + Jitter(lonely ? kLonelyContactInterval : kContactInterval);
  std::vector<Endpoint> candidates;
  for (const auto* seeds : {&settings_seeds, &platform_seeds}) {
    for (const Seed& seed : *seeds) {
      if (IsUnknown(seed)) {
        candidates.push_back(seed.address);
      }
    }
  }
  for (const Member* dead : table.InState(MemberState::kDead)) {
    candidates.push_back(dead->address);
  }
  if (candidates.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  Send(candidates[pick(random)], "",
       NewMessage(MessageType::kPing, NextNonce()), actions);
}

void Membership::State::FetchPage(absl::Time now, Actions& actions) {
  if (!page_wanted || now < next_page) {
    return;
  }
  const bool hurry =
      joining || page_had_news || now - first_tick < kStartupTime;
  next_page = now + Jitter(hurry ? kJoinPageInterval : kPageInterval);
  page_wanted = joining || page_had_news;
  page_had_news = false;
  Message request = NewMessage(MessageType::kSyncRequest, NextNonce());
  request.target = page_cursor;
  Send(page_peer, "", std::move(request), actions);
}

// A new revision, a suspicion or a death that was found here does not wait for
// the next probe.
void Membership::State::TellNews(absl::Time now, Actions& actions) {
  const bool revision_due = revision_news && now >= next_revision;
  if (!(urgent_news || revision_due) || now < next_news) {
    return;
  }
  urgent_news = false;
  revision_news = false;
  next_news = now + kNewsGap;
  next_revision = now + kRevisionGap;
  std::vector<const Member*> live = table.Live();
  KeepRandom(live, kNewsFanout, random);
  for (const Member* member : live) {
    Ping(*member, actions);
  }
}

void Membership::State::Receive(const Message& message,
                                absl::Time now,
                                Actions& actions) {
  if (message.sender.name == self.name) {
    return;
  }
  // What comes by the page is old news that everyone can fetch: it is not
  // passed on.
  const bool page = message.type == MessageType::kSyncReply;
  for (const Gossip& gossip : message.gossip) {
    const bool changed = Apply(gossip, now, actions);
    if (changed && !page) {
      news.Add(gossip);
    }
    page_had_news |= changed && page;
  }
  Spread(message.sender, now, actions);
  table.Heard(message.sender.name, message.sender.incarnation, message.revision,
              now);
  if (!message.payload.empty()) {
    actions.payloads.push_back({message.sender.name, message.payload});
  }
  if (leaving) {
    return;
  }
  NoteDigest(message);
  switch (message.type) {
    case MessageType::kPing:
      Reply(MessageType::kAck, message, actions);
      return;
    case MessageType::kAck:
      OnAck(message, actions);
      break;
    case MessageType::kPingRequest:
      OnPingRequest(message, now, actions);
      break;
    case MessageType::kSyncRequest:
      OnSyncRequest(message, actions);
      return;
    case MessageType::kSyncReply:
      OnSyncReply(message);
      break;
  }
  // A sender that is held for dead learns it from the ping's gossip.
  const Member* sender = table.Find(message.sender.name);
  if (sender != nullptr && sender->state == MemberState::kDead &&
      message.sender.state == MemberState::kAlive) {
    Ping(*sender, actions);
  }
}

void Membership::State::OnAck(const Message& message, Actions& actions) {
  const auto relay = relayed.find(message.nonce);
  if (relay != relayed.end()) {
    Message ack = NewMessage(MessageType::kAck, relay->second.nonce);
    Send(relay->second.requester, "", std::move(ack), actions);
    relayed.erase(relay);
    return;
  }
  probes.erase(message.nonce);
}

void Membership::State::OnPingRequest(const Message& message,
                                      absl::Time now,
                                      Actions& actions) {
  std::erase_if(relayed, [&](const auto& entry) {
    return now - entry.second.sent > kRelayedPingTtl;
  });
  const Member* target = table.Find(message.target);
  if (target == nullptr || relayed.size() >= kMaxRelayedPings) {
    return;
  }
  Ping(*target, actions);
  relayed[last_nonce] = RelayedPing{message.sender.address, message.nonce, now};
}

void Membership::State::OnSyncRequest(const Message& message,
                                      Actions& actions) {
  Message reply = NewMessage(MessageType::kSyncReply, message.nonce);
  std::size_t bytes = 0;
  const auto page = table.Page(message.target, kMaxGossip);
  bool whole = page.size() < kMaxGossip;
  for (const Member* member : page) {
    const Gossip gossip = ToGossip(*member);
    bytes += EncodedBytes(gossip);
    if (bytes > kGossipBytes) {
      whole = false;
      break;
    }
    reply.gossip.push_back(gossip);
  }
  if (!whole) {
    reply.target = reply.gossip.back().name;
  }
  actions.messages.push_back({message.sender.address, std::move(reply)});
}

void Membership::State::OnSyncReply(const Message& message) {
  const bool progress = message.target.empty() || message.target > page_cursor;
  if (!progress) {
    return;
  }
  page_cursor = message.target;
  if (page_cursor.empty()) {
    joining = false;
    page_wanted = false;
  }
}

void Membership::State::NoteDigest(const Message& message) {
  if (message.digest == digest() && !joining) {
    return;
  }
  page_wanted = true;
  page_peer = message.sender.address;
}

void Membership::State::Reply(MessageType type,
                              const Message& to,
                              Actions& actions) {
  Send(to.sender.address, to.sender.name, NewMessage(type, to.nonce), actions);
}

// Takes a statement into the table; whether it changed anything there.
bool Membership::State::Apply(const Gossip& gossip,
                              absl::Time now,
                              Actions& actions) {
  if (gossip.name == self.name) {
    Refute(gossip);
    return false;
  }
  MemberTable::Outcome outcome = table.Merge(gossip, now);
  if (outcome.event) {
    actions.events.push_back(std::move(*outcome.event));
  }
  return outcome.news;
}

// Takes a statement that was learned first-hand and passes it on.
void Membership::State::Spread(const Gossip& gossip,
                               absl::Time now,
                               Actions& actions) {
  if (Apply(gossip, now, actions)) {
    news.Add(gossip);
  }
}

// Statements about this member itself: an equal or newer one that does not say
// "alive", or any from a life of this name that is ahead, calls for a refutal.
void Membership::State::Refute(const Gossip& gossip) {
  const bool ahead = gossip.incarnation > self.incarnation;
  const bool denied = gossip.incarnation == self.incarnation &&
                      gossip.state != MemberState::kAlive;
  if (leaving || (!ahead && !denied)) {
    return;
  }
  RaiseIncarnation(gossip.incarnation);
}

void Membership::State::RaiseIncarnation(Incarnation at_least) {
  if (StartOf(at_least) > StartOf(self.incarnation)) {
    // An earlier process of this name had a clock that was ahead. Peers must
    // still see that this is another process.
    const Incarnation leaving_bit = self.incarnation & kLeavingBit;
    self.incarnation =
        ((StartOf(at_least) + 1) << kRefutationBits) | leaving_bit;
  } else {
    self.incarnation = std::max(at_least, self.incarnation) + 1;
  }
  news.Add(ToGossip(self));
}

void Membership::State::BeginLeave() {
  if (self.leaving()) {
    return;
  }
  self.incarnation |= kLeavingBit;
  urgent_news = true;
  news.Add(ToGossip(self));
}

void Membership::State::Leave(absl::Time now, Actions& actions) {
  leaving = true;
  self.state = MemberState::kLeft;
  TellLeave(now, actions);
}

// Repeated while the daemon still ticks, as any of these messages may be lost.
void Membership::State::TellLeave(absl::Time now, Actions& actions) {
  next_probe = now + Jitter(options.probe_interval);
  std::vector<const Member*> live = table.Live();
  KeepRandom(live, kLeaveFanout, random);
  for (const Member* member : live) {
    Ping(*member, actions);
  }
}

Message Membership::State::NewMessage(MessageType type,
                                      std::uint64_t nonce) const {
  Message message;
  message.type = type;
  message.nonce = nonce;
  message.sender = ToGossip(self);
  message.revision = self.revision;
  message.digest = digest();
  message.payload = payload;
  return message;
}

void Membership::State::Send(const Endpoint& to,
                             std::string_view to_name,
                             Message message,
                             Actions& actions) {
  const Member* receiver = table.Find(to_name);
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    message.gossip.push_back(ToGossip(*receiver));
  }
  news.Take(kGossipPerProbe, kGossipBytes, gossip_limit(), to_name,
            message.gossip);
  actions.messages.push_back({to, std::move(message)});
}

void Membership::State::Ping(const Member& member, Actions& actions) {
  Send(member.address, member.name, NewMessage(MessageType::kPing, NextNonce()),
       actions);
}

Result<std::unique_ptr<Membership>> Membership::Make(
    const Options& options,
    absl::Time start,
    std::uint64_t random_seed) {
  if (Status status = Check(options); !status.ok()) {
    return status.error();
  }
  auto state = std::make_unique<State>(options, random_seed);
  state->self.name = options.name;
  state->self.zone = options.zone;
  state->self.address = options.advertise;
  const auto millis = static_cast<std::uint64_t>(
      std::max<std::int64_t>(absl::ToUnixMillis(start), 1));
  state->self.incarnation = millis << kRefutationBits;
  // Nonces of different processes must not meet in a helper's relayed pings.
  state->last_nonce = state->random() >> 32;
  return std::unique_ptr<Membership>(new Membership(std::move(state)));
}

Membership::Membership(std::unique_ptr<State> state)
    : state_(std::move(state)) {}
Membership::~Membership() = default;

void Membership::SetSettingsSeeds(std::span<const Seed> seeds) {
  state_->settings_seeds.assign(seeds.begin(), seeds.end());
}

void Membership::SetPlatformSeeds(std::span<const Seed> seeds) {
  state_->platform_seeds.assign(seeds.begin(), seeds.end());
}

void Membership::SetRevision(std::uint64_t revision) {
  state_->revision_news |= revision > state_->self.revision;
  state_->self.revision = revision;
}

void Membership::SetPayload(std::span<const std::uint8_t> payload) {
  const auto kept = payload.first(std::min(payload.size(), kMaxPayloadBytes));
  state_->payload.assign(kept.begin(), kept.end());
}

Actions Membership::OnTick(absl::Time now) {
  Actions actions;
  state_->Tick(now, actions);
  return actions;
}

Actions Membership::OnMessage(const Endpoint& /*from*/,
                              const Message& message,
                              absl::Time now) {
  Actions actions;
  state_->Receive(message, now, actions);
  return actions;
}

void Membership::BeginLeave() {
  state_->BeginLeave();
}

Actions Membership::Leave(absl::Time now) {
  Actions actions;
  state_->Leave(now, actions);
  return actions;
}

std::vector<Member> Membership::members() const {
  return state_->table.All();
}

std::optional<Member> Membership::Find(std::string_view name) const {
  const Member* member = state_->table.Find(name);
  return member == nullptr ? std::nullopt : std::optional(*member);
}

std::size_t Membership::live_count() const {
  return state_->table.live_count();
}

Member Membership::self() const {
  return state_->self;
}

}  // namespace gcw::membership
