#include "src/lab/request_ledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace gcw::lab {
namespace {

void AddIfAbsent(std::vector<DaemonIndex>& list,
                 std::optional<DaemonIndex> daemon) {
  if (daemon && std::find(list.begin(), list.end(), *daemon) == list.end()) {
    list.push_back(*daemon);
  }
}

}  // namespace

RequestLedger::RequestLedger(const Scheduler& scheduler,
                             const World& world,
                             Ledger& notes)
    : scheduler_(scheduler), world_(world), notes_(notes) {}

RequestLedger::Record& RequestLedger::FindOrAdd(const std::string& id) {
  return records_[id];
}

void RequestLedger::Sent(const std::string& id,
                         const RequestInfo& info,
                         std::optional<DaemonIndex> daemon) {
  const bool first = !records_.contains(id);
  Record& record = FindOrAdd(id);
  if (first) {
    record.info = info;
    record.sent = scheduler_.now();
    ++totals_.sent;
  }
  AddIfAbsent(record.daemons, daemon);
}

void RequestLedger::RunBegan(const std::string& id,
                             ServerIndex server,
                             std::optional<DaemonIndex> daemon) {
  Record& record = FindOrAdd(id);
  record.runs.push_back({server, scheduler_.now()});
  AddIfAbsent(record.daemons, daemon);
  CheckRuns(id, record);
}

void RequestLedger::RunLost(const std::string& id) {
  FindOrAdd(id).run_lost = true;
}

void RequestLedger::ToldNotRun(const std::string& id) {
  Record& record = FindOrAdd(id);
  record.told_not_run = true;
  CheckRuns(id, record);
}

void RequestLedger::WrongAnswer(const std::string& what) {
  ++totals_.wrong_answer;
  notes_.AddNote("requests.wrong_answer", what);
}

void RequestLedger::Ended(const std::string& id, RequestOutcome outcome) {
  Record& record = FindOrAdd(id);
  if (record.outcome != RequestOutcome::kPending) {
    return;
  }
  record.outcome = outcome;
  switch (outcome) {
    case RequestOutcome::kDelivered:
      ++totals_.delivered;
      break;
    case RequestOutcome::kLate:
      ++totals_.late;
      break;
    case RequestOutcome::kRefused:
      ++totals_.refused;
      break;
    case RequestOutcome::kCancelled:
      ++totals_.cancelled;
      break;
    case RequestOutcome::kUnanswered:
      ++totals_.unanswered;
      [[fallthrough]];
    default:
      ++totals_.unknown_outcome;
      break;
  }
  if (outcome == RequestOutcome::kUnknown ||
      outcome == RequestOutcome::kUnanswered) {
    RecordUnknownOutcome(id, record);
  }
}

void RequestLedger::RecordUnknownOutcome(const std::string& id,
                                         const Record& record) {
  const auto& topology = world_.topology();
  std::string path;
  for (const DaemonIndex i : record.daemons) {
    path += " " + topology.daemons[i].name;
  }
  for (const Run& run : record.runs) {
    path += " ran on " + topology.servers[run.server].name;
  }
  const std::string text = fmt::format(
      "{} ended as {} {:.3f} s after it was sent, through{}", id,
      record.outcome == RequestOutcome::kUnknown ? "unknown" : "unanswered",
      absl::ToDoubleSeconds(scheduler_.now() - record.sent), path);
  notes_.AddNote("requests.unknown_outcome", text);
  if (AffectedByPlannedStop(record) && !AffectedByFault(record)) {
    ++totals_.cut_by_planned_stop;
    notes_.AddNote("requests.cut_by_planned_stop", text);
  }
}

void RequestLedger::CheckRuns(const std::string& id, Record& record) {
  const auto server_name = [&](const Run& run) {
    return world_.topology().servers[run.server].name;
  };
  if (record.runs.size() > 1 && !record.info.idempotent &&
      !record.counted_run_twice) {
    record.counted_run_twice = true;
    ++totals_.run_twice;
    notes_.AddNote(
        "requests.run_twice",
        fmt::format("{} ran on {} and {}", id, server_name(record.runs[0]),
                    server_name(record.runs[1])));
  }
  if (!record.runs.empty() && record.told_not_run &&
      !record.counted_false_not_run) {
    record.counted_false_not_run = true;
    ++totals_.false_not_run;
    notes_.AddNote(
        "requests.false_not_run",
        fmt::format("{} ran on {}", id, server_name(record.runs[0])));
  }
}

bool RequestLedger::AffectedByPlannedStop(const Record& record) const {
  // Stops after the deadline do not affect the request.
  const absl::Time until =
      std::min(scheduler_.now(), record.sent + record.info.deadline);
  for (const DaemonIndex i : record.daemons) {
    const DaemonTruth& daemon = world_.daemon(i);
    if (daemon.stop_began <= until && daemon.ended >= record.sent) {
      return true;
    }
  }
  return std::any_of(record.runs.begin(), record.runs.end(),
                     [&](const Run& run) {
                       return world_.server(run.server).leaving_since <= until;
                     });
}

bool RequestLedger::AffectedByFault(const Record& record) const {
  const bool faulty = std::any_of(
      record.daemons.begin(), record.daemons.end(), [&](DaemonIndex i) {
        const DaemonTruth& daemon = world_.daemon(i);
        const bool killed = daemon.state == DaemonState::kDead &&
                            daemon.stop_began == absl::InfiniteFuture();
        const bool paused = daemon.resumed >= record.sent;
        return killed || paused;
      });
  return faulty || record.run_lost;
}

}  // namespace gcw::lab
