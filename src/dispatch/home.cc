#include "src/dispatch/home.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace gcw::dispatch {
namespace {

// Timeout between two parts of an answer. When it expires, a part counts as
// lost and the attempt ends with an incomplete answer.
constexpr absl::Duration kMaxPartGap = absl::Milliseconds(150);
// Time that a server needs to free the slot of a cancelled attempt.
constexpr absl::Duration kCancelGrace = absl::Milliseconds(30);
// A request that has been queued this long is returned to its owner if another
// home reports a free slot.
constexpr absl::Duration kReturnAfter = absl::Milliseconds(5);
// From this assignment number on, a queued request is no longer returned.
constexpr std::uint32_t kMaxAssignmentsToReturn = 4;

}  // namespace

Home::Home(Context& context, const SlotPolicy& policy)
    : context_(context),
      policy_(policy),
      pool_(context, policy),
      budget_(context.options.retry_share, context.options.retry_burst) {}

std::string Home::KeyOf(std::string_view owner,
                        std::string_view id,
                        std::uint32_t assignment_number) {
  return fmt::format("{}\n{}\n{}", owner, id, assignment_number);
}

void Home::Refresh(absl::Time now) {
  const std::vector<std::string> removed_servers = pool_.Refresh(now);
  std::vector<Handle> lost;
  for (const auto& [handle, assignment] : assignments_) {
    const bool on_removed_server =
        assignment.running() &&
        std::find(removed_servers.begin(), removed_servers.end(),
                  assignment.server) != removed_servers.end();
    if (on_removed_server) {
      lost.push_back(handle);
    }
  }
  for (const Handle handle : lost) {
    OnServerRemoved(handle, now);
  }
  // Return the queued requests of services that this daemon has no servers for.
  for (auto& [service, queue] : queues_) {
    if (pool_.Serves(service, "")) {
      continue;
    }
    for (const RequestQueue::Entry& entry : queue.TakeAll()) {
      Finish(entry.handle,
             {AssignmentOutcomeKind::kNotSent, ResultCode::kRefusedNoServer},
             now);
    }
  }
  DispatchQueued(now);
}

void Home::OnAssign(const std::string& owner,
                    AssignRequest message,
                    absl::Time now) {
  const Request& request = message.routed.request;
  const std::string key = KeyOf(owner, request.id, message.assignment_number);
  if (handle_by_key_.contains(key)) {
    return;
  }
  const Handle handle = next_handle_++;
  handle_by_key_[key] = handle;
  const absl::Time deadline = now + request.deadline;
  Assignment& assignment =
      assignments_
          .emplace(handle, Assignment{owner, context_.link.BootIdOf(owner),
                                      std::move(message), now, deadline})
          .first->second;
  if (context_.shutting_down) {
    Finish(handle,
           {AssignmentOutcomeKind::kNotSent, ResultCode::kRefusedShuttingDown},
           now);
    return;
  }
  Enqueue(handle, assignment, now);
  DispatchQueued(now);
}

void Home::Enqueue(Handle handle, Assignment& assignment, absl::Time now) {
  const config::Service* service = context_.FindService(assignment.service());
  if (service == nullptr ||
      !pool_.Serves(assignment.service(), assignment.message.avoid_server)) {
    const bool shed = assignment.message.attempts > 0;
    Finish(
        handle,
        {shed ? AssignmentOutcomeKind::kShed : AssignmentOutcomeKind::kNotSent,
         ResultCode::kRefusedNoServer},
        now);
    return;
  }
  const double worth = assignment.message.routed.request.worth;
  const std::optional<RequestQueue::Entry> evicted =
      queues_[assignment.service()].Add(
          {handle, worth, now, assignment.deadline}, service->limits.queue);
  if (!evicted.has_value()) {
    return;
  }
  const bool low_worth = evicted->worth < worth;
  Finish(evicted->handle,
         {AssignmentOutcomeKind::kNotSent, low_worth
                                               ? ResultCode::kRefusedLowWorth
                                               : ResultCode::kRefusedQueueFull},
         now);
}

