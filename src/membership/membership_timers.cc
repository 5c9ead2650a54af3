#include "src/membership/membership_state.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gcw::membership {
namespace {

// Numbers of members to which a leave (kLeaveFanout) or another urgent update
// (kUrgentFanout) is sent without waiting for the next probe.
constexpr std::size_t kLeaveFanout = 16;
constexpr std::size_t kUrgentFanout = 4;
// Minimum interval between two rounds of urgent messages.
constexpr absl::Duration kMinUrgentInterval = absl::Milliseconds(200);
// Minimum interval between two rounds that announce a new configuration
// revision, so that frequent changes do not use up the budget for control
// traffic.
constexpr absl::Duration kMinRevisionInterval = absl::Seconds(1);
// Intervals between requests for pages of the member list. The fast interval
// applies while this daemon joins, while pages bring changes, and for
// kStartupDuration after the start; the normal one while only digests differ.
constexpr absl::Duration kFastPageInterval = absl::Milliseconds(100);
constexpr absl::Duration kPageInterval = absl::Seconds(1);
// Pages are fetched at the fast interval for this time after the start. When a
// whole fleet starts, the peers know few members themselves at first, so one
// complete list is not enough.
constexpr absl::Duration kStartupDuration = absl::Seconds(30);
// Interval at which members past their retention time are removed.
constexpr absl::Duration kRemovalInterval = absl::Seconds(5);
// Intervals at which one seed or dead member is pinged: normally, and while
// this daemon knows no live member.
constexpr absl::Duration kContactInterval = absl::Seconds(1);
constexpr absl::Duration kIsolatedContactInterval = absl::Milliseconds(200);
// Number of suspects that are told of their suspicion in each probe interval.
constexpr std::size_t kSuspectsPerProbe = 2;

// Reduces `members` to at most `count` randomly chosen ones.
void ReduceToRandomSample(std::vector<const Member*>& members,
                          std::size_t count,
                          std::mt19937_64& random) {
  std::shuffle(members.begin(), members.end(), random);
  if (members.size() > count) {
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(count),
                  members.end());
  }
}

}  // namespace

void Membership::State::Tick(absl::Time now, Actions& actions) {
  HandlePause(now);
  ExpireProbes(now, actions);
  ExpireSuspicions(now, actions);
  RemoveExpiredMembers(now);
  if (leaving) {
    if (now >= next_probe_time) {
      AnnounceLeave(now, actions);
    }
    return;
  }
  if (now >= next_probe_time) {
    next_probe_time = now + Jitter(options.probe_interval);
    ProbeNextMember(now, actions);
    PingSuspects(actions);
  }
  PingSeedOrDeadMember(now, actions);
  FetchMemberPage(now, actions);
  SendUrgentUpdates(now, actions);
}

// Checks whether this process was paused since the previous tick. During a
// pause, the answers of peers wait in the socket, so timeouts that expired
// meanwhile are no evidence against the peers. After a long pause, the peers
// may have declared this member dead; a new incarnation refutes that.
void Membership::State::HandlePause(absl::Time now) {
  const absl::Time previous_tick = std::exchange(last_tick, now);
  if (previous_tick == absl::InfinitePast()) {
    first_tick = now;
  }
  if (previous_tick == absl::InfinitePast() ||
      now - previous_tick <= options.pause_threshold) {
    return;
  }
  probes.clear();
  table.RestartSuspicionTimers(now);
  if (now - previous_tick >= options.suspicion_timeout && !leaving) {
    RaiseIncarnation(self.incarnation);
  }
}

void Membership::State::ExpireProbes(absl::Time now, Actions& actions) {
  std::vector<std::string> failed_targets;
  for (auto it = probes.begin(); it != probes.end();) {
    Probe& probe = it->second;
    const Member* target = table.Find(probe.target);
    const absl::Duration age = now - probe.sent;
    if (target == nullptr || !target->live()) {
      it = probes.erase(it);
      continue;
    }
    if (age >= options.probe_timeout) {
      failed_targets.push_back(probe.target);
      it = probes.erase(it);
      continue;
    }
    if (age >= options.ack_timeout && !probe.indirect) {
      probe.indirect = true;
      for (const Member* helper : probe_order.IndirectProbeHelpers(
               table, *target, options.indirect_probes)) {
        Message request = NewMessage(MessageType::kPingRequest, it->first);
        request.target = probe.target;
        Send(helper->address, helper->name, std::move(request), actions);
      }
    }
    ++it;
  }
  for (const std::string& name : failed_targets) {
    const Member* member = table.Find(name);
    if (member->state == MemberState::kAlive) {
      MemberUpdate suspect_update = ToUpdate(*member);
      suspect_update.state = MemberState::kSuspect;
      urgent_update_pending = true;
      ApplyAndGossip(suspect_update, now, actions);
    }
  }
}

