#include "src/direct/server_table.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "gcw/load/figures.h"

namespace gcw::direct {
namespace {

// An earlier report that the store still lists after this many report intervals
// takes effect: a living server would have replaced it by then, and without one
// the store would have removed it after three.
constexpr int kDeferredIntervals = 4;
// A server that has been running for longer than this is past its slow start.
constexpr absl::Duration kStartTime = absl::Seconds(10);
// How much earlier than calculated an incarnation may have started. Reports
// take some time to reach this daemon, and come at slightly irregular
// intervals. With few of them, all may have been executed late.
constexpr absl::Duration kStartTolerance = absl::Seconds(1);
constexpr std::uint32_t kFewReports = 5;
constexpr absl::Duration kMaxWriteDelay = absl::Seconds(6);
// How many ended incarnations of one server are kept. A late report of one that
// is not kept looks like a restart if its server's clock was ahead.
constexpr std::size_t kMaxEnded = 32;

// Whether the store was restored since `entry` was reported, so that `report`
// may be of the copy.
bool IsOfRestoredStore(const ServerReport& report, const ServerEntry& entry) {
  return EpochOf(report.revision) != EpochOf(entry.revision);
}

// Whether the flows of one incarnation can go on at the other one.
bool SamePlace(const BackendServer& a, const BackendServer& b) {
  return a.address == b.address && a.service == b.service && a.zone == b.zone;
}

}  // namespace

ServerTable::ServerTable(absl::Duration lapse_grace,
                         absl::Duration restore_grace,
                         std::vector<Event>* events,
                         absl::Duration report_interval)
    : lapse_grace_(lapse_grace),
      restore_grace_(restore_grace),
      report_interval_(report_interval),
      events_(events) {}

void ServerTable::ApplyList(std::span<const ServerReportPtr> reports,
                            Version revision,
                            absl::Time now) {
  if (EpochOf(revision) > EpochOf(revision_)) {
    restore_grace_end_ = now + restore_grace_;
  }
  revision_ = revision;
  absl::flat_hash_set<std::string_view> listed;
  listed.reserve(reports.size());
  for (const ServerReportPtr& report : reports) {
    listed.insert(report->name);
    Apply(report, now);
  }
  for (const auto& entry : entries_) {
    if (!listed.contains(entry->server.name)) {
      MarkMissing(entry->server.name, revision, now);
    }
  }
  listed_before_ = true;
  index_.SetServices(entries_);
}

std::vector<ServerEntry*> ServerTable::TakeStarted() {
  return std::exchange(started_, {});
}

std::vector<Succession> ServerTable::TakeSuccessions() {
  return std::exchange(successions_, {});
}

bool ServerTable::SeemsLate(const ServerReport& report,
                            const ServerEntry& entry,
                            absl::Time now) const {
  const bool may_be_copy =
      now < restore_grace_end_ && IsOfRestoredStore(report, entry);
  if (!report.readable) {
    return may_be_copy;
  }
  const BackendServer& server = report.server;
  const BackendServer& held = entry.server;
  if (IsEarlier(server, held)) {
    return true;
  }
  if (server.incarnation != held.incarnation) {
    // An incarnation that has ended may have the later start if the server's
    // clock was set back.
    return FindIncarnation(report) != nullptr;
  }
  // A server that has left makes no more reports, and a report does not change.
  return may_be_copy && server.report_number == held.report_number &&
         (entry.presence == Presence::kGone || !SameState(server, held));
}

void ServerTable::Defer(const ServerReportPtr& report,
                        ServerEntry& entry,
                        absl::Time now) {
  const bool restored = IsOfRestoredStore(*report, entry);
  absl::Time due = now + kDeferredIntervals * report_interval_;
  if (restored) {
    due = std::max(due, restore_grace_end_);
  }
  const BackendServer& server = report->server;
  if (!deferred_reports_.Defer(
          {report, now, RunningSince(server, entry, now), due})) {
    return;
  }
  if (!restored && server.incarnation != entry.server.incarnation) {
    entry.caution = {
        .no_new_flows = server.draining || !SamePlace(server, entry.server),
        .cold_until = now + server.cold_for};
  }
  events_->push_back(
      ServerReportDeferred{.server = entry.server.name,
                           .presence = entry.presence,
                           .draining = server.draining,
                           .incarnation = server.incarnation,
                           .held_incarnation = entry.server.incarnation,
                           .report_number = server.report_number,
                           .held_report_number = entry.server.report_number,
                           .revision = report->revision});
}

void ServerTable::Apply(const ServerReportPtr& shared_report, absl::Time now) {
  const ServerReport& report = *shared_report;
  ServerEntry* entry = FindByName(report.name);
  if (entry == nullptr) {
    if (report.readable) {
      AddStarted(report, now);
    }
    return;
  }
  if (report.revision < entry->revision) {
    return;  // The report is older than the entry.
  }
  if (SeemsLate(report, *entry, now)) {
    Defer(shared_report, *entry, now);
    return;
  }
  deferred_reports_.Drop(report.name);
  Accept(report, *entry, RunningSince(report.server, *entry, now), now);
}

void ServerTable::Accept(const ServerReport& report,
                         ServerEntry& entry,
                         absl::Time running_since,
                         absl::Time now) {
  entry.caution = {};
  if (!report.readable) {
    entry.revision = report.revision;
    SetPresence(entry, Presence::kUnreadable, now);
  } else if (entry.server.incarnation != report.server.incarnation) {
    Replace(entry, report, running_since, now);
  } else {
    Update(entry, report, now);
  }
}

// A report that is not numbered counts as made at the start of its incarnation.
// Any other one, the first one included, may have been executed late. It tells
// that its incarnation started after the last report of the one before was
// made, and how long after the start of that one.
absl::Time ServerTable::RunningSince(const BackendServer& report,
                                     const ServerEntry& entry,
                                     absl::Time now) {
  if (report.report_number == 0 && !entry.missing()) {
    return now;
  }
  const absl::Duration between =
      absl::Milliseconds(report.incarnation - entry.server.incarnation);
  if (between <= absl::ZeroDuration()) {
    return entry.reported_at;  // The server's clock was set back.
  }
  const absl::Duration tolerance =
      entry.reports_read > kFewReports ? kStartTolerance : kMaxWriteDelay;
  return std::min(entry.reported_at, entry.started_by + between - tolerance);
}

void ServerTable::NoteReportTime(ServerEntry& entry, absl::Time now) const {
  entry.reported_at = now;
  ++entry.reports_read;
  const std::uint64_t number = entry.server.report_number;
  if (number > 0) {
    entry.started_by =
        std::min(entry.started_by,
                 now - static_cast<double>(number - 1) * report_interval_);
  }
}

void ServerTable::Replace(ServerEntry& entry,
                          const ServerReport& report,
                          absl::Time running_since,
                          absl::Time now) {
  SetPresence(entry, Presence::kRestarted, now);
  ServerEntry* next = FindIncarnation(report);
  if (next != nullptr) {
    // It has been running all the time.
    running_since = absl::InfinitePast();
    if (SamePlace(entry.server, next->server)) {
      next->reach = entry.reach;
    }
    Revive(*next, report, now);
  } else if (HasJustStarted(report.server)) {
    next = &AddStarted(report, now);
  } else {
    next = &Add(report, Presence::kListed, now);
  }
  const bool may_have_run =
      report.server.report_number > 0 || running_since < now;
  if (may_have_run && SamePlace(entry.server, next->server)) {
    successions_.push_back({&entry, next, running_since});
  }
}

bool ServerTable::HasJustStarted(const BackendServer& report) const {
  const auto intervals = static_cast<double>(report.report_number);
  return intervals * report_interval_ < kStartTime;
}

void ServerTable::Revive(ServerEntry& entry,
                         const ServerReport& report,
                         absl::Time now) {
  index_.MakeLatest(entry);
  Update(entry, report, now);
}

ServerEntry* ServerTable::FindIncarnation(const ServerReport& report) const {
  const std::int64_t incarnation = report.server.incarnation;
  const auto it =
      std::find_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return entry->server.incarnation == incarnation &&
               entry->server.name == report.name;
      });
  return it == entries_.end() ? nullptr : it->get();
}