void Home::DispatchQueued(absl::Time now) {
  while (DispatchNext(now)) {
  }
}

double Home::Priority(const Assignment& assignment, absl::Time now) const {
  // Organisations below their floor share go first, the one with the lowest
  // share foremost. All others are ordered by worth per second of slot time.
  constexpr double kBelowFloorPriority = 1e12;
  const std::string& organisation =
      assignment.message.routed.request.organisation;
  const double share = organisation_shares_.share(organisation, now);
  if (share < context_.options.organisation_floor) {
    return kBelowFloorPriority * (2 - share);
  }
  const auto stats = stats_.find(assignment.service());
  const double seconds =
      stats == stats_.end()
          ? 0
          : absl::ToDoubleSeconds(stats->second.service_time());
  return assignment.message.routed.request.worth / std::max(seconds, 1e-4);
}

bool Home::DispatchNext(absl::Time now) {
  Handle best = 0;
  ServerState* best_server = nullptr;
  double best_priority = -1;
  for (const auto& named : queues_) {
    const std::string& service = named.first;
    const RequestQueue& queue = named.second;
    if (queue.empty() || pool_.Pick(service, "", now) == nullptr) {
      continue;
    }
    const auto entry =
        queue.Peek(now, stats_[service].service_time(), [&](Handle handle) {
          return pool_.Pick(service,
                            assignments_.at(handle).message.avoid_server,
                            now) != nullptr;
        });
    if (!entry.has_value()) {
      continue;
    }
    const Assignment& assignment = assignments_.at(entry->handle);
    const double priority = Priority(assignment, now);
    if (priority > best_priority) {
      best = entry->handle;
      best_priority = priority;
      best_server = pool_.Pick(service, assignment.message.avoid_server, now);
    }
  }
  if (best_server == nullptr) {
    return false;
  }
  Start(best, *best_server, now);
  return true;
}

void Home::Start(Handle handle, ServerState& server, absl::Time now) {
  Assignment& assignment = assignments_.at(handle);
  queues_[assignment.service()].Remove(handle);
  const bool retry = assignment.message.attempts > 0;
  if (retry && !budget_.TryTake()) {
    Finish(handle,
           {AssignmentOutcomeKind::kShed, ResultCode::kRefusedRetryBudget},
           now);
    return;
  }
  if (!retry) {
    budget_.OnFirstAttempt();
  }
  ++assignment.message.attempts;
  assignment.server = server.name();
  assignment.attempt_id = fmt::format("{}-{:x}-{:x}", context_.options.self,
                                      context_.options.boot_id, next_handle_++);
  assignment.sent = now;
  handle_by_attempt_[assignment.attempt_id] = handle;
  server.OnSent(now);
  stats_[assignment.service()].AddQueueTime(now - assignment.received);

  Request request = assignment.message.routed.request;
  request.deadline = assignment.deadline - now;
  request.attempt = assignment.message.attempts;
  request.attempt_id = assignment.attempt_id;
  DispatchCounters& counters = context_.outbox.counters();
  ++counters.attempts;
  counters.retries += retry ? 1 : 0;
  context_.outbox.ToServer(server.config().address, std::move(request));
  context_.outbox.LogDecision(
      {retry ? DecisionKind::kRetried : DecisionKind::kServerChosen,
       assignment.id(), assignment.service(), server.name(), ResultCode::kOk,
       fmt::format("{} of {} slots in use", server.in_flight(),
                   server.allowed())});
}

Home::Assignment* Home::FindAttempt(const std::string& attempt_id,
                                    Handle* handle) {
  const auto it = handle_by_attempt_.find(attempt_id);
  if (it == handle_by_attempt_.end()) {
    return nullptr;
  }
  *handle = it->second;
  return &assignments_.at(it->second);
}

