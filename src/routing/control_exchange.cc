#include "src/routing/control_exchange.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gcw::routing {

namespace {

// A message gets no further items once its content has this size.
constexpr std::size_t kMaxContentBytes = 1000;
// A queue of at most this many items is sent at once; a longer one is sent in
// full messages.
constexpr std::size_t kMaxImmediateItems = 8;
// Budget in bytes that a message from a longer queue requires.
constexpr double kMinBulkBudgetBytes = 800;
// Overhead of the transport stream for each message.
constexpr double kFrameBytes = 9;
// A sync no longer waits for a peer from which nothing was received for this
// long.
constexpr absl::Duration kSyncPeerTimeout = absl::Seconds(3);
// Minimum time between two syncs that are started because a message was lost.
constexpr absl::Duration kMinResyncInterval = absl::Seconds(5);

}  // namespace

ControlExchange::ControlExchange(const RouterOptions& options)
    : options_(options) {}

void ControlExchange::Apply(std::span<const Member> members, absl::Time now) {
  if (clock_origin_ == absl::InfinitePast()) {
    clock_origin_ = now - absl::Milliseconds(1);
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
      next.back()->sync_outstanding = sync_request_ != 0;
      next.back()->session_out =
          static_cast<std::uint64_t>(absl::ToUnixMicros(now)) +
          ++session_count_;
    }
    next.back()->state = member.state;
  }
  peers_ = std::move(next);
  by_name_.clear();
  for (const auto& peer : peers_) {
    by_name_[peer->name] = peer.get();
  }
  UpdateSyncState(now);
}

void ControlExchange::RequestSync(bool all, absl::Time now) {
  sync_all_ = all || (sync_all_ && syncing());
  sync_request_ = ++last_sync_number_;
  sync_started_ = now;
  resync_needed_ = false;
  for (const auto& peer : peers_) {
    peer->sync_outstanding = true;
  }
  ScheduleHellos(now);
  UpdateSyncState(now);
}

void ControlExchange::ScheduleHellos(absl::Time now) {
  for (const auto& peer : peers_) {
    peer->next_hello = std::min(peer->next_hello, now);
  }
}

std::optional<ControlMessage> ControlExchange::Receive(
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
    // The sender is not a member yet. It will repeat its state, and sync, once
    // it is.
    return std::nullopt;
  }
  peer->last_heard = now;
  // An echo of the clock from before a restart of this daemon proves nothing.
  if (message->echoed_clock_ms != 0 &&
      message->echoed_clock_ms <= ClockMsAt(now)) {
    peer->last_echoed_send =
        std::max(peer->last_echoed_send,
                 clock_origin_ + absl::Milliseconds(message->echoed_clock_ms));
  }
  CheckSequence(*peer, *message);
  peer->revision = std::max(peer->revision, message->revision);
  peer->highest_known_revision =
      std::max({peer->highest_known_revision, message->revision,
                message->highest_known_revision});
  peer->view_hash = message->view_hash;
  peer->records_complete = message->records_complete;
  peer->requested_sync = message->sync_request;
  peer->requested_full_sync = message->sync_all;
  peer->clock_ms = std::max(peer->clock_ms, message->clock_ms);
  NoteRevision(message->revision);
  NoteRevision(message->highest_known_revision);
  if (message->sync_done != 0 && message->sync_done == sync_request_) {
    peer->sync_outstanding = false;
    UpdateSyncState(now);
  }
  return message;
}

void ControlExchange::CheckSequence(Peer& peer, const ControlMessage& message) {
  if (peer.session != message.session) {
    // The peer has restarted, or has added this daemon as a new peer. It has
    // none of the items sent to it before, and its messages before this one
    // were lost.
    peer.session = message.session;
    resync_needed_ |= message.sequence > (message.has_content() ? 1U : 0U);
    peer.sequence_in = message.sequence;
    peer.served_sync = 0;
    peer.needs_full_sync = true;
    peer.revision = 0;
    peer.highest_known_revision = 0;
    peer.clock_ms = 0;
    return;
  }
  const std::uint32_t expected =
      peer.sequence_in + (message.has_content() ? 1 : 0);
  if (message.sequence > expected) {
    resync_needed_ = true;
  }
  peer.sequence_in = std::max(peer.sequence_in, message.sequence);
}

