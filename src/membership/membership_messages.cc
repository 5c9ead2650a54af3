#include "src/membership/membership_state.h"

#include <algorithm>
#include <utility>

namespace gcw::membership {
namespace {

// Limits for the gossip in a message. A message with this many bytes of updates
// has room for the payload and the signature.
constexpr std::size_t kMaxUpdatesPerMessage = 8;
constexpr std::size_t kMaxUpdateBytesPerMessage = 800;
// A ping on behalf of another member is forgotten when another such request
// arrives after this time. An ack that arrives later is not forwarded.
constexpr absl::Duration kRelayedPingTtl = absl::Seconds(3);
// Further ping requests are ignored while this many relayed pings are pending.
constexpr std::size_t kMaxRelayedPings = 1024;

}  // namespace

void Membership::State::Receive(const Message& message,
                                absl::Time now,
                                Actions& actions) {
  if (message.sender.name == self.name) {
    return;
  }
  // The updates in a page of the member list are not new, and all members can
  // fetch them, so they are not gossiped further.
  const bool page = message.type == MessageType::kSyncReply;
  for (const MemberUpdate& update : message.gossip) {
    const bool changed = ApplyUpdate(update, now, actions);
    if (changed && !page) {
      gossip_queue.Add(update);
    }
    page_had_changes |= changed && page;
  }
  ApplyAndGossip(message.sender, now, actions);
  Revive(message.sender, now, actions);
  table.RecordMessage(message.sender.name, message.sender.incarnation,
                      message.revision, now);
  if (!message.payload.empty()) {
    actions.payloads.push_back({message.sender.name, message.payload});
  }
  if (leaving) {
    return;
  }
  CompareDigest(message);
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
  // A sender that is considered dead here may not know that. The ping carries
  // the update about its death, so that the sender can refute the update.
  const Member* sender = table.Find(message.sender.name);
  if (sender != nullptr && sender->state == MemberState::kDead &&
      message.sender.state == MemberState::kAlive) {
    Ping(*sender, actions);
  }
}

void Membership::State::OnAck(const Message& message, Actions& actions) {
  const auto relayed_ping = relayed_pings.find(message.nonce);
  if (relayed_ping != relayed_pings.end()) {
    Message ack = NewMessage(MessageType::kAck, relayed_ping->second.nonce);
    Send(relayed_ping->second.requester, "", std::move(ack), actions);
    relayed_pings.erase(relayed_ping);
    return;
  }
  probes.erase(message.nonce);
}

void Membership::State::OnPingRequest(const Message& message,
                                      absl::Time now,
                                      Actions& actions) {
  std::erase_if(relayed_pings, [&](const auto& entry) {
    return now - entry.second.sent > kRelayedPingTtl;
  });
  const Member* target = table.Find(message.target);
  if (target == nullptr || relayed_pings.size() >= kMaxRelayedPings) {
    return;
  }
  Ping(*target, actions);
  relayed_pings[last_nonce] =
      RelayedPing{message.sender.address, message.nonce, now};
}

void Membership::State::OnSyncRequest(const Message& message,
                                      Actions& actions) {
  Message reply = NewMessage(MessageType::kSyncReply, message.nonce);
  std::size_t bytes = 0;
  const auto page = table.Page(message.target, kMaxUpdates);
  bool last_page = page.size() < kMaxUpdates;
  for (const Member* member : page) {
    const MemberUpdate update = ToUpdate(*member);
    bytes += MaxEncodedBytes(update);
    if (bytes > kMaxUpdateBytesPerMessage) {
      last_page = false;
      break;
    }
    reply.gossip.push_back(update);
  }
  if (!last_page) {
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
    page_needed = false;
  }
}

void Membership::State::CompareDigest(const Message& message) {
  if (message.digest == digest() && !joining) {
    return;
  }
  page_needed = true;
  page_peer = message.sender.address;
}

void Membership::State::Reply(MessageType type,
                              const Message& to,
                              Actions& actions) {
  Send(to.sender.address, to.sender.name, NewMessage(type, to.nonce), actions);
}

// Changes an update that declares a member dead to a suspicion if this daemon
// has heard from the member within the suspicion timeout. The suspicion is sent
// to the member, so that the member can refute it.
MemberUpdate Membership::State::DowngradeRecentDeath(const MemberUpdate& update,
                                                     absl::Time now) const {
  const Member* member = table.Find(update.name);
  MemberUpdate downgraded = update;
  if (member != nullptr && member->live() &&
      update.state == MemberState::kDead &&
      update.incarnation == member->incarnation &&
      now - member->last_heard < scaled_suspicion_timeout()) {
    downgraded.state = MemberState::kSuspect;
  }
  return downgraded;
}

// Changes a dead member to a suspect when a message from it arrives, even
// before the member has refuted its death: the message shows that the member
// runs, and over slow links a refutation takes long.
void Membership::State::Revive(const MemberUpdate& sender,
                               absl::Time now,
                               Actions& actions) {
  const Member* member = table.Find(sender.name);
  if (member == nullptr || member->state != MemberState::kDead ||
      sender.state != MemberState::kAlive ||
      sender.incarnation != member->incarnation) {
    return;
  }
  MemberTable::MergeResult result = table.Revive(sender.name, now);
  if (result.event) {
    actions.events.push_back(std::move(*result.event));
  }
}

// Merges an update into the table, or refutes it if it is about this daemon.
// Returns whether the table changed.
bool Membership::State::ApplyUpdate(const MemberUpdate& update,
                                    absl::Time now,
                                    Actions& actions) {
  if (update.name == self.name) {
    Refute(update);
    return false;
  }
  MemberTable::MergeResult result =
      table.Merge(DowngradeRecentDeath(update, now), now);
  if (result.event) {
    actions.events.push_back(std::move(*result.event));
  }
  return result.changed;
}

// Merges an update that this daemon learned first-hand, and gossips it if it
// changed the table.
void Membership::State::ApplyAndGossip(const MemberUpdate& update,
                                       absl::Time now,
                                       Actions& actions) {
  if (ApplyUpdate(update, now, actions)) {
    gossip_queue.Add(update);
  }
}

// Handles an update about this daemon. Refutes it by raising the incarnation if
// the update has a higher incarnation, for example from an earlier process of
// this name, or the current incarnation with a state other than alive.
void Membership::State::Refute(const MemberUpdate& update) {
  const bool newer = update.incarnation > self.incarnation;
  const bool refutable = update.incarnation == self.incarnation &&
                         update.state != MemberState::kAlive;
  if (leaving || (!newer && !refutable)) {
    return;
  }
  RaiseIncarnation(update.incarnation);
}

void Membership::State::RaiseIncarnation(Incarnation at_least) {
  if (ProcessStart(at_least) > ProcessStart(self.incarnation)) {
    // An earlier process of this name had a clock that was ahead. The process
    // start is raised above that of the earlier process, so that peers
    // recognize a new process.
    const Incarnation leaving_bit = self.incarnation & kLeavingBit;
    self.incarnation =
        ((ProcessStart(at_least) + 1) << kRefutationBits) | leaving_bit;
  } else {
    self.incarnation = std::max(at_least, self.incarnation) + 1;
  }
  gossip_queue.Add(ToUpdate(self));
}

void Membership::State::BeginLeave() {
  if (self.leaving()) {
    return;
  }
  self.incarnation |= kLeavingBit;
  urgent_update_pending = true;
  gossip_queue.Add(ToUpdate(self));
}

Message Membership::State::NewMessage(MessageType type,
                                      std::uint64_t nonce) const {
  Message message;
  message.type = type;
  message.nonce = nonce;
  message.sender = ToUpdate(self);
  message.revision = self.revision;
  message.digest = digest();
  message.payload = payload;
  return message;
}

void Membership::State::Send(const Endpoint& to,
                             std::string_view to_name,
                             Message message,
                             Actions& actions) {
  // A receiver that is not considered alive is told so and can refute it.
  const Member* receiver = table.Find(to_name);
  if (receiver != nullptr && receiver->state != MemberState::kAlive) {
    message.gossip.push_back(ToUpdate(*receiver));
  }
  gossip_queue.Take(kMaxUpdatesPerMessage, kMaxUpdateBytesPerMessage,
                    retransmit_limit(), to_name, message.gossip);
  actions.messages.push_back({to, std::move(message)});
}

void Membership::State::Ping(const Member& member, Actions& actions) {
  Send(member.address, member.name, NewMessage(MessageType::kPing, NextNonce()),
       actions);
}

}  // namespace gcw::membership