void ServerTable::AddMissing(std::span<const ServerReportPtr> reports,
                             absl::Time now) {
  for (const ServerReportPtr& report : reports) {
    AddTold(*report, now);
  }
  index_.SetServices(entries_);
}

void ServerTable::AddTold(const ServerReport& report, absl::Time now) {
  ServerEntry* const known = FindByName(report.name);
  if (known == nullptr) {
    Add(report, Presence::kGone, now);
    return;
  }
  if (known->presence != Presence::kGone ||
      FindIncarnation(report) != nullptr) {
    return;
  }
  const bool is_earlier = IsEarlier(report.server, known->server);
  Add(report, Presence::kGone, now);
  if (is_earlier) {
    index_.MakeLatest(*known);
  }
}

ServerEntry& ServerTable::AddStarted(const ServerReport& report,
                                     absl::Time now) {
  ServerEntry& entry = Add(report, Presence::kListed, now);
  if (listed_before_) {
    started_.push_back(&entry);
  }
  return entry;
}

ServerEntry& ServerTable::Add(const ServerReport& report,
                              Presence presence,
                              absl::Time now) {
  auto entry = std::make_unique<ServerEntry>();
  entry->server = report.server;
  entry->cookie = CookieOf(report.server);
  entry->key = KeyOf(report.server);
  entry->service_hash = load::HashName(report.server.service);
  entry->zone_hash = load::HashName(report.server.zone);
  entry->revision = report.revision;
  NoteReportTime(*entry, now);
  entry->presence = presence;
  entry->presence_since = now;
  entry->cold_until = now + report.server.cold_for;
  entries_.push_back(std::move(entry));
  index_.Add(*entries_.back());
  ReportChange(*entries_.back(), now);
  return *entries_.back();
}