void ControlExchange::UpdateSyncState(absl::Time now) {
  if (sync_request_ == 0) {
    return;
  }
  const bool outstanding = std::any_of(
      peers_.begin(), peers_.end(), [&](const std::unique_ptr<Peer>& peer) {
        const absl::Time seen = std::max(peer->last_heard, sync_started_);
        return peer->sync_outstanding && now - seen < kSyncPeerTimeout;
      });
  if (!outstanding) {
    sync_request_ = 0;
  }
}

std::string ControlExchange::TakePeerToSync(std::uint32_t view_hash) {
  for (const auto& peer : peers_) {
    if (peer->requested_sync == 0 ||
        peer->requested_sync == peer->served_sync ||
        peer->view_hash != view_hash) {
      continue;
    }
    peer->served_sync = peer->requested_sync;
    if (peer->requested_full_sync || peer->needs_full_sync) {
      return peer->name;
    }
    FinishSync(peer->name);
  }
  return {};
}

void ControlExchange::FinishSync(std::string_view peer) {
  Peer* found = Find(peer);
  if (found != nullptr) {
    found->needs_full_sync = false;
    found->queue.push_back(
        {OutgoingItem::Kind::kSyncDone, found->served_sync, 0});
  }
}

void ControlExchange::Enqueue(std::string_view peer, const OutgoingItem& item) {
  Peer* found = Find(peer);
  if (found == nullptr) {
    return;
  }
  if (item.kind == OutgoingItem::Kind::kRecord &&
      !found->queued_records.insert(item.id).second) {
    return;
  }
  if (item.kind == OutgoingItem::Kind::kTable) {
    found->queue.push_front(item);
  } else {
    found->queue.push_back(item);
  }
}

void ControlExchange::EnqueueAll(const OutgoingItem& item) {
  for (const auto& peer : peers_) {
    Enqueue(peer->name, item);
  }
}

void ControlExchange::Flush(const LocalState& own,
                            ItemSource& source,
                            absl::Time now,
                            std::vector<OutgoingMessage>& out) {
  if (clock_origin_ == absl::InfinitePast()) {
    clock_origin_ = now - absl::Milliseconds(1);
  }
  const double rate = options_.control_bytes_per_second;
  if (last_flush_ != absl::InfinitePast()) {
    budget_bytes_ += rate * absl::ToDoubleSeconds(now - last_flush_);
  }
  budget_bytes_ = std::min(budget_bytes_, rate / 2);
  last_flush_ = now;
  UpdateSyncState(now);
  if (resync_needed_ && now - sync_started_ >= kMinResyncInterval) {
    RequestSync(true, now);
  }
  // Peers that are due for a hello are served first, then peers with content in
  // round-robin order.
  for (const auto& peer : peers_) {
    if (peer->next_hello <= now) {
      Compose(*peer, own, source, now, out);
    }
  }
  std::size_t peers_without_work = 0;
  while (budget_bytes_ > 0 && peers_without_work < peers_.size()) {
    Peer& peer = *peers_[next_peer_++ % peers_.size()];
    // A long queue waits until the budget allows a full message; a short one is
    // sent at once.
    const bool is_bulk = peer.queue.size() > kMaxImmediateItems;
    const bool due = !peer.queue.empty() &&
                     (!is_bulk || budget_bytes_ >= kMinBulkBudgetBytes);
    peers_without_work = due ? 0 : peers_without_work + 1;
    if (due) {
      Compose(peer, own, source, now, out);
    }
  }
}