void Home::OnAnswer(AnswerPart part, absl::Time now) {
  Handle handle = 0;
  Assignment* assignment = FindAttempt(part.attempt_id, &handle);
  const bool matches = assignment != nullptr && part.id == assignment->id() &&
                       part.server == assignment->server &&
                       part.service == assignment->service();
  if (!matches) {
    ++context_.outbox.counters().dropped_answers;
    context_.outbox.LogDecision({DecisionKind::kAnswerDropped, part.id,
                                 part.service, part.server, ResultCode::kOk,
                                 "matches no running attempt"});
    return;
  }
  const AnswerPart header = [&] {
    AnswerPart head = part;
    head.body.clear();
    return head;
  }();
  switch (assignment->answer.Add(std::move(part))) {
    case AnswerCollector::Outcome::kDropped:
      ++context_.outbox.counters().dropped_answers;
      return;
    case AnswerCollector::Outcome::kIncomplete:
      assignment->last_part = now;
      return;
    case AnswerCollector::Outcome::kChecksumMismatch:
      EndAttempt(*assignment, true, now);
      Finish(handle,
             {AssignmentOutcomeKind::kAnswerIncomplete, ResultCode::kAnswerCut},
             now);
      return;
    case AnswerCollector::Outcome::kComplete:
      break;
  }
  ServerState* server = pool_.Find(assignment->server);
  const ServerState::Change change = server == nullptr
                                         ? ServerState::Change::kNone
                                         : server->OnAnswer(header, now);
  const absl::Time sent = assignment->sent;
  OnAnswerComplete(handle, now);
  if (server != nullptr) {
    HandleServerChange(*server, change, sent, now);
  }
  DispatchQueued(now);
}

void Home::OnAnswerComplete(Handle handle, absl::Time now) {
  Assignment& assignment = assignments_.at(handle);
  const absl::Duration elapsed = now - assignment.sent;
  ServiceStats& stats = stats_[assignment.service()];
  stats.AddServiceTime(elapsed);
  stats.AddAnswerTime(now - assignment.received);
  organisation_shares_.AddSlotTime(
      assignment.message.routed.request.organisation, elapsed, now);
  std::vector<AnswerPart> parts = assignment.answer.Take();
  EndAttempt(assignment, true, now);
  const SlotHint hint = Hint(assignment.service(), now);
  const bool owner_gone = IsOwnerGone(assignment);
  for (AnswerPart& part : parts) {
    part.attempt_id.clear();
    if (owner_gone) {
      // The owner may still be running unnoticed, but if it is not, only this
      // daemon can answer the caller.
      context_.outbox.ToCaller(assignment.message.routed, part);
    }
    context_.link.Send(
        assignment.owner,
        AssignmentAnswer{assignment.message.assignment_number, std::move(part),
                         hint, assignment.message.routed.caller,
                         assignment.message.routed.service_address},
        now, now + context_.options.repeat_lifetime);
  }
  Erase(handle);
}

bool Home::IsOwnerGone(const Assignment& assignment) const {
  const std::uint64_t boot = context_.link.BootIdOf(assignment.owner);
  return !context_.members.Contains(assignment.owner) ||
         (boot != 0 && boot != assignment.owner_boot_id);
}

void Home::OnShed(const Shed& shed, absl::Time now) {
  Handle handle = 0;
  Assignment* assignment = FindAttempt(shed.attempt_id, &handle);
  if (assignment == nullptr || shed.server != assignment->server ||
      shed.id != assignment->id()) {
    ++context_.outbox.counters().dropped_answers;
    return;
  }
  ++context_.outbox.counters().sheds;
  ServerState* server = pool_.Find(assignment->server);
  EndAttempt(*assignment, true, now);
  if (server != nullptr) {
    HandleServerChange(*server, server->OnShed(shed.incarnation, now),
                       assignment->sent, now);
  }
  RetryOrFinish(handle,
                {AssignmentOutcomeKind::kShed, ResultCode::kRefusedShed}, now);
  DispatchQueued(now);
}