void ServerTable::Update(ServerEntry& entry,
                         const ServerReport& report,
                         absl::Time now) {
  const bool unchanged = SameState(entry.server, report.server) &&
                         entry.presence == Presence::kListed;
  const bool is_new = entry.revision != report.revision;
  entry.revision = report.revision;
  entry.server.report_number = report.server.report_number;
  if (is_new) {
    NoteReportTime(entry, now);
    // From the time of the report, so an equal number tells of a later time.
    entry.cold_until = now + report.server.cold_for;
  }
  if (unchanged) {
    return;
  }
  if (entry.presence == Presence::kGone) {
    started_.push_back(&entry);
  }
  entry.server = report.server;
  entry.service_hash = load::HashName(report.server.service);
  entry.zone_hash = load::HashName(report.server.zone);
  index_.SetAddress(entry);
  entry.cold_until = now + report.server.cold_for;
  entry.presence = Presence::kListed;
  entry.presence_since = now;
  entry.flows_reset = false;
  ReportChange(entry, now);
}

void ServerTable::MarkMissing(std::string_view name,
                              Version revision,
                              absl::Time now) {
  deferred_reports_.Drop(name);
  ServerEntry* entry = FindByName(name);
  if (entry != nullptr) {
    entry->caution = {};
  }
  if (entry == nullptr || entry->revision > revision ||
      entry->presence == Presence::kGone ||
      entry->presence == Presence::kLapsed) {
    return;
  }
  // The entry keeps its revision, so that a report of the same revision can
  // mark the server as listed again. A server drains before it leaves. The
  // entry of any other server may have expired because the store was
  // unavailable or the server could not reach the store, and any entry may be
  // missing from a restored store.
  const bool restored = EpochOf(revision) > EpochOf(entry->revision);
  entry->left = entry->server.draining && !restored;
  SetPresence(*entry, entry->left ? Presence::kGone : Presence::kLapsed, now);
}

void ServerTable::SetPresence(ServerEntry& entry,
                              Presence presence,
                              absl::Time now) {
  if (entry.presence == presence) {
    return;
  }
  entry.presence = presence;
  entry.presence_since = now;
  ReportChange(entry, now);
}

