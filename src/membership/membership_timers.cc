#include "src/membership/membership_state.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gcw::membership {
namespace {

// Members that hear at once of a leave or of other urgent news.
constexpr std::size_t kLeaveFanout = 16;
constexpr std::size_t kNewsFanout = 4;
constexpr absl::Duration kNewsGap = absl::Milliseconds(200);
// Operators who change things all the time must not fill the control budget.
constexpr absl::Duration kRevisionGap = absl::Seconds(1);
// Pages of the member list are fetched at these intervals: while joining or
// while pages bring news, and when digests merely differ.
constexpr absl::Duration kJoinPageInterval = absl::Milliseconds(100);
constexpr absl::Duration kPageInterval = absl::Seconds(1);
// When a whole fleet starts, the peers that are asked know little themselves.
constexpr absl::Duration kStartupTime = absl::Seconds(30);
constexpr absl::Duration kForgetInterval = absl::Seconds(5);
// A seed or dead member is contacted at this interval, one at a time; faster
// while this daemon knows nobody.
constexpr absl::Duration kContactInterval = absl::Seconds(1);
constexpr absl::Duration kLonelyContactInterval = absl::Milliseconds(200);
// Suspects that are told of the suspicion in each probe interval.
constexpr std::size_t kSuspectsToTell = 2;

// Reduces `members` to `count` random ones.
void KeepRandom(std::vector<const Member*>& members,
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
  NoticePause(now);
  ExpireProbes(now, actions);
  ExpireSuspicions(now, actions);
  ForgetDead(now);
  if (leaving) {
    if (now >= next_probe) {
      TellLeave(now, actions);
    }
    return;
  }
  if (now >= next_probe) {
    next_probe = now + Jitter(options.probe_interval);
    ProbeNext(now, actions);
    TellSuspects(actions);
  }
  ContactSeed(now, actions);
  FetchPage(now, actions);
  TellNews(now, actions);
}

// While a process does not run, its peers' answers wait in its socket. Nothing
// that its timers say on waking is evidence against them. Peers, however, may
// have given this member up, which a new incarnation undoes.
void Membership::State::NoticePause(absl::Time now) {
  const absl::Time before = std::exchange(last_tick, now);
  if (before == absl::InfinitePast()) {
    first_tick = now;
  }
  if (before == absl::InfinitePast() ||
      now - before <= options.pause_threshold) {
    return;
  }
  probes.clear();
  table.RestartSuspicions(now);
  if (now - before >= options.suspicion_timeout && !leaving) {
    RaiseIncarnation(self.incarnation);
  }
}

void Membership::State::ExpireProbes(absl::Time now, Actions& actions) {
  std::vector<std::string> failed;
  for (auto it = probes.begin(); it != probes.end();) {
    Probe& probe = it->second;
    const Member* target = table.Find(probe.target);
    const absl::Duration age = now - probe.sent;
    if (target == nullptr || !target->live()) {
      it = probes.erase(it);
      continue;
    }
    if (age >= options.probe_timeout) {
      failed.push_back(probe.target);
      it = probes.erase(it);
      continue;
    }
    if (age >= options.ack_timeout && !probe.indirect) {
      probe.indirect = true;
      for (const Member* helper :
           order.Helpers(table, *target, options.indirect_probes)) {
        Message request = NewMessage(MessageType::kPingRequest, it->first);
        request.target = probe.target;
        Send(helper->address, helper->name, std::move(request), actions);
      }
    }
    ++it;
  }
  for (const std::string& name : failed) {
    const Member* member = table.Find(name);
    if (member->state == MemberState::kAlive) {
      MemberUpdate suspicion = ToGossip(*member);
      suspicion.state = MemberState::kSuspect;
      urgent_news = true;
      Spread(suspicion, now, actions);
    }
  }
}

void Membership::State::ExpireSuspicions(absl::Time now, Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<MemberUpdate> deaths;
  for (const Member* member : table.InState(MemberState::kSuspect)) {
    if (now - std::max(member->state_since, member->last_heard) >=
        suspicion_time()) {
      deaths.push_back(ToGossip(*member));
      deaths.back().state = MemberState::kDead;
    }
  }
  urgent_news |= !deaths.empty();
  for (const MemberUpdate& death : deaths) {
    Spread(death, now, actions);
  }
}

void Membership::State::ForgetDead(absl::Time now) {
  if (now >= next_forget) {
    next_forget = now + kForgetInterval;
    table.Forget(now - options.dead_retention);
  }
}

void Membership::State::ProbeNext(absl::Time now, Actions& actions) {
  std::set<std::string> busy;
  for (const auto& [nonce, probe] : probes) {
    busy.insert(probe.target);
  }
  const std::optional<std::string> name = order.Next(table, busy);
  if (!name) {
    return;
  }
  const Member* member = table.Find(*name);
  Ping(*member, actions);
  probes[last_nonce] = Probe{*name, now, false};
}

// A suspect that still runs can refute only what it has heard of.
void Membership::State::TellSuspects(Actions& actions) {
  if (table.suspect_count() == 0) {
    return;
  }
  std::vector<const Member*> suspects = table.InState(MemberState::kSuspect);
  KeepRandom(suspects, kSuspectsToTell, random);
  for (const Member* suspect : suspects) {
    Ping(*suspect, actions);
  }
}

// Whether nobody is known at the seed, as far as names and addresses tell. Dead
// members are contacted on their own account and those that left not at all.
bool Membership::State::IsUnknown(const Seed& seed) const {
  return seed.name != self.name && seed.address != self.address &&
         table.Find(seed.name) == nullptr && !table.HasLiveAt(seed.address);
}

// Seeds that are no members yet, and members that were given up: after a
// partition both sides hold each other for dead, and someone must try.
void Membership::State::ContactSeed(absl::Time now, Actions& actions) {
  if (now < next_contact) {
    return;
  }
  const bool lonely = table.live_count() == 0;
  next_contact =
      now + Jitter(lonely ? kLonelyContactInterval : kContactInterval);
  std::vector<Endpoint> candidates;
  for (const auto* seeds : {&settings_seeds, &platform_seeds}) {
    for (const Seed& seed : *seeds) {
      if (IsUnknown(seed)) {
        candidates.push_back(seed.address);
      }
    }
  }
  for (const Member* dead : table.InState(MemberState::kDead)) {
    candidates.push_back(dead->address);
  }
  if (candidates.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  Send(candidates[pick(random)], "",
       NewMessage(MessageType::kPing, NextNonce()), actions);
}

void Membership::State::FetchPage(absl::Time now, Actions& actions) {
  if (!page_wanted || now < next_page) {
    return;
  }
  const bool hurry =
      joining || page_had_news || now - first_tick < kStartupTime;
  next_page = now + Jitter(hurry ? kJoinPageInterval : kPageInterval);
  page_wanted = joining || page_had_news;
  page_had_news = false;
  Message request = NewMessage(MessageType::kSyncRequest, NextNonce());
  request.target = page_cursor;
  Send(page_peer, "", std::move(request), actions);
}

// A new revision, a suspicion or a death that was found here does not wait for
// the next probe.
void Membership::State::TellNews(absl::Time now, Actions& actions) {
  const bool revision_due = revision_news && now >= next_revision;
  if (!(urgent_news || revision_due) || now < next_news) {
    return;
  }
  urgent_news = false;
  revision_news = false;
  next_news = now + kNewsGap;
  next_revision = now + kRevisionGap;
  std::vector<const Member*> live = table.Live();
  KeepRandom(live, kNewsFanout, random);
  for (const Member* member : live) {
    Ping(*member, actions);
  }
}

void Membership::State::Leave(absl::Time now, Actions& actions) {
  leaving = true;
  self.state = MemberState::kLeft;
  TellLeave(now, actions);
}

// Repeated while the daemon still ticks, as any of these messages may be lost.
void Membership::State::TellLeave(absl::Time now, Actions& actions) {
  next_probe = now + Jitter(options.probe_interval);
  std::vector<const Member*> live = table.Live();
  KeepRandom(live, kLeaveFanout, random);
  for (const Member* member : live) {
    Ping(*member, actions);
  }
}

}  // namespace gcw::membership
