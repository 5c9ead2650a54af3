#ifndef GCW_SRC_ROUTING_CONTROL_EXCHANGE_H_
#define GCW_SRC_ROUTING_CONTROL_EXCHANGE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "gcw/routing/options.h"
#include "gcw/routing/routing_policy.h"
#include "src/routing/control_message.h"

namespace gcw::routing {

// A reference to something that a peer must be told. The content is looked up
// when the message is sent, so that the queue is small and its content never
// out of date.
struct OutgoingItem {
  // What the item refers to: a table (kTable), a server whose new flows may be
  // placed elsewhere (kDeviation), the record of a flow (kRecord), a closed
  // flow (kClosed), or the end of a sync (kSyncDone).
  enum class Kind : std::uint8_t {
    kTable,
    kDeviation,
    kRecord,
    kClosed,
    kSyncDone
  };

  Kind kind = Kind::kRecord;
  // The service for kTable and kDeviation, the flow key for kRecord and
  // kClosed, the number of the sync for kSyncDone.
  std::uint64_t id = 0;
  // The revision of the table for kTable, the server for kDeviation; otherwise
  // 0.
  std::uint64_t detail = 0;
};

// Looks up the content of items.
class ItemSource {
 public:
  virtual ~ItemSource() = default;

  // Adds the content of `item` to `message`, or nothing if it no longer exists.
  // Returns approximately how many bytes were added.
  virtual std::size_t AppendItem(const OutgoingItem& item,
                                 ControlMessage& message) = 0;
};

// The state of this daemon that each message contains, see ControlMessage.
struct LocalState {
  config::Version revision = 0;
  std::uint32_t view_hash = 0;
  bool records_complete = false;
};

// Exchanges control messages with the peers. Keeps a queue of items for each
// peer, the state that each peer reported, and the progress of syncs, by which
// a daemon asks its peers for the records that it should hold. Detects lost
// messages, and limits the bytes sent per second. Not thread-safe.
class ControlExchange {
 public:
  explicit ControlExchange(const RouterOptions& options);

  // Replaces the peers. `members` may contain this daemon.
  void Apply(std::span<const Member> members, absl::Time now);

  // Asks all peers for the records that this daemon should hold: for all of
  // them, or only for those that are queued for it.
  void RequestSync(bool all, absl::Time now);
  // Makes a message to every peer due at `now`.
  void ScheduleHellos(absl::Time now);
  // Whether the answer of a peer to the last sync request is outstanding.
  bool syncing() const { return sync_request_ != 0; }

  // Processes a message. Returns it if it is well-formed and from a peer.
  std::optional<ControlMessage> Receive(std::string_view from,
                                        std::span<const std::uint8_t> bytes,
                                        absl::Time now);

  // Returns a peer that asked for all records and must be answered now, or an
  // empty name. Only a peer with the same view of the members is answered,
  // since the records that it should hold depend on that. The caller enqueues
  // the records and then calls FinishSync.
  std::string TakePeerToSync(std::uint32_t view_hash);
  // Enqueues the end of the sync that `peer` asked for.
  void FinishSync(std::string_view peer);

  // Enqueues `item` for `peer`. Tables go to the front; a record that is
  // already queued is ignored.
  void Enqueue(std::string_view peer, const OutgoingItem& item);
  // Enqueues `item` for every peer.
  void EnqueueAll(const OutgoingItem& item);

  // Appends the messages that are due to `out`, within the byte budget. Hellos
  // are sent even when the budget is used up.
  void Flush(const LocalState& own,
             ItemSource& source,
             absl::Time now,
             std::vector<OutgoingMessage>& out);

  // Notes that a configuration with this revision exists.
  void NoteRevision(config::Version revision);