void Membership::State::ExpireSuspicions(absl::Time now, Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<MemberUpdate> dead_updates;
  for (const Member* member : table.MembersInState(MemberState::kSuspect)) {
    if (now - std::max(member->state_since, member->last_heard) >=
        scaled_suspicion_timeout()) {
      dead_updates.push_back(ToUpdate(*member));
      dead_updates.back().state = MemberState::kDead;
    }
  }
  urgent_update_pending |= !dead_updates.empty();
  for (const MemberUpdate& dead_update : dead_updates) {
    ApplyAndGossip(dead_update, now, actions);
  }
}

void Membership::State::RemoveExpiredMembers(absl::Time now) {
  if (now >= next_removal_time) {
    next_removal_time = now + kRemovalInterval;
    table.RemoveExpired(now - options.dead_retention);
  }
}

void Membership::State::ProbeNextMember(absl::Time now, Actions& actions) {
  std::set<std::string> probed_members;
  for (const auto& [nonce, probe] : probes) {
    probed_members.insert(probe.target);
  }
  const std::optional<std::string> name =
      probe_order.NextTarget(table, probed_members);
  if (!name) {
    return;
  }
  const Member* member = table.Find(*name);
  Ping(*member, actions);
  probes[last_nonce] = Probe{*name, now, false};
}

// Pings some suspects. The ping carries the suspicion, because a suspect that
// still runs can refute the suspicion only after it has learned of it.
void Membership::State::PingSuspects(Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<const Member*> suspects =
      table.MembersInState(MemberState::kSuspect);
  ReduceToRandomSample(suspects, kSuspectsPerProbe, random);
  for (const Member* suspect : suspects) {
    Ping(*suspect, actions);
  }
}

// Returns whether a seed is neither this daemon nor a known member, judged by
// its name and address. Known members that are dead are pinged anyway, and
// members that have left must not be pinged.
bool Membership::State::IsUnknownSeed(const Seed& seed) const {
  return seed.name != self.name && seed.address != self.address &&
         table.Find(seed.name) == nullptr &&
         !table.HasLiveMemberAt(seed.address);
}

// Pings a random seed that is no member yet, or a random dead member. After a
// partition, the members on both sides consider each other dead and would not
// contact each other otherwise.
void Membership::State::PingSeedOrDeadMember(absl::Time now, Actions& actions) {
  if (now < next_contact_time) {
    return;
  }
  const bool isolated = table.live_count() == 0;
  next_contact_time =
      now + Jitter(isolated ? kIsolatedContactInterval : kContactInterval);
  std::vector<Endpoint> candidates;
  for (const auto* seeds : {&settings_seeds, &platform_seeds}) {
    for (const Seed& seed : *seeds) {
      if (IsUnknownSeed(seed)) {
        candidates.push_back(seed.address);
      }
    }
  }
  for (const Member* dead : table.MembersInState(MemberState::kDead)) {
    candidates.push_back(dead->address);
  }
  if (candidates.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  Send(candidates[pick(random)], "",
       NewMessage(MessageType::kPing, NextNonce()), actions);
}

// Requests the next page of the member list if one is needed.
void Membership::State::FetchMemberPage(absl::Time now, Actions& actions) {
  if (!page_needed || now < next_page_time) {
    return;
  }
  const bool fast =
      joining || page_had_changes || now - first_tick < kStartupDuration;
  next_page_time = now + Jitter(fast ? kFastPageInterval : kPageInterval);
  page_needed = joining || page_had_changes;
  page_had_changes = false;
  Message request = NewMessage(MessageType::kSyncRequest, NextNonce());
  request.target = page_cursor;
  Send(page_peer, "", std::move(request), actions);
}

// Sends urgent updates to a few members without waiting for the next probe:
// a new configuration revision, the start of a leave, or a suspicion or death
// that this daemon has detected.
void Membership::State::SendUrgentUpdates(absl::Time now, Actions& actions) {
  const bool revision_due =
      revision_update_pending && now >= next_revision_time;
  if (!(urgent_update_pending || revision_due) || now < next_urgent_time) {
    return;
  }
  urgent_update_pending = false;
  revision_update_pending = false;
  next_urgent_time = now + kMinUrgentInterval;
  next_revision_time = now + kMinRevisionInterval;
  std::vector<const Member*> recipients = table.LiveMembers();
  ReduceToRandomSample(recipients, kUrgentFanout, random);
  for (const Member* member : recipients) {
    Ping(*member, actions);
  }
}

void Membership::State::Leave(absl::Time now, Actions& actions) {
  leaving = true;
  self.state = MemberState::kLeft;
  AnnounceLeave(now, actions);
}

// Announces the leave to random members. Repeated in each probe interval while
// the daemon keeps ticking, because any of these messages may be lost.
void Membership::State::AnnounceLeave(absl::Time now, Actions& actions) {
  next_probe_time = now + Jitter(options.probe_interval);
  std::vector<const Member*> recipients = table.LiveMembers();
  ReduceToRandomSample(recipients, kLeaveFanout, random);
  for (const Member* member : recipients) {
    Ping(*member, actions);
  }
}

}  // namespace gcw::membership
