#include "src/routing/exchange.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gcw::routing {

namespace {

// Content of one message, about, in bytes.
constexpr std::size_t kMaxContent = 1000;
// Bytes that a stream adds to each message.
constexpr double kFrameBytes = 9;
// A peer that was not heard for this long no longer holds up a sync.
constexpr absl::Duration kPeerSilent = absl::Seconds(3);
// A lost message makes this daemon ask again at most this often.
constexpr absl::Duration kSyncInterval = absl::Seconds(5);

}  // namespace

Exchange::Exchange(const RouterOptions& options) : options_(options) {}

void Exchange::Apply(std::span<const Member> members, absl::Time now) {
  std::vector<std::unique_ptr<Peer>> next;
  for (const Member& member : members) {
    if (member.name == options_.self) {
      continue;
    }
    const auto old = std::find_if(
        peers_.begin(), peers_.end(),
        [&](const auto& p) { return p != nullptr && p->name == member.name; });
    if (old != peers_.end()) {
      next.push_back(std::move(*old));
    } else {
      next.push_back(std::make_unique<Peer>());
      next.back()->name = member.name;
      next.back()->owes_sync = sync_request_ != 0;
    }
    next.back()->state = member.state;
  }
  peers_ = std::move(next);
  by_name_.clear();
  for (const auto& peer : peers_) {
    by_name_[peer->name] = peer.get();
  }
  NoteDone(now);
}

void Exchange::RequestSync(absl::Time now) {
  sync_request_ = ++last_sync_;
  sync_started_ = now;
  sync_again_ = false;
  for (const auto& peer : peers_) {
    peer->owes_sync = true;
    peer->next_hello = now;
  }
  NoteDone(now);
}

std::optional<ControlMessage> Exchange::Receive(
    std::string_view from,
    std::span<const std::uint8_t> bytes,
    absl::Time now) {
  std::optional<ControlMessage> message = Decode(bytes);
  if (!message) {
    ++bad_messages_;
    return std::nullopt;
  }
  Peer* peer = Find(from);
  if (peer == nullptr) {
    // Not a member yet; it says again what matters once it is one.
    return std::nullopt;
  }
  peer->last_heard = now;
  NoteSequence(*peer, *message);
  peer->revision = std::max(peer->revision, message->revision);
  peer->heard = std::max({peer->heard, message->revision, message->heard});
  peer->view = message->view;
  peer->complete = message->complete;
  peer->wanted_sync = message->sync_request;
  Hear(message->revision);
  Hear(message->heard);
  if (message->sync_done != 0 && message->sync_done == sync_request_) {
    peer->owes_sync = false;
    NoteDone(now);
  }
  return message;
}

void Exchange::NoteSequence(Peer& peer, const ControlMessage& message) {
  if (peer.session != message.session) {
    // The peer has started anew: it knows nothing of what we said, and what it
    // sent before this message was lost to us.
    peer.session = message.session;
    sync_again_ |= message.sequence > (message.has_content() ? 1U : 0U);
    peer.sequence_in = message.sequence;
    peer.served_sync = 0;
    peer.revision = 0;
    peer.heard = 0;
    return;
  }
  const std::uint32_t expected =
      peer.sequence_in + (message.has_content() ? 1 : 0);
  if (message.sequence > expected) {
    sync_again_ = true;
  }
  peer.sequence_in = std::max(peer.sequence_in, message.sequence);
}

void Exchange::NoteDone(absl::Time now) {
  if (sync_request_ == 0) {
    return;
  }
  const bool owed = std::any_of(
      peers_.begin(), peers_.end(), [&](const std::unique_ptr<Peer>& peer) {
        const absl::Time seen = std::max(peer->last_heard, sync_started_);
        return peer->owes_sync && now - seen < kPeerSilent;
      });
  if (!owed) {
    sync_request_ = 0;
  }
}

std::string Exchange::TakeSyncRequest() {
  for (const auto& peer : peers_) {
    if (peer->wanted_sync != 0 && peer->wanted_sync != peer->served_sync) {
      peer->served_sync = peer->wanted_sync;
      return peer->name;
    }
  }
  return {};
}

void Exchange::FinishServing(std::string_view peer) {
  Peer* found = Find(peer);
  if (found != nullptr) {
    found->waiting.push_back({Item::Kind::kDone, found->served_sync, 0});
  }
}

void Exchange::Enqueue(std::string_view peer, const Item& item) {
  Peer* found = Find(peer);
  if (found == nullptr) {
    return;
  }
  if (item.kind == Item::Kind::kRecord &&
      !found->waiting_records.insert(item.id).second) {
    return;
  }
  if (item.kind == Item::Kind::kTable) {
    found->waiting.push_front(item);
  } else {
    found->waiting.push_back(item);
  }
}