void ServerTable::ReportChange(const ServerEntry& entry, absl::Time now) {
  events_->push_back(ServerChanged{
      .server = entry.server.name,
      .service = entry.server.service,
      .zone = entry.server.zone,
      .presence = entry.presence,
      .draining = entry.server.draining,
      .cold_for = std::max(entry.cold_until - now, absl::ZeroDuration()),
      .incarnation = entry.server.incarnation,
      .report_number = entry.server.report_number,
      .revision = entry.revision});
}

void ServerTable::OnTick(absl::Duration retention,
                         absl::Time confirmed,
                         absl::Time now) {
  ApplyDeferred(confirmed, now);
  for (const auto& entry : entries_) {
    if (entry->presence == Presence::kLapsed &&
        confirmed >= entry->presence_since + lapse_grace_) {
      SetPresence(*entry, Presence::kGone, now);
    }
  }
  RemoveExpired(retention, now);
}

void ServerTable::ApplyDeferred(absl::Time confirmed, absl::Time now) {
  const std::vector<DeferredReport> due = deferred_reports_.TakeDue(confirmed);
  for (const DeferredReport& deferred : due) {
    const ServerReport& report = *deferred.report;
    ServerEntry* entry = FindByName(report.name);
    if (entry == nullptr) {
      continue;
    }
    const absl::Time reported_at = entry->reported_at;
    Accept(report, *entry, deferred.running_since, now);
    // The report shows no life of the server after it was read.
    ServerEntry* latest = FindByName(report.name);
    latest->reported_at = latest == entry ? reported_at : deferred.read_at;
  }
  if (!due.empty()) {
    index_.SetServices(entries_);
  }
}

void ServerTable::RemoveExpired(absl::Duration retention, absl::Time now) {
  const auto surplus = SurplusEnded();
  const auto is_expired = [&](const std::unique_ptr<ServerEntry>& entry) {
    const bool ended = entry->presence == Presence::kGone ||
                       entry->presence == Presence::kRestarted;
    return ended && entry->flow_refs == 0 &&
           (now - entry->presence_since >= retention ||
            surplus.contains(entry.get()));
  };
  const auto expired =
      std::stable_partition(entries_.begin(), entries_.end(),
                            [&](const auto& e) { return !is_expired(e); });
  if (expired == entries_.end()) {
    return;
  }
  std::for_each(expired, entries_.end(),
                [&](const auto& entry) { Unlink(*entry); });
  entries_.erase(expired, entries_.end());
  index_.SetServices(entries_);
}

absl::flat_hash_set<const ServerEntry*> ServerTable::SurplusEnded() const {
  absl::flat_hash_set<const ServerEntry*> surplus;
  absl::flat_hash_map<std::string_view, std::size_t> ended;
  for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
    const ServerEntry& entry = **it;
    if (entry.presence == Presence::kRestarted &&
        ++ended[entry.server.name] > kMaxEnded) {
      surplus.insert(&entry);
    }
  }
  return surplus;
}

void ServerTable::Unlink(const ServerEntry& entry) {
  index_.Remove(entry);
  if (index_.FindByName(entry.server.name) == nullptr) {
    deferred_reports_.Drop(entry.server.name);
  }
}

ServerEntry* ServerTable::FindHolder(FlowCookie cookie) const {
  if (ServerEntry* const entry = index_.FindByCookie(cookie)) {
    return entry;
  }
  const ServerEntry* const incarnation = index_.FindByKey(cookie);
  return incarnation == nullptr ? nullptr
                                : FindByName(incarnation->server.name);
}

bool ServerTable::HasEnded(const ServerEntry& server) const {
  if (server.presence == Presence::kRestarted) {
    return true;
  }
  if (!server.missing()) {
    return false;
  }
  if (server.left) {
    return true;
  }
  if (server.presence == Presence::kGone &&
      server.reach.reach() == Reach::kRefuses) {
    return true;
  }
  const ServerEntry* latest = index_.LatestAt(server.server.address);
  return latest != nullptr && latest != &server &&
         latest->presence == Presence::kListed;
}

}  // namespace gcw::direct