void Home::RetryOrFinish(Handle handle,
                         const EndReason& final_reason,
                         absl::Time now) {
  Assignment& assignment = assignments_.at(handle);
  assignment.message.avoid_server = assignment.server;
  assignment.server.clear();
  const bool may_retry =
      assignment.message.attempts < context_.options.max_attempts &&
      !context_.shutting_down &&
      pool_.Serves(assignment.service(), assignment.message.avoid_server);
  if (!may_retry) {
    Finish(handle, final_reason, now);
    return;
  }
  Enqueue(handle, assignment, now);
}

void Home::EndAttempt(Assignment& assignment,
                      bool slot_is_released,
                      absl::Time now) {
  handle_by_attempt_.erase(assignment.attempt_id);
  ServerState* server = pool_.Find(assignment.server);
  if (server != nullptr && slot_is_released) {
    server->OnSlotReleased();
  } else if (server != nullptr) {
    server->ReleaseSlotAt(now + kCancelGrace);
    context_.outbox.ToServer(server->config().address,
                             Cancel{assignment.id(), assignment.attempt_id});
  }
  assignment.answer.Reset();
}

// The server of the attempt was taken out, so no answer is expected.
void Home::OnServerRemoved(Handle handle, absl::Time now) {
  Assignment& assignment = assignments_.at(handle);
  EndAttempt(assignment, true, now);
  assignment.may_have_run = true;
  const EndReason unknown{AssignmentOutcomeKind::kUnknown,
                          ResultCode::kOutcomeUnknown};
  if (assignment.message.routed.request.idempotent) {
    RetryOrFinish(handle, unknown, now);
    return;
  }
  Finish(handle, unknown, now);
}

void Home::HandleServerChange(ServerState& server,
                              ServerState::Change change,
                              absl::Time sent,
                              absl::Time now) {
  if (change == ServerState::Change::kRestarted) {
    context_.outbox.LogDecision(
        {DecisionKind::kServerCold, "", "", server.name(), ResultCode::kOk,
         "incarnation changed, so the server restarted"});
    RetryEarlierAttempts(server, sent, now);
  } else if (change == ServerState::Change::kWarmedUp) {
    context_.outbox.LogDecision({DecisionKind::kServerWarm, "", "",
                                 server.name(), ResultCode::kOk,
                                 "warm-up finished"});
  } else if (change == ServerState::Change::kEjected &&
             pool_.TryEject(server, now)) {
    context_.outbox.LogDecision({DecisionKind::kServerEjected, "", "",
                                 server.name(), ResultCode::kOk,
                                 "attempts in a row ended without an answer"});
  }
}

// An attempt that was sent before the one that revealed the new incarnation was
// most likely lost in the restart. Idempotent requests are retried. A
// non-idempotent request may be running on the new incarnation, so its answer
// is awaited and its slot stays in use.
void Home::RetryEarlierAttempts(const ServerState& server,
                                absl::Time sent,
                                absl::Time now) {
  std::vector<Handle> lost;
  for (const auto& [handle, assignment] : assignments_) {
    if (assignment.server == server.name() && assignment.running() &&
        assignment.sent < sent &&
        assignment.message.routed.request.idempotent) {
      lost.push_back(handle);
    }
  }
  for (const Handle handle : lost) {
    EndAttempt(assignments_.at(handle), false, now);
    assignments_.at(handle).may_have_run = true;
    RetryOrFinish(
        handle, {AssignmentOutcomeKind::kUnknown, ResultCode::kOutcomeUnknown},
        now);
  }
}

void Home::OnLoadReport(const LoadReport& report, absl::Time now) {
  ServerState* server = pool_.Find(report.server);
  if (server != nullptr) {
    HandleServerChange(*server, server->OnLoadReport(report, now),
                       absl::InfinitePast(), now);
  }
}