  // Highest configuration revision that is known to exist.
  config::Version highest_known_revision() const {
    return highest_known_revision_;
  }
  // Highest revision that this daemon, whose configuration has the revision
  // `own`, and all peers know to exist.
  config::Version revision_known_by_all(config::Version own) const;
  // Returns until when this daemon counts as up to date: at least half of the
  // peers have confirmed a message that this daemon sent no longer than the
  // freshness bound before that time.
  absl::Time FreshUntil() const;
  // Whether a message of `peer` arrived within the freshness bound before
  // `now`.
  bool HeardRecently(std::string_view peer, absl::Time now) const;
  // Whether `peer` last reported that it has all its records.
  bool HasAllRecords(std::string_view peer) const;
  // Returns the configuration revision that `peer` last reported, or 0.
  config::Version RevisionOf(std::string_view peer) const;
  // Whether every peer that is not leaving has an empty queue, the same
  // `view_hash`, and all its records.
  bool AllPeersCaughtUp(std::uint32_t view_hash) const;

  // Totals since the start of this daemon: bytes and messages sent, and
  // messages received that were malformed.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t bad_messages() const { return bad_messages_; }

 private:
  // The state of the exchange with one peer.
  struct Peer {
    std::string name;
    MemberState state = MemberState::kAlive;
    // Items that were not sent yet, and which records are among them.
    std::deque<OutgoingItem> queue;
    absl::flat_hash_set<FlowKey> queued_records;
    absl::Time next_hello = absl::InfinitePast();
    // Number of the last message with content that was sent to the peer.
    std::uint32_t sequence_out = 0;
    // Session number in the messages to this peer.
    std::uint64_t session_out = 0;
    // State that the peer reported, beginning with its clock.
    std::uint32_t clock_ms = 0;
    // When this daemon sent the last message that the peer has confirmed by
    // echoing its clock.
    absl::Time last_echoed_send = absl::InfinitePast();
    absl::Time last_heard = absl::InfinitePast();
    std::uint64_t session = 0;
    // Number of the last message with content that was received from the peer.
    std::uint32_t sequence_in = 0;
    config::Version revision = 0;
    config::Version highest_known_revision = 0;
    std::uint32_t view_hash = 0;
    bool records_complete = false;
    // Number of the sync that the peer asked for, and of the last one answered.
    std::uint32_t requested_sync = 0;
    std::uint32_t served_sync = 0;
    bool requested_full_sync = false;
    // Whether items for the peer may have been discarded, so that the next sync
    // must be a full one.
    bool needs_full_sync = true;
    // Whether the answer of the peer to the sync of this daemon is outstanding.
    bool sync_outstanding = false;
  };

  Peer* Find(std::string_view name);
  const Peer* Find(std::string_view name) const;
  // Detects a restarted peer or lost messages by the session and sequence
  // number of `message`.
  void CheckSequence(Peer& peer, const ControlMessage& message);
  // Ends the sync of this daemon when no answer is outstanding.
  void UpdateSyncState(absl::Time now);
  // Returns the clock of this daemon for ControlMessage::clock_ms.
  std::uint32_t ClockMsAt(absl::Time now) const;
  // Appends one message for `peer` to `out`, with as much of its queue as the
  // budget allows.
  void Compose(Peer& peer,
               const LocalState& own,
               ItemSource& source,
               absl::Time now,
               std::vector<OutgoingMessage>& out);

  const RouterOptions options_;
  std::vector<std::unique_ptr<Peer>> peers_;
  absl::flat_hash_map<std::string, Peer*> by_name_;
  // Time at which ClockMsAt is 0.
  absl::Time clock_origin_ = absl::InfinitePast();
  std::uint64_t session_count_ = 0;
  config::Version highest_known_revision_ = 0;
  std::uint32_t last_sync_number_ = 0;
  // Number of the sync of this daemon that is in progress, or 0.
  std::uint32_t sync_request_ = 0;
  bool sync_all_ = false;
  // Whether a message was lost and a sync must follow.
  bool resync_needed_ = false;
  absl::Time sync_started_ = absl::InfinitePast();
  absl::Time last_flush_ = absl::InfinitePast();
  // Token bucket: bytes that may be sent now.
  double budget_bytes_ = 0;
  // Position of the round-robin over peers with content.
  std::size_t next_peer_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bad_messages_ = 0;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_CONTROL_EXCHANGE_H_