void ControlExchange::Compose(Peer& peer,
                              const LocalState& own,
                              ItemSource& source,
                              absl::Time now,
                              std::vector<OutgoingMessage>& out) {
  ControlMessage message;
  message.session = peer.session_out;
  message.revision = own.revision;
  message.highest_known_revision = highest_known_revision_;
  message.view_hash = own.view_hash;
  message.records_complete = own.records_complete;
  message.sync_request = sync_request_;
  message.sync_all = sync_all_;
  message.clock_ms = ClockMsAt(now);
  message.echoed_clock_ms = peer.clock_ms;
  std::size_t content = 0;
  const bool is_bulk = peer.queue.size() > kMaxImmediateItems;
  const std::size_t limit =
      !is_bulk || budget_bytes_ >= kMinBulkBudgetBytes ? kMaxContentBytes : 0;
  while (!peer.queue.empty() && content < limit) {
    const OutgoingItem item = peer.queue.front();
    peer.queue.pop_front();
    if (item.kind == OutgoingItem::Kind::kRecord) {
      peer.queued_records.erase(item.id);
    }
    if (item.kind == OutgoingItem::Kind::kSyncDone) {
      message.sync_done = static_cast<std::uint32_t>(item.id);
      content += 1;
      continue;
    }
    content += source.AppendItem(item, message);
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
  budget_bytes_ -= size;
  bytes_sent_ += static_cast<std::uint64_t>(size);
  ++messages_sent_;
  out.push_back(std::move(encoded));
}

std::uint32_t ControlExchange::ClockMsAt(absl::Time now) const {
  return static_cast<std::uint32_t>(
      absl::ToInt64Milliseconds(now - clock_origin_));
}

void ControlExchange::NoteRevision(config::Version revision) {
  highest_known_revision_ = std::max(highest_known_revision_, revision);
}

config::Version ControlExchange::revision_known_by_all(
    config::Version own) const {
  config::Version lowest = own;
  for (const auto& peer : peers_) {
    lowest = std::min(lowest, peer->highest_known_revision);
  }
  return lowest;
}

absl::Time ControlExchange::FreshUntil() const {
  std::vector<absl::Time> echo_times;
  echo_times.reserve(peers_.size());
  for (const auto& peer : peers_) {
    echo_times.push_back(peer->last_echoed_send);
  }
  if (echo_times.empty()) {
    return absl::InfiniteFuture();
  }
  const auto middle = echo_times.begin() +
                      static_cast<std::ptrdiff_t>((echo_times.size() - 1) / 2);
  std::nth_element(echo_times.begin(), middle, echo_times.end(),
                   std::greater<>());
  return *middle + options_.freshness_bound;
}

bool ControlExchange::HeardRecently(std::string_view peer,
                                    absl::Time now) const {
  const Peer* found = Find(peer);
  return found != nullptr &&
         now - found->last_heard <= options_.freshness_bound;
}

bool ControlExchange::HasAllRecords(std::string_view peer) const {
  const Peer* found = Find(peer);
  return found != nullptr && found->records_complete;
}

config::Version ControlExchange::RevisionOf(std::string_view peer) const {
  const Peer* found = Find(peer);
  return found == nullptr ? 0 : found->revision;
}

bool ControlExchange::AllPeersCaughtUp(std::uint32_t view_hash) const {
  return std::all_of(
      peers_.begin(), peers_.end(), [&](const std::unique_ptr<Peer>& peer) {
        const bool gone = peer->state == MemberState::kLeaving;
        return gone || (peer->queue.empty() && peer->view_hash == view_hash &&
                        peer->records_complete);
      });
}

ControlExchange::Peer* ControlExchange::Find(std::string_view name) {
  const auto found = by_name_.find(absl::string_view(name.data(), name.size()));
  return found == by_name_.end() ? nullptr : found->second;
}

const ControlExchange::Peer* ControlExchange::Find(
    std::string_view name) const {
  const auto found = by_name_.find(absl::string_view(name.data(), name.size()));
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace gcw::routing