void Home::OnServerHint(const ServerHint& hint, absl::Time now) {
  pool_.OnServerHint(hint, now);
}

void Home::OnFlowsLost(Endpoint address, absl::Time now) {
  ServerState* server = pool_.FindByAddress(address);
  if (server != nullptr && !server->cold()) {
    server->MarkCold(now);
    context_.outbox.LogDecision({DecisionKind::kServerCold, "", "",
                                 server->name(), ResultCode::kOk,
                                 "server lost its flows"});
  }
}

void Home::OnAssignmentCancel(const std::string& owner,
                              const AssignmentCancel& cancel,
                              absl::Time now) {
  const auto it =
      handle_by_key_.find(KeyOf(owner, cancel.id, cancel.assignment_number));
  if (it == handle_by_key_.end()) {
    return;
  }
  const Handle handle = it->second;
  Assignment& assignment = assignments_.at(handle);
  const bool sent = assignment.running();
  const bool shed = assignment.message.attempts > 0;
  if (sent) {
    EndAttempt(assignment, false, now);
  } else {
    queues_[assignment.service()].Remove(handle);
  }
  const AssignmentOutcomeKind kind = sent   ? AssignmentOutcomeKind::kUnknown
                                     : shed ? AssignmentOutcomeKind::kShed
                                            : AssignmentOutcomeKind::kNotSent;
  Finish(handle, {kind, ResultCode::kCancelled}, now);
  DispatchQueued(now);
}

void Home::OnTick(absl::Time now) {
  pool_.OnTick(now);
  EndTimedOutAttempts(now);
  RefuseNearDeadline(now);
  ReturnForFreeHome(now);
  DispatchQueued(now);
}

void Home::EndTimedOutAttempts(absl::Time now) {
  std::vector<Handle> timed_out;
  for (const auto& [handle, assignment] : assignments_) {
    const bool past_deadline =
        assignment.running() && now >= assignment.deadline;
    const bool incomplete =
        !assignment.answer.empty() && now - assignment.last_part >= kMaxPartGap;
    if (past_deadline || incomplete) {
      timed_out.push_back(handle);
    }
  }
  for (const Handle handle : timed_out) {
    Assignment& assignment = assignments_.at(handle);
    const bool incomplete = !assignment.answer.empty();
    ServerState* server = pool_.Find(assignment.server);
    EndAttempt(assignment, incomplete, now);
    if (!incomplete && server != nullptr) {
      HandleServerChange(*server, server->OnAttemptTimeout(assignment.sent),
                         assignment.sent, now);
    }
    const EndReason reason =
        incomplete ? EndReason{AssignmentOutcomeKind::kAnswerIncomplete,
                               ResultCode::kAnswerCut}
                   : EndReason{AssignmentOutcomeKind::kUnknown,
                               ResultCode::kOutcomeUnknown};
    assignment.may_have_run = true;
    if (incomplete && assignment.message.routed.request.idempotent &&
        now < assignment.deadline) {
      RetryOrFinish(handle, reason, now);
    } else {
      Finish(handle, reason, now);
    }
  }
}

void Home::RefuseNearDeadline(absl::Time now) {
  for (auto& [service, queue] : queues_) {
    const absl::Duration needed = std::max(
        context_.options.deadline_margin * stats_[service].service_time(),
        absl::Milliseconds(1));
    for (const RequestQueue::Entry& entry :
         queue.TakeNearDeadline(now, needed)) {
      const bool shed = assignments_.at(entry.handle).message.attempts > 0;
      Finish(entry.handle,
             {shed ? AssignmentOutcomeKind::kShed
                   : AssignmentOutcomeKind::kNotSent,
              ResultCode::kRefusedDeadline},
             now);
    }
  }
}

