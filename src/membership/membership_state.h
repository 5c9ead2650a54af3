#ifndef GCW_SRC_MEMBERSHIP_MEMBERSHIP_STATE_H_
#define GCW_SRC_MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gcw/membership/membership.h"
#include "src/membership/gossip_queue.h"
#include "src/membership/member_table.h"
#include "src/membership/probe_order.h"

namespace gcw::membership {

// An update is gossiped this many times the binary logarithm of the number of
// members.
inline constexpr int kRetransmitFactor = 2;

// A probe that is not answered yet.
struct Probe {
  std::string target;
  absl::Time sent;
  bool indirect = false;  // Other members were asked to probe the target too.
};

// A ping that was sent on behalf of `requester`, whose own probe of the target
// was not answered. `nonce` identifies that probe.
struct RelayedPing {
  Endpoint requester;
  std::uint64_t nonce = 0;
  absl::Time sent;
};

// The state and logic of a Membership. Periodic work is implemented in
// membership_timers.cc, message handling in membership_messages.cc.
struct Membership::State {
  State(const Options& o, std::uint64_t seed)
      : options(o), random(seed), probe_order(options, random) {}

  // Inputs.
  void Tick(absl::Time now, Actions& actions);
  void Receive(const Message& message, absl::Time now, Actions& actions);
  void BeginLeave();
  void Leave(absl::Time now, Actions& actions);

  // Periodic work.
  void HandlePause(absl::Time now);
  void ExpireProbes(absl::Time now, Actions& actions);
  void ExpireSuspicions(absl::Time now, Actions& actions);
  void AnnounceLeave(absl::Time now, Actions& actions);
  void RemoveExpiredMembers(absl::Time now);
  void ProbeNextMember(absl::Time now, Actions& actions);
  void PingSuspects(Actions& actions);
  bool IsUnknownSeed(const Seed& seed) const;
  void PingSeedOrDeadMember(absl::Time now, Actions& actions);
  void FetchMemberPage(absl::Time now, Actions& actions);
  void SendUrgentUpdates(absl::Time now, Actions& actions);

  // Messages.
  void OnAck(const Message& message, Actions& actions);
  void OnPingRequest(const Message& message, absl::Time now, Actions& actions);
  void OnSyncRequest(const Message& message, Actions& actions);
  void OnSyncReply(const Message& message);
  void CompareDigest(const Message& message);
  void Reply(MessageType type, const Message& to, Actions& actions);

  // Member updates.
  bool ApplyUpdate(const MemberUpdate& update,
                   absl::Time now,
                   Actions& actions);
  MemberUpdate DowngradeRecentDeath(const MemberUpdate& update,
                                    absl::Time now) const;
  void Revive(const MemberUpdate& sender, absl::Time now, Actions& actions);
  void ApplyAndGossip(const MemberUpdate& update,
                      absl::Time now,
                      Actions& actions);
  void Refute(const MemberUpdate& update);
  void RaiseIncarnation(Incarnation at_least);

  // Sending.
  Message NewMessage(MessageType type, std::uint64_t nonce) const;
  void Send(const Endpoint& to,
            std::string_view to_name,
            Message message,
            Actions& actions);
  void Ping(const Member& member, Actions& actions);

  // The digest of all live members, including this daemon.
  std::uint32_t digest() const {
    return table.digest() ^ MemberDigest(self.name, self.incarnation);
  }
  // How many times each update is gossiped.
  int retransmit_limit() const {
    const auto members = static_cast<double>(table.live_count() + 2);
    return kRetransmitFactor * static_cast<int>(std::ceil(std::log2(members)));
  }
  // The suspicion timeout for the current number of members.
  absl::Duration scaled_suspicion_timeout() const {
    const auto members = static_cast<double>(table.live_count() + 1);
    return options.suspicion_timeout * std::max(1.0, std::log10(members));
  }
  absl::Duration Jitter(absl::Duration duration) {
    std::uniform_real_distribution<double> factor(0.9, 1.1);
    return duration * factor(random);
  }
  std::uint64_t NextNonce() { return ++last_nonce; }

  const Options options;
  std::mt19937_64 random;
  Member self;
  MemberTable table;
  GossipQueue gossip_queue;
  ProbeOrder probe_order;
  // Keyed by the nonces of the pings that this daemon sent.
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedPing> relayed_pings;
  std::vector<Seed> settings_seeds;
  std::vector<Seed> platform_seeds;
  std::vector<std::uint8_t> payload;
  std::uint64_t last_nonce = 0;

  bool leaving = false;  // Leave was called.
  bool urgent_update_pending = false;
  bool revision_update_pending = false;

  // Synchronization of the member list, page by page, from `page_peer`.
  // `joining` holds until the first list is complete; `page_cursor` is the last
  // name of the previous page.
  bool joining = true;
  bool page_needed = false;
  bool page_had_changes = false;
  Endpoint page_peer;
  std::string page_cursor;

  absl::Time last_tick = absl::InfinitePast();
  absl::Time first_tick = absl::InfinitePast();
  absl::Time next_probe_time = absl::InfinitePast();
  absl::Time next_contact_time = absl::InfinitePast();
  absl::Time next_page_time = absl::InfinitePast();
  absl::Time next_removal_time = absl::InfinitePast();
  absl::Time next_urgent_time = absl::InfinitePast();
  absl::Time next_revision_time = absl::InfinitePast();
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_MEMBERSHIP_STATE_H_
