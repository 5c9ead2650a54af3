#include "src/routing/exchange.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gcw::routing {

namespace {

// Content of one message, about, in bytes.
constexpr std::size_t kMaxContent = 1000;
// Items that are sent without waiting for a full message.
constexpr std::size_t kFewItems = 8;
// Budget that must be there for a message of many items, in bytes.
constexpr double kBulkBytes = 800;
// Bytes that a stream adds to each message.
constexpr double kFrameBytes = 9;
// A peer that was not heard for this long no longer holds up a sync.
constexpr absl::Duration kPeerSilent = absl::Seconds(3);
// A lost message makes this daemon ask again at most this often.
constexpr absl::Duration kSyncInterval = absl::Seconds(5);

}  // namespace

Exchange::Exchange(const RouterOptions& options) : options_(options) {}

void Exchange::Apply(std::span<const Member> members, absl::Time now) {
  if (origin_ == absl::InfinitePast()) {
    origin_ = now - absl::Milliseconds(1);
  }
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
      next.back()->session_out =
          static_cast<std::uint64_t>(absl::ToUnixMicros(now)) + ++sessions_;
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

void Exchange::RequestSync(bool all, absl::Time now) {
  sync_all_ = all || (sync_all_ && syncing());
  sync_request_ = ++last_sync_;
  sync_started_ = now;
  sync_again_ = false;
  for (const auto& peer : peers_) {
    peer->owes_sync = true;
  }
  HelloSoon(now);
  NoteDone(now);
}

void Exchange::HelloSoon(absl::Time now) {
  for (const auto& peer : peers_) {
    peer->next_hello = std::min(peer->next_hello, now);
  }
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
  // An echo from before this daemon started anew tells nothing.
  if (message->echo != 0 && message->echo <= ClockAt(now)) {
    peer->answered =
        std::max(peer->answered, origin_ + absl::Milliseconds(message->echo));
  }
  NoteSequence(*peer, *message);
  peer->revision = std::max(peer->revision, message->revision);
  peer->heard = std::max({peer->heard, message->revision, message->heard});
  peer->view = message->view;
  peer->complete = message->complete;
  peer->wanted_sync = message->sync_request;
  peer->wants_all = message->sync_all;
  peer->clock = std::max(peer->clock, message->clock);
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
    peer.needs_all = true;
    peer.revision = 0;
    peer.heard = 0;
    peer.clock = 0;
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

std::string Exchange::TakeSyncRequest(std::uint32_t view) {
  for (const auto& peer : peers_) {
    if (peer->wanted_sync == 0 || peer->wanted_sync == peer->served_sync ||
        peer->view != view) {
      continue;
    }
    peer->served_sync = peer->wanted_sync;
    if (peer->wants_all || peer->needs_all) {
      return peer->name;
    }
    FinishServing(peer->name);
  }
  return {};
}

void Exchange::FinishServing(std::string_view peer) {
  Peer* found = Find(peer);
  if (found != nullptr) {
    found->needs_all = false;
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
  if (origin_ == absl::InfinitePast()) {
    origin_ = now - absl::Milliseconds(1);
  }
  const double rate = options_.control_bytes_per_second;
  if (last_flush_ != absl::InfinitePast()) {
    tokens_ += rate * absl::ToDoubleSeconds(now - last_flush_);
  }
  tokens_ = std::min(tokens_, rate / 2);
  last_flush_ = now;
  NoteDone(now);
  if (sync_again_ && now - sync_started_ >= kSyncInterval) {
    RequestSync(true, now);
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
    // Much goes in full messages, a little at once.
    const bool much = peer.waiting.size() > kFewItems;
    const bool due = !peer.waiting.empty() && (!much || tokens_ >= kBulkBytes);
    idle = due ? 0 : idle + 1;
    if (due) {
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
  message.session = peer.session_out;
  message.revision = own.revision;
  message.heard = heard_;
  message.view = own.view;
  message.complete = own.complete;
  message.sync_request = sync_request_;
  message.sync_all = sync_all_;
  message.clock = ClockAt(now);
  message.echo = peer.clock;
  std::size_t content = 0;
  const bool much = peer.waiting.size() > kFewItems;
  const std::size_t limit = !much || tokens_ >= kBulkBytes ? kMaxContent : 0;
  while (!peer.waiting.empty() && content < limit) {
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

std::uint32_t Exchange::ClockAt(absl::Time now) const {
  return static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - origin_));
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
    heard.push_back(peer->answered);
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

bool Exchange::Complete(std::string_view peer) const {
  const Peer* found = Find(peer);
  return found != nullptr && found->complete;
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