void Home::ReturnForFreeHome(absl::Time now) {
  if (!policy_.coordinated()) {
    return;
  }
  std::vector<Handle> returned;
  for (const auto& [handle, assignment] : assignments_) {
    const bool may_return =
        !assignment.running() && assignment.message.attempts == 0 &&
        now - assignment.received >= kReturnAfter &&
        assignment.message.assignment_number < kMaxAssignmentsToReturn;
    if (may_return &&
        context_.directory.HasFreeSlotElsewhere(
            assignment.service(), context_.options.self, context_.members)) {
      returned.push_back(handle);
      break;  // One per tick: each returned request outdates the hints.
    }
  }
  for (const Handle handle : returned) {
    queues_[assignments_.at(handle).service()].Remove(handle);
    Finish(handle,
           {AssignmentOutcomeKind::kNotSent, ResultCode::kRefusedQueueFull},
           now);
  }
}

void Home::BeginShutdown(absl::Time now) {
  for (auto& [service, queue] : queues_) {
    for (const RequestQueue::Entry& entry : queue.TakeAll()) {
      const bool shed = assignments_.at(entry.handle).message.attempts > 0;
      Finish(entry.handle,
             {shed ? AssignmentOutcomeKind::kShed
                   : AssignmentOutcomeKind::kNotSent,
              ResultCode::kRefusedShuttingDown},
             now);
    }
  }
}

void Home::Finish(Handle handle, const EndReason& reason, absl::Time now) {
  Assignment& assignment = assignments_.at(handle);
  const bool known_not_run = reason.kind == AssignmentOutcomeKind::kNotSent ||
                             reason.kind == AssignmentOutcomeKind::kShed;
  AssignmentOutcome outcome;
  outcome.id = assignment.id();
  outcome.assignment_number = assignment.message.assignment_number;
  outcome.kind = reason.kind;
  outcome.code = reason.code;
  if (known_not_run && assignment.may_have_run) {
    outcome.kind = AssignmentOutcomeKind::kUnknown;
    outcome.code = ResultCode::kOutcomeUnknown;
  }
  outcome.attempts = assignment.message.attempts;
  outcome.server = assignment.message.avoid_server;
  outcome.hint = Hint(assignment.service(), now);
  const std::string owner = assignment.owner;
  Erase(handle);
  context_.link.Send(owner, std::move(outcome), now,
                     now + context_.options.repeat_lifetime);
}

void Home::Erase(Handle handle) {
  const Assignment& assignment = assignments_.at(handle);
  handle_by_key_.erase(KeyOf(assignment.owner, assignment.id(),
                             assignment.message.assignment_number));
  handle_by_attempt_.erase(assignment.attempt_id);
  assignments_.erase(handle);
}

SlotHint Home::Hint(const std::string& service, absl::Time now) const {
  SlotHint hint = pool_.Hint(service, now);
  hint.queued = queued(service);
  hint.free = hint.queued > 0 || context_.shutting_down ? 0 : hint.free;
  return hint;
}

SlotHints Home::AllHints(absl::Time now) const {
  SlotHints hints;
  for (const auto& [name, service] : context_.snapshot->services) {
    if (pool_.Serves(name, "")) {
      hints.hints.push_back(Hint(name, now));
    }
  }
  hints.servers = pool_.ServerHints(now);
  return hints;
}

std::uint32_t Home::queued(std::string_view service) const {
  const auto it = queues_.find(service);
  return it == queues_.end() ? 0
                             : static_cast<std::uint32_t>(it->second.size());
}

std::vector<ServerStatus> Home::servers(absl::Time now) const {
  std::vector<ServerStatus> list;
  for (const auto& [name, server] : pool_.servers()) {
    if (!pool_.Manages(server)) {
      continue;
    }
    list.push_back({name, context_.options.self, server.in_flight(),
                    server.allowed(), server.config().slots, server.cold(),
                    server.ejected(now), server.incarnation()});
  }
  return list;
}

}  // namespace gcw::dispatch
