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

// Repeats messages to other daemons until they are acknowledged, and hands
// each message on at most once for each start of the receiver.
// Not thread-safe.
class PeerLink {
 public:
  // A message that has not been acknowledged for kOverdueAfter. It is still
  // being repeated, and the receiver may have it.
  struct Overdue {
    std::string member;
    PeerBody body;
  };

  // `outbox` must outlive the link.
  PeerLink(std::string self,
           std::uint64_t boot_id,
           std::uint64_t first_sequence,
           Outbox& outbox);

  // Sends until acknowledged or `expires`. To this daemon itself: see
  // TakeLocal. `bound` ties the message to the receiver's present start.
  void Send(const std::string& member,
            PeerBody body,
            absl::Time now,
            absl::Time expires,
            bool bind_to_boot = false);

  // Sends once.
  void SendControl(const std::string& member, PeerBody body);

  // Takes a message in: acknowledges it and returns whether its body is new
  // and for this start of this daemon.
  bool Accept(const std::string& member,
              const PeerMessage& message,
              absl::Time now);

  // The start of `member` that was heard last; 0 if none was.
  std::uint64_t BootIdOf(std::string_view member) const;

  // Members whose start changed since the last call, with the former start.
  std::vector<std::string> TakeRestarted();

  // Messages of this daemon to itself since the last call.
  std::vector<PeerBody> TakeLocal() { return std::exchange(local_, {}); }

  // Repeats what is due and returns what has become overdue.
  std::vector<Overdue> OnTick(absl::Time now);

  // When something is to be repeated next.
  absl::Time NextTick() const;

  // Forgets the start of a member that is gone, and what waits for it.
  void Forget(const std::string& member);

  bool idle() const { return pending_.empty(); }

 private:
  struct Pending {
    std::string member;
    PeerMessage message;
    absl::Time sent;
    absl::Time due;
    absl::Time expires;
    absl::Duration interval;
    bool overdue = false;
  };
  struct PeerState {
    std::uint64_t boot_id = 0;
    absl::flat_hash_map<std::uint64_t, absl::Time> sequences;
    std::deque<std::uint64_t> order;
  };

  void Acknowledge(const std::string& member, const PeerMessage& message);
  void UpdateBootId(const std::string& member, std::uint64_t boot_id);
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
