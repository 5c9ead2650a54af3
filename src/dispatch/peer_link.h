#ifndef GCW_DISPATCH_PEER_LINK_H_
#define GCW_DISPATCH_PEER_LINK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gcw/dispatch/peer_messages.h"
#include "src/dispatch/outbox.h"

namespace gcw::dispatch {

// Reliable messages between the dispatchers of the daemons. Retransmits each
// message until it is acknowledged and delivers it at most once for each start
// (boot id) of the receiver. Not thread-safe.
class PeerLink {
 public:
  // A message that has not been acknowledged within kOverdueAfter. It is still
  // being retransmitted, and the receiver may have received it.
  struct Overdue {
    std::string member;
    PeerBody body;
  };

  // `outbox` must outlive the link. `boot_id` identifies this start of the
  // daemon and `first_sequence` is the sequence number of the first message;
  // neither is 0.
  PeerLink(std::string self,
           std::uint64_t boot_id,
           std::uint64_t first_sequence,
           Outbox& outbox);

  // Sends a message until it is acknowledged or `expires`. A message to this
  // daemon itself goes to TakeLocal instead. With `bind_to_boot`, only the
  // current start of the receiver accepts the message, not a later one.
  void Send(const std::string& member,
            PeerBody body,
            absl::Time now,
            absl::Time expires,
            bool bind_to_boot = false);

  // Sends a message once on the control channel, without acknowledgement.
  void SendControl(const std::string& member, PeerBody body);

  // Handles a received message: acknowledges it if it has a sequence number,
  // and returns whether its body is new and meant for this start of this
  // daemon.
  bool Accept(const std::string& member,
              const PeerMessage& message,
              absl::Time now);

  // The boot id in the last message from `member`; 0 if there was none or the
  // member is gone.
  std::uint64_t BootIdOf(std::string_view member) const;

  // Members whose boot id changed since the last call.
  std::vector<std::string> TakeRestarted();

  // Messages that this daemon sent to itself since the last call.
  std::vector<PeerBody> TakeLocal() { return std::exchange(local_, {}); }

  // Retransmits the unacknowledged messages whose retransmission interval has
  // passed, drops expired messages, and returns the messages that have become
  // overdue since the last call.
  std::vector<Overdue> OnTick(absl::Time now);

  // When the next message is to be retransmitted or expires; InfiniteFuture if
  // no message waits for an acknowledgement.
  absl::Time NextTick() const;

  // Forgets the boot id of a member that is gone and drops its pending
  // messages.
  void Forget(const std::string& member);

  // Whether no message waits for an acknowledgement.
  bool idle() const { return pending_.empty(); }

 private:
  // A message that has not been acknowledged yet.
  struct Pending {
    std::string member;
    PeerMessage message;
    absl::Time sent;
    absl::Time due;
    absl::Time expires;
    absl::Duration interval;
    bool overdue = false;
  };
  // What was received from one member. `sequences` holds the arrival time of
  // each sequence number, and `order` the numbers in order of arrival.
  struct PeerState {
    std::uint64_t boot_id = 0;
    absl::flat_hash_map<std::uint64_t, absl::Time> sequences;
    std::deque<std::uint64_t> order;
  };

  void Acknowledge(const std::string& member, const PeerMessage& message);
  void UpdateBootId(const std::string& member, std::uint64_t boot_id);
  // Returns whether `sequence` is new, and remembers it for kSequenceRetention.
  static bool RecordSequence(PeerState& peer,
                             std::uint64_t sequence,
                             absl::Time now);

  std::string self_;
  std::uint64_t boot_id_;
  std::uint64_t next_sequence_;
  Outbox& outbox_;
  std::map<std::uint64_t, Pending> pending_;
  absl::flat_hash_map<std::string, PeerState> peers_;
  std::vector<std::string> restarted_;
  std::vector<PeerBody> local_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_PEER_LINK_H_
