#include "src/membership/member_table.h"

#include <algorithm>

#include "gcw/base/hash.h"

namespace gcw::membership {
namespace {

// Whether `gossip` replaces what is known as `member`.
bool Replaces(const MemberUpdate& gossip, const Member& member) {
  if (gossip.incarnation != member.incarnation) {
    return gossip.incarnation > member.incarnation;
  }
  return gossip.state > member.state;
}

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// What observers are told when a record goes from `before` to `after`.
std::optional<EventType> EventOf(const Member& before, const Member& after) {
  switch (after.state) {
    case MemberState::kLeft:
      return before.live() ? std::optional(EventType::kLeft) : std::nullopt;
    case MemberState::kDead:
      return before.live() ? std::optional(EventType::kDied) : std::nullopt;
    case MemberState::kAlive:
    case MemberState::kSuspect:
      break;
  }
  if (!before.live()) {
    return EventType::kJoined;
  }
  if (ProcessStart(before.incarnation) != ProcessStart(after.incarnation)) {
    return EventType::kRestarted;
  }
  if (!before.leaving() && after.leaving()) {
    return EventType::kLeaving;
  }
  if (before.state == after.state) {
    return std::nullopt;
  }
  return after.state == MemberState::kSuspect ? EventType::kSuspected
                                              : EventType::kRecovered;
}

}  // namespace

MemberUpdate ToGossip(const Member& member) {
  return MemberUpdate{member.name, member.zone, member.address, member.state,
                      member.incarnation};
}

std::uint32_t DigestOf(std::string_view name, Incarnation incarnation) {
  return static_cast<std::uint32_t>(StableHash(name, incarnation));
}

void MemberTable::Count(const Member& member, int sign) {
  if (!member.live()) {
    return;
  }
  live_count_ += sign;
  suspect_count_ += member.state == MemberState::kSuspect ? sign : 0;
  digest_ ^= DigestOf(member.name, member.incarnation);
}

MemberTable::Outcome MemberTable::Insert(const MemberUpdate& gossip,
                                         absl::Time now) {
  if (!IsLive(gossip.state)) {
    return {};
  }
  Member member;
  member.name = gossip.name;
  member.zone = gossip.zone;
  member.address = gossip.address;
  member.state = gossip.state;
  member.incarnation = gossip.incarnation;
  member.state_since = now;
  Count(member, 1);
  members_.emplace(member.name, member);
  return {true, MemberEvent{EventType::kJoined, member}};
}

MemberTable::Outcome MemberTable::Merge(const MemberUpdate& gossip,
                                        absl::Time now) {
  const auto it = members_.find(gossip.name);
  if (it == members_.end()) {
    return Insert(gossip, now);
  }
  Member& member = it->second;
  if (!Replaces(gossip, member)) {
    return {};
  }
  const Member before = member;
  Count(member, -1);
  if (ProcessStart(gossip.incarnation) != ProcessStart(before.incarnation)) {
    member.revision = 0;
  }
  member.zone = gossip.zone;
  member.address = gossip.address;
  member.state = gossip.state;
  member.incarnation = gossip.incarnation;
  if (member.state != before.state) {
    member.state_since = now;
  }
  Count(member, 1);
  Outcome outcome;
  outcome.news = true;
  if (const auto type = EventOf(before, member)) {
    outcome.event = MemberEvent{*type, member};
  }
  return outcome;
}

void MemberTable::Heard(std::string_view name,
                        Incarnation incarnation,
                        std::uint64_t revision,
                        absl::Time now) {
  const auto it = members_.find(name);
  if (it == members_.end() || incarnation < it->second.incarnation) {
    return;
  }
  it->second.last_heard = now;
  it->second.revision = std::max(it->second.revision, revision);
}

MemberTable::Outcome MemberTable::Revive(std::string_view name,
                                         absl::Time now) {
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.state != MemberState::kDead) {
    return {};
  }
  Member& member = it->second;
  member.state = MemberState::kSuspect;
  member.state_since = now;
  Count(member, 1);
  return {true, MemberEvent{EventType::kJoined, member}};
}

void MemberTable::RestartSuspicions(absl::Time now) {
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect) {
      member.state_since = now;
    }
  }
}

void MemberTable::Forget(absl::Time limit) {
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.live() && entry.second.state_since < limit;
  });
}

const Member* MemberTable::Find(std::string_view name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

bool MemberTable::HasLiveAt(const Endpoint& address) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.second.live() && entry.second.address == address;
  });
}

std::vector<Member> MemberTable::All() const {
  std::vector<Member> all;
  all.reserve(members_.size());
  for (const auto& [name, member] : members_) {
    all.push_back(member);
  }
  return all;
}

std::vector<const Member*> MemberTable::InState(MemberState state) const {
  std::vector<const Member*> found;
  for (const auto& [name, member] : members_) {
    if (member.state == state) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const Member*> MemberTable::Live() const {
  std::vector<const Member*> found;
  found.reserve(live_count_);
  for (const auto& [name, member] : members_) {
    if (member.live()) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const Member*> MemberTable::Page(std::string_view after,
                                             std::size_t count) const {
  std::vector<const Member*> page;
  for (auto it = members_.upper_bound(after);
       it != members_.end() && page.size() < count; ++it) {
    page.push_back(&it->second);
  }
  return page;
}

}  // namespace gcw::membership
