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

// News is passed on this many times the logarithm of the number of members.
inline constexpr int kGossipFactor = 2;

struct Probe {
  std::string target;
  absl::Time sent;
  bool indirect = false;
};

// A ping sent because `requester` could not reach its target.
struct RelayedPing {
  Endpoint requester;
  std::uint64_t nonce = 0;
  absl::Time sent;
};

// What a Membership knows and does. The periodic work and the handling of
// messages are in a file each.
struct Membership::State {
  State(const Options& o, std::uint64_t seed)
      : options(o), random(seed), order(options, random) {}

  // Inputs.
  void Tick(absl::Time now, Actions& actions);
  void Receive(const Message& message, absl::Time now, Actions& actions);
  void BeginLeave();
  void Leave(absl::Time now, Actions& actions);

  // Periodic work.
  void NoticePause(absl::Time now);
  void ExpireProbes(absl::Time now, Actions& actions);
  void ExpireSuspicions(absl::Time now, Actions& actions);
  void TellLeave(absl::Time now, Actions& actions);
  void ForgetDead(absl::Time now);
  void ProbeNext(absl::Time now, Actions& actions);
  void TellSuspects(Actions& actions);
  bool IsUnknown(const Seed& seed) const;
  void ContactSeed(absl::Time now, Actions& actions);
  void FetchPage(absl::Time now, Actions& actions);
  void TellNews(absl::Time now, Actions& actions);

  // Messages.
  void OnAck(const Message& message, Actions& actions);
  void OnPingRequest(const Message& message, absl::Time now, Actions& actions);
  void OnSyncRequest(const Message& message, Actions& actions);
  void OnSyncReply(const Message& message);
  void NoteDigest(const Message& message);
  void Reply(MessageType type, const Message& to, Actions& actions);

  // Statements.
  bool Apply(const MemberUpdate& gossip, absl::Time now, Actions& actions);
  MemberUpdate Doubt(const MemberUpdate& gossip, absl::Time now) const;
  void Revive(const MemberUpdate& sender, absl::Time now, Actions& actions);
  void Spread(const MemberUpdate& gossip, absl::Time now, Actions& actions);
  void Refute(const MemberUpdate& gossip);
  void RaiseIncarnation(Incarnation at_least);

  // Sending.
  Message NewMessage(MessageType type, std::uint64_t nonce) const;
  void Send(const Endpoint& to,
            std::string_view to_name,
            Message message,
            Actions& actions);
  void Ping(const Member& member, Actions& actions);

  std::uint32_t digest() const {
    return table.digest() ^ DigestOf(self.name, self.incarnation);
  }
  int gossip_limit() const {
    const auto members = static_cast<double>(table.live_count() + 2);
    return kGossipFactor * static_cast<int>(std::ceil(std::log2(members)));
  }
  absl::Duration suspicion_time() const {
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
  GossipQueue news;
  ProbeOrder order;
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedPing> relayed;
  std::vector<Seed> settings_seeds;
  std::vector<Seed> platform_seeds;
  std::vector<std::uint8_t> payload;
  std::uint64_t last_nonce = 0;

  bool leaving = false;
  bool urgent_news = false;
  bool revision_news = false;
  bool joining = true;
  bool page_wanted = false;
  bool page_had_news = false;
  Endpoint page_peer;
  std::string page_cursor;

  absl::Time last_tick = absl::InfinitePast();
  absl::Time first_tick = absl::InfinitePast();
  absl::Time next_probe = absl::InfinitePast();
  absl::Time next_contact = absl::InfinitePast();
  absl::Time next_page = absl::InfinitePast();
  absl::Time next_forget = absl::InfinitePast();
  absl::Time next_news = absl::InfinitePast();
  absl::Time next_revision = absl::InfinitePast();
};

}  // namespace gcw::membership

#endif  // GCW_SRC_MEMBERSHIP_MEMBERSHIP_STATE_H_
