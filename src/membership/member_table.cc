#include "src/membership/member_table.h"

#include <algorithm>

#include "gcw/base/hash.h"

namespace gcw::membership {
namespace {

// Returns whether `update` is newer than the record `member`.
bool Supersedes(const MemberUpdate& update, const Member& member) {
  if (update.incarnation != member.incarnation) {
    return update.incarnation > member.incarnation;
  }
  return update.state > member.state;
}

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// Returns the event to report when a record changes from `before` to `after`.
std::optional<EventType> TransitionEvent(const Member& before,
                                         const Member& after) {
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

MemberUpdate ToUpdate(const Member& member) {
  return MemberUpdate{member.name, member.zone, member.address, member.state,
                      member.incarnation};
}

std::uint32_t MemberDigest(std::string_view name, Incarnation incarnation) {
  return static_cast<std::uint32_t>(StableHash(name, incarnation));
}

void MemberTable::UpdateCounters(const Member& member, int sign) {
  if (!member.live()) {
    return;
  }
  live_count_ += sign;
  suspect_count_ += member.state == MemberState::kSuspect ? sign : 0;
  digest_ ^= MemberDigest(member.name, member.incarnation);
}

MemberTable::MergeResult MemberTable::AddMember(const MemberUpdate& update,
                                                absl::Time now) {
  if (!IsLive(update.state)) {
    return {};
  }
  Member member;
  member.name = update.name;
  member.zone = update.zone;
  member.address = update.address;
  member.state = update.state;
  member.incarnation = update.incarnation;
  member.state_since = now;
  UpdateCounters(member, 1);
  members_.emplace(member.name, member);
  return {true, MemberEvent{EventType::kJoined, member}};
}

MemberTable::MergeResult MemberTable::Merge(const MemberUpdate& update,
                                            absl::Time now) {
  const auto it = members_.find(update.name);
  if (it == members_.end()) {
    return AddMember(update, now);
  }
  Member& member = it->second;
  if (!Supersedes(update, member)) {
    return {};
  }
  const Member before = member;
  UpdateCounters(member, -1);
  if (ProcessStart(update.incarnation) != ProcessStart(before.incarnation)) {
    member.revision = 0;
  }
  member.zone = update.zone;
  member.address = update.address;
  member.state = update.state;
  member.incarnation = update.incarnation;
  if (member.state != before.state) {
    member.state_since = now;
  }
  UpdateCounters(member, 1);
  MergeResult result;
  result.changed = true;
  if (const auto type = TransitionEvent(before, member)) {
    result.event = MemberEvent{*type, member};
  }
  return result;
}

void MemberTable::RecordMessage(std::string_view name,
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

MemberTable::MergeResult MemberTable::Revive(std::string_view name,
                                             absl::Time now) {
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.state != MemberState::kDead) {
    return {};
  }
  Member& member = it->second;
  member.state = MemberState::kSuspect;
  member.state_since = now;
  UpdateCounters(member, 1);
  return {true, MemberEvent{EventType::kJoined, member}};
}

void MemberTable::RestartSuspicionTimers(absl::Time now) {
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect) {
      member.state_since = now;
    }
  }
}

void MemberTable::RemoveExpired(absl::Time cutoff) {
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.live() && entry.second.state_since < cutoff;
  });
}

const Member* MemberTable::Find(std::string_view name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

bool MemberTable::HasLiveMemberAt(const Endpoint& address) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.second.live() && entry.second.address == address;
  });
}

std::vector<Member> MemberTable::AllMembers() const {
  std::vector<Member> all;
  all.reserve(members_.size());
  for (const auto& [name, member] : members_) {
    all.push_back(member);
  }
  return all;
}

std::vector<const Member*> MemberTable::MembersInState(
    MemberState state) const {
  std::vector<const Member*> found;
  for (const auto& [name, member] : members_) {
    if (member.state == state) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const Member*> MemberTable::LiveMembers() const {
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