void Exchange::EnqueueAll(const Item& item) {
  for (const auto& peer : peers_) {
    Enqueue(peer->name, item);
  }
}

void Exchange::Flush(const OwnState& own,
                     ItemSource& source,
                     absl::Time now,
                     std::vector<OutgoingMessage>& out) {
  if (session_ == 0) {
    session_ = static_cast<std::uint64_t>(absl::ToUnixMicros(now));
  }
  const double rate = options_.control_bytes_per_second;
  if (last_flush_ != absl::InfinitePast()) {
    tokens_ += rate * absl::ToDoubleSeconds(now - last_flush_);
  }
  tokens_ = std::min(tokens_, rate / 2);
  last_flush_ = now;
  NoteDone(now);
  if (sync_again_ && now - sync_started_ >= kSyncInterval) {
    RequestSync(now);
  }
  // A peer that is due for a hello goes first, then those with content, in
  // turn.
  for (const auto& peer : peers_) {
    if (peer->next_hello <= now) {
      Compose(*peer, own, source, now, out);
    }
  }
  std::size_t idle = 0;
  while (tokens_ > 0 && idle < peers_.size()) {
    Peer& peer = *peers_[next_peer_++ % peers_.size()];
    idle = peer.waiting.empty() ? idle + 1 : 0;
    if (!peer.waiting.empty()) {
      Compose(peer, own, source, now, out);
    }
  }
}

void Exchange::Compose(Peer& peer,
                       const OwnState& own,
                       ItemSource& source,
                       absl::Time now,
                       std::vector<OutgoingMessage>& out) {
  ControlMessage message;
  message.session = session_;
  message.revision = own.revision;
  message.heard = heard_;
  message.view = own.view;
  message.complete = own.complete;
  message.sync_request = sync_request_;
  std::size_t content = 0;
  while (!peer.waiting.empty() && content < kMaxContent &&
         static_cast<double>(content) < tokens_) {
    const Item item = peer.waiting.front();
    peer.waiting.pop_front();
    if (item.kind == Item::Kind::kRecord) {
      peer.waiting_records.erase(item.id);
    }
    if (item.kind == Item::Kind::kDone) {
      message.sync_done = static_cast<std::uint32_t>(item.id);
      content += 1;
      continue;
    }
    content += source.Append(item, message);
  }
  if (message.has_content()) {
    ++peer.sequence_out;
  }
  message.sequence = peer.sequence_out;
  peer.next_hello = now + options_.hello_interval;
  OutgoingMessage encoded;
  encoded.to = peer.name;
  encoded.bytes = Encode(message);
  const double size = static_cast<double>(encoded.bytes.size()) + kFrameBytes;
  tokens_ -= size;
  bytes_sent_ += static_cast<std::uint64_t>(size);
  ++messages_sent_;
  out.push_back(std::move(encoded));
}

void Exchange::Hear(config::Version revision) {
  heard_ = std::max(heard_, revision);
}

config::Version Exchange::heard_by_all(config::Version own) const {
  config::Version lowest = own;
  for (const auto& peer : peers_) {
    lowest = std::min(lowest, peer->heard);
  }
  return lowest;
}

absl::Time Exchange::FreshUntil() const {
  std::vector<absl::Time> heard;
  heard.reserve(peers_.size());
  for (const auto& peer : peers_) {
    heard.push_back(peer->last_heard);
  }
  if (heard.empty()) {
    return absl::InfiniteFuture();
  }
  const auto middle =
      heard.begin() + static_cast<std::ptrdiff_t>((heard.size() - 1) / 2);
  std::nth_element(heard.begin(), middle, heard.end(), std::greater<>());
  return *middle + options_.freshness_bound;
}

bool Exchange::Heard(std::string_view peer, absl::Time now) const {
  const Peer* found = Find(peer);
  return found != nullptr &&
         now - found->last_heard <= options_.freshness_bound;
}

config::Version Exchange::RevisionOf(std::string_view peer) const {
  const Peer* found = Find(peer);
  return found == nullptr ? 0 : found->revision;
}

bool Exchange::Quiet(std::uint32_t view) const {
  return std::all_of(
      peers_.begin(), peers_.end(), [&](const std::unique_ptr<Peer>& peer) {
        const bool gone = peer->state == MemberState::kLeaving;
        return gone ||
               (peer->waiting.empty() && peer->view == view && peer->complete);
      });
}

Exchange::Peer* Exchange::Find(std::string_view name) {
  const auto found = by_name_.find(absl::string_view(name.data(), name.size()));
  return found == by_name_.end() ? nullptr : found->second;
}

const Exchange::Peer* Exchange::Find(std::string_view name) const {
  const auto found = by_name_.find(absl::string_view(name.data(), name.size()));
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace gcw::routing
