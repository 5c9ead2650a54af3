#include "src/membership/membership_state.h"

#include <algorithm>
#include <utility>

namespace gcw::membership {
namespace {

// Gossip of one message. A full page leaves room for payload and signature.
constexpr std::size_t kGossipPerProbe = 8;
constexpr std::size_t kGossipBytes = 800;
// A ping on behalf of another is remembered this long.
constexpr absl::Duration kRelayedPingTtl = absl::Seconds(3);
constexpr std::size_t kMaxRelayedPings = 1024;

}  // namespace

void Membership::State::Receive(const Message& message,
                                absl::Time now,
                                Actions& actions) {
  if (message.sender.name == self.name) {
    return;
  }
  // What comes by the page is old news that everyone can fetch: it is not
  // passed on.
  const bool page = message.type == MessageType::kSyncReply;
  for (const MemberUpdate& gossip : message.gossip) {
    const bool changed = Apply(gossip, now, actions);
    if (changed && !page) {
      news.Add(gossip);
    }
    page_had_news |= changed && page;
  }
  Spread(message.sender, now, actions);
  Revive(message.sender, now, actions);
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
  // A sender that is held for dead, or suspected, learns it from the gossip.
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
  const auto page = table.Page(message.target, kMaxUpdates);
  bool whole = page.size() < kMaxUpdates;
  for (const Member* member : page) {
    const MemberUpdate gossip = ToGossip(*member);
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

// A member that was heard from a moment ago is not dead because somebody says
// so, but it may have to hear that, in order to refute it.
MemberUpdate Membership::State::Doubt(const MemberUpdate& gossip,
                                      absl::Time now) const {
  const Member* member = table.Find(gossip.name);
  MemberUpdate doubted = gossip;
  if (member != nullptr && member->live() &&
      gossip.state == MemberState::kDead &&
      gossip.incarnation == member->incarnation &&
      now - member->last_heard < suspicion_time()) {
    doubted.state = MemberState::kSuspect;
  }
  return doubted;
}

// A message of a member that is held for dead, and has not refuted that yet,
// still shows that it runs. Over slow links a refutation takes long.
void Membership::State::Revive(const MemberUpdate& sender,
                               absl::Time now,
                               Actions& actions) {
  const Member* member = table.Find(sender.name);
  if (member == nullptr || member->state != MemberState::kDead ||
      sender.state != MemberState::kAlive ||
      sender.incarnation != member->incarnation) {
    return;
  }
  MemberTable::Outcome outcome = table.Revive(sender.name, now);
  if (outcome.event) {
    actions.events.push_back(std::move(*outcome.event));
  }
}

// Takes a statement into the table; whether it changed anything there.
bool Membership::State::Apply(const MemberUpdate& gossip,
                              absl::Time now,
                              Actions& actions) {
  if (gossip.name == self.name) {
    Refute(gossip);
    return false;
  }
  MemberTable::Outcome outcome = table.Merge(Doubt(gossip, now), now);
  if (outcome.event) {
    actions.events.push_back(std::move(*outcome.event));
  }
  return outcome.news;
}

// Takes a statement that was learned first-hand and passes it on.
void Membership::State::Spread(const MemberUpdate& gossip,
                               absl::Time now,
                               Actions& actions) {
  if (Apply(gossip, now, actions)) {
    news.Add(gossip);
  }
}

// Statements about this member itself: an equal or newer one that does not say
// "alive", or any from a life of this name that is ahead, calls for a refutal.
void Membership::State::Refute(const MemberUpdate& gossip) {
  const bool ahead = gossip.incarnation > self.incarnation;
  const bool denied = gossip.incarnation == self.incarnation &&
                      gossip.state != MemberState::kAlive;
  if (leaving || (!ahead && !denied)) {
    return;
  }
  RaiseIncarnation(gossip.incarnation);
}

void Membership::State::RaiseIncarnation(Incarnation at_least) {
  if (ProcessStart(at_least) > ProcessStart(self.incarnation)) {
    // An earlier process of this name had a clock that was ahead. Peers must
    // still see that this is another process.
    const Incarnation leaving_bit = self.incarnation & kLeavingBit;
    self.incarnation =
        ((ProcessStart(at_least) + 1) << kRefutationBits) | leaving_bit;
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

}  // namespace gcw::membership
