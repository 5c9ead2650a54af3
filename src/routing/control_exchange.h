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

// One thing to tell one peer; looked up when it is sent, so that what waits
// is small and never stale.
struct OutgoingItem {
  enum class Kind : std::uint8_t {
    kTable,
    kDeviation,
    kRecord,
    kClosed,
    kSyncDone
  };

  Kind kind = Kind::kRecord;
  std::uint64_t id = 0;      // Flow key, service or sync number.
  std::uint64_t detail = 0;  // Revision of a table, server.
};

// Turns items into parts of messages.
class ItemSource {
 public:
  virtual ~ItemSource() = default;

  // Adds what `item` names to `message`, or nothing if it is gone. Returns the
  // bytes that it added, about.
  virtual std::size_t AppendItem(const OutgoingItem& item,
                                 ControlMessage& message) = 0;
};

// The state of this daemon that each message begins with.
struct LocalState {
  config::Version revision = 0;
  std::uint32_t view_hash = 0;
  bool records_complete = false;
};

// Control messages to and from the peers: what waits, what was heard, which
// messages were lost, and the copying of records to a daemon that asks
// ("sync"). Bounded in bytes a second. Not thread-safe.
class ControlExchange {
 public:
  explicit ControlExchange(const RouterOptions& options);

  // Replaces the peers; `members` may contain this daemon.
  void Apply(std::span<const Member> members, absl::Time now);

  // Asks all peers for what this daemon should hold: `all` of it, or only what
  // waits for it.
  void RequestSync(bool all, absl::Time now);
  // Makes every peer due to hear from this daemon.
  void ScheduleHellos(absl::Time now);
  bool syncing() const { return sync_request_ != 0; }

  // Takes a message in. Returns it if it is well-formed and from a peer.
  std::optional<ControlMessage> Receive(std::string_view from,
                                        std::span<const std::uint8_t> bytes,
                                        absl::Time now);

  // A peer that asked for all records and must be served now, or an empty
  // name. Only one with the same view of the members is served, since its
  // duties follow from that. The caller enqueues what is due, then calls
  // FinishServing.
  std::string TakePeerToSync(std::uint32_t view_hash);
  void FinishSync(std::string_view peer);

  void Enqueue(std::string_view peer, const OutgoingItem& item);
  void EnqueueAll(const OutgoingItem& item);

  // Writes the messages that are due, within the budget.
  void Flush(const LocalState& own,
             ItemSource& source,
             absl::Time now,
             std::vector<OutgoingMessage>& out);

  // Notes a revision that a peer has.
  void NoteRevision(config::Version revision);

  // The highest revision heard of.
  config::Version highest_known_revision() const {
    return highest_known_revision_;
  }
  // The highest revision that every peer is known to have heard of.
  config::Version revision_known_by_all(config::Version own) const;
  // Until when at least half of the peers are known to have heard this daemon,
  // and told it what they knew, within the bound.
  absl::Time FreshUntil() const;
  // Whether `peer` was heard within the bound.
  bool HeardRecently(std::string_view peer, absl::Time now) const;
  // Whether `peer` last said that it waits for no records.
  bool HasAllRecords(std::string_view peer) const;
  // The revision that `peer` last said it has; 0 if it never did.
  config::Version RevisionOf(std::string_view peer) const;
  // Whether nothing waits for anybody and every peer has the view `view` and
  // is complete.
  bool AllPeersCaughtUp(std::uint32_t view_hash) const;

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t messages_sent() const { return messages_sent_; }
  std::uint64_t bad_messages() const { return bad_messages_; }

 private:
  struct Peer {
    std::string name;
    MemberState state = MemberState::kAlive;
    std::deque<OutgoingItem> queue;
    absl::flat_hash_set<FlowKey> queued_records;
    absl::Time next_hello = absl::InfinitePast();
    std::uint32_t sequence_out = 0;
    std::uint64_t session_out = 0;
    // What was heard of it.
    std::uint32_t clock_ms = 0;
    // When this daemon sent what the peer last answered to.
    absl::Time last_echoed_send = absl::InfinitePast();
    absl::Time last_heard = absl::InfinitePast();
    std::uint64_t session = 0;
    std::uint32_t sequence_in = 0;
    config::Version revision = 0;
    config::Version highest_known_revision = 0;
    std::uint32_t view_hash = 0;
    bool records_complete = false;
    // Sync that it asked for, and the last one served.
    std::uint32_t requested_sync = 0;
    std::uint32_t served_sync = 0;
    bool requested_full_sync = false;
    // What waited for it may have been thrown away.
    bool needs_full_sync = true;
    // Whether this daemon still waits for its answer.
    bool sync_outstanding = false;
  };

  Peer* Find(std::string_view name);
  const Peer* Find(std::string_view name) const;
  void CheckSequence(Peer& peer, const ControlMessage& message);
  void UpdateSyncState(absl::Time now);
  std::uint32_t ClockMsAt(absl::Time now) const;
  void Compose(Peer& peer,
               const LocalState& own,
               ItemSource& source,
               absl::Time now,
               std::vector<OutgoingMessage>& out);

  const RouterOptions options_;
  std::vector<std::unique_ptr<Peer>> peers_;
  absl::flat_hash_map<std::string, Peer*> by_name_;
  absl::Time clock_origin_ = absl::InfinitePast();
  std::uint64_t session_count_ = 0;
  config::Version highest_known_revision_ = 0;
  std::uint32_t last_sync_number_ = 0;
  std::uint32_t sync_request_ = 0;
  bool sync_all_ = false;
  bool resync_needed_ = false;
  absl::Time sync_started_ = absl::InfinitePast();
  absl::Time last_flush_ = absl::InfinitePast();
  double budget_bytes_ = 0;
  std::size_t next_peer_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bad_messages_ = 0;
};

}  // namespace gcw::routing

#endif  // GCW_SRC_ROUTING_CONTROL_EXCHANGE_H_
