#include "src/dispatch/peer_link.h"

#include <algorithm>

namespace gcw::dispatch {
namespace {

// The interval between retransmissions doubles from the first to the maximum.
constexpr absl::Duration kFirstInterval = absl::Milliseconds(20);
constexpr absl::Duration kMaxInterval = absl::Milliseconds(320);
// Time without an acknowledgement after which the sender of a message may
// choose another daemon instead of the receiver.
constexpr absl::Duration kOverdueAfter = absl::Milliseconds(70);
// How long received sequence numbers are kept to detect duplicates.
constexpr absl::Duration kSequenceRetention = absl::Seconds(60);

}  // namespace

PeerLink::PeerLink(std::string self,
                   std::uint64_t boot_id,
                   std::uint64_t first_sequence,
                   Outbox& outbox)
    : self_(std::move(self)),
      boot_id_(boot_id),
      next_sequence_(first_sequence),
      outbox_(outbox) {}

void PeerLink::Send(const std::string& member,
                    PeerBody body,
                    absl::Time now,
                    absl::Time expires,
                    bool bind_to_boot) {
  if (member == self_) {
    local_.push_back(std::move(body));
    return;
  }
  const std::uint64_t sequence = next_sequence_++;
  const std::uint64_t receiver_boot_id = bind_to_boot ? BootIdOf(member) : 0;
  Pending pending{
      member,
      PeerMessage{sequence, boot_id_, receiver_boot_id, std::move(body)},
      now,
      now + kFirstInterval,
      expires,
      kFirstInterval,
      false};
  outbox_.ToPeer(member, Channel::kData, pending.message);
  pending_.emplace(sequence, std::move(pending));
}

void PeerLink::SendControl(const std::string& member, PeerBody body) {
  if (member != self_) {
    outbox_.ToPeer(member, Channel::kControl,
                   PeerMessage{0, boot_id_, 0, std::move(body)});
  }
}

bool PeerLink::Accept(const std::string& member,
                      const PeerMessage& message,
                      absl::Time now) {
  UpdateBootId(member, message.sender_boot_id);
  if (message.receiver_boot_id != 0 && message.receiver_boot_id != boot_id_) {
    return false;
  }
  if (const auto* ack = std::get_if<PeerAck>(&message.body)) {
    pending_.erase(ack->sequence);
    return false;
  }
  if (message.sequence == 0) {
    return true;
  }
  Acknowledge(member, message);
  return RecordSequence(peers_[member], message.sequence, now);
}

void PeerLink::Acknowledge(const std::string& member,
                           const PeerMessage& message) {
  outbox_.ToPeer(member, Channel::kData,
                 PeerMessage{0, boot_id_, message.sender_boot_id,
                             PeerAck{message.sequence}});
}

bool PeerLink::RecordSequence(PeerState& peer,
                              std::uint64_t sequence,
                              absl::Time now) {
  while (!peer.order.empty() &&
         peer.sequences[peer.order.front()] < now - kSequenceRetention) {
    peer.sequences.erase(peer.order.front());
    peer.order.pop_front();
  }
  if (!peer.sequences.emplace(sequence, now).second) {
    return false;
  }
  peer.order.push_back(sequence);
  return true;
}

void PeerLink::UpdateBootId(const std::string& member, std::uint64_t boot_id) {
  PeerState& peer = peers_[member];
  if (peer.boot_id == boot_id) {
    return;
  }
  const bool restarted = peer.boot_id != 0;
  peer.boot_id = boot_id;
  if (!restarted) {
    return;
  }
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.member == member &&
           entry.second.message.receiver_boot_id != 0;
  });
  restarted_.push_back(member);
}

std::uint64_t PeerLink::BootIdOf(std::string_view member) const {
  if (member == self_) {
    return boot_id_;
  }
  const auto it = peers_.find(std::string(member));
  return it == peers_.end() ? 0 : it->second.boot_id;
}

std::vector<std::string> PeerLink::TakeRestarted() {
  return std::exchange(restarted_, {});
}

std::vector<PeerLink::Overdue> PeerLink::OnTick(absl::Time now) {
  std::vector<Overdue> overdue;
  std::erase_if(pending_,
                [&](const auto& entry) { return entry.second.expires <= now; });
  for (auto& [sequence, pending] : pending_) {
    if (pending.due > now) {
      continue;
    }
    outbox_.ToPeer(pending.member, Channel::kData, pending.message);
    pending.interval = std::min(2 * pending.interval, kMaxInterval);
    pending.due = now + pending.interval;
    if (!pending.overdue && now - pending.sent >= kOverdueAfter) {
      pending.overdue = true;
      overdue.push_back({pending.member, pending.message.body});
    }
  }
  return overdue;
}

absl::Time PeerLink::NextTick() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [sequence, pending] : pending_) {
    next = std::min({next, pending.due, pending.expires});
  }
  return next;
}

void PeerLink::Forget(const std::string& member) {
  peers_[member].boot_id = 0;
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.member == member;
  });
}

}  // namespace gcw::dispatch
