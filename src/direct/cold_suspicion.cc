#include "src/direct/cold_suspicion.h"

#include <algorithm>
#include <utility>

namespace gcw::direct {
namespace {

// The longest time after which the store executes a write that it did not
// answer. A server that has restarted is listed as restarted by then.
constexpr absl::Duration kMaxWriteDelay = absl::Seconds(6);

}  // namespace

void ColdSuspicion::SetServices(std::span<const Service> services) {
  cold_times_.clear();
  for (const Service& service : services) {
    cold_times_[service.name] = service.cold_time;
  }
}

void ColdSuspicion::OnZoneReturned(std::string_view zone,
                                   Version version,
                                   absl::Time now) {
  Add({.version = version, .since = now, .zone = std::string(zone)});
}

void ColdSuspicion::OnServiceRouted(std::string_view service,
                                    Version version,
                                    absl::Time now) {
  Add({.version = version, .since = now, .service = std::string(service)});
}

void ColdSuspicion::OnStarted(Version version, absl::Time now) {
  Add({.version = version, .since = now});
}

bool ColdSuspicion::Includes(const NewerState& state, absl::Time now) const {
  return state.version <= list_version_ && now >= restore_grace_end_;
}

void ColdSuspicion::Add(NewerState state) {
  if (Includes(state, state.since)) {
    return;
  }
  wanted_ = std::max(wanted_, state.version);
  newer_.push_back(std::move(state));
  Mark();
}

bool ColdSuspicion::OnListIncludes(Version version, absl::Time now) {
  // Before the first list there is nothing that a restore can have undone.
  if (list_version_ != 0 && EpochOf(version) > EpochOf(list_version_)) {
    restore_grace_end_ = now + restore_grace_;
  }
  list_version_ = std::max(list_version_, version);
  if (newer_.empty()) {
    return false;
  }
  const auto read = std::erase_if(
      newer_, [&](const NewerState& state) { return Includes(state, now); });
  Mark();
  return read > 0;
}

std::optional<Version> ColdSuspicion::TakeWantedVersion() {
  if (wanted_ <= last_wanted_) {
    return std::nullopt;
  }
  last_wanted_ = wanted_;
  return wanted_;
}

void ColdSuspicion::Mark() {
  for (const auto& entry : servers_.entries()) {
    const BackendServer& server = entry->server;
    entry->unread_cold_until = absl::InfinitePast();
    for (const NewerState& state : newer_) {
      if ((state.zone.empty() || state.zone == server.zone) &&
          (state.service.empty() || state.service == server.service)) {
        entry->unread_cold_until = std::max(
            entry->unread_cold_until, state.since + ColdTime(server.service));
      }
    }
  }
}

void ColdSuspicion::OnReturned(ServerEntry& server, absl::Time now) const {
  server.returned_at = now;
  server.restart_cold_until = now + ColdTime(server.server.service);
}

void ColdSuspicion::OnProgress(ServerEntry& server, absl::Time opened) {
  if (opened < server.lost_at) {
    server.restart_cold_until = absl::InfinitePast();
  }
}

void ColdSuspicion::OnLost(ServerEntry& server, absl::Time now) {
  server.lost_at = now;
}

void ColdSuspicion::OnTick(absl::Time confirmed, absl::Time now) {
  for (const auto& entry : servers_.entries()) {
    if (confirmed >= entry->returned_at + kMaxWriteDelay) {
      entry->restart_cold_until = absl::InfinitePast();
    }
  }
  const auto has_ended = [&](const NewerState& state) {
    return std::all_of(
        cold_times_.begin(), cold_times_.end(),
        [&](const auto& item) { return now >= state.since + item.second; });
  };
  std::erase_if(newer_, has_ended);
}

absl::Duration ColdSuspicion::ColdTime(std::string_view service) const {
  const auto it = cold_times_.find(service);
  return it == cold_times_.end() ? absl::ZeroDuration() : it->second;
}

}  // namespace gcw::direct
