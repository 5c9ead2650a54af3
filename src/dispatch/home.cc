#include "src/dispatch/home.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace gcw::dispatch {
namespace {

// Parts of one answer come this close to each other, or one is lost.
constexpr absl::Duration kPartGap = absl::Milliseconds(150);
// A cancelled attempt has left its slot by then.
constexpr absl::Duration kCancelGrace = absl::Milliseconds(30);
// A queued request is returned if another home has had free slots for this
// long.
constexpr absl::Duration kMisplacedAfter = absl::Milliseconds(5);
constexpr std::uint32_t kMaxHandOvers = 4;

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
  const std::vector<std::string> given_up = pool_.Refresh(now);
  std::vector<Handle> lost;
  for (const auto& [handle, held] : held_) {
    const bool out = held.running() &&
                     std::find(given_up.begin(), given_up.end(), held.server) !=
                         given_up.end();
    if (out) {
      lost.push_back(handle);
    }
  }
  for (const Handle handle : lost) {
    OnLost(handle, now);
  }
  // What waits for servers that are no longer this daemon's goes back.
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
  Pump(now);
}

void Home::OnHand(const std::string& owner,
                  AssignRequest hand,
                  absl::Time now) {
  const Request& request = hand.routed.request;
  const std::string key = KeyOf(owner, request.id, hand.assignment_number);
  if (by_key_.contains(key)) {
    return;
  }
  const Handle handle = next_handle_++;
  by_key_[key] = handle;
  const absl::Time deadline = now + request.deadline;
  Held& held = held_
                   .emplace(handle, Held{owner, context_.link.BootOf(owner),
                                         std::move(hand), now, deadline})
                   .first->second;
  if (context_.shutting_down) {
    Finish(handle,
           {AssignmentOutcomeKind::kNotSent, ResultCode::kRefusedShuttingDown},
           now);
    return;
  }
  Enqueue(handle, held, now);
  Pump(now);
}

void Home::Enqueue(Handle handle, Held& held, absl::Time now) {
  const config::Service* service = context_.FindService(held.service());
  if (service == nullptr || !pool_.Serves(held.service(), held.hand.avoid)) {
    const bool shed = held.hand.attempts > 0;
    Finish(
        handle,
        {shed ? AssignmentOutcomeKind::kShed : AssignmentOutcomeKind::kNotSent,
         ResultCode::kRefusedNoServer},
        now);
    return;
  }
  const double worth = held.hand.routed.request.worth;
  const std::optional<RequestQueue::Entry> out = queues_[held.service()].Add(
      {handle, worth, now, held.deadline}, service->limits.queue);
  if (!out.has_value()) {
    return;
  }
  const bool low_worth = out->worth < worth;
  Finish(out->handle,
         {AssignmentOutcomeKind::kNotSent, low_worth
                                               ? ResultCode::kRefusedLowWorth
                                               : ResultCode::kRefusedQueueFull},
         now);
}

void Home::Pump(absl::Time now) {
  while (PumpOne(now)) {
  }
}

double Home::Priority(const Held& held, absl::Time now) const {
  // Organisations below their floor go before all others; then worth for slot
  // time.
  constexpr double kFirst = 1e12;
  const std::string& organisation = held.hand.routed.request.organisation;
  const double share = shares_.share(organisation, now);
  if (share < context_.options.organisation_floor) {
    return kFirst * (2 - share);
  }
  const auto stats = stats_.find(held.service());
  const double seconds =
      stats == stats_.end()
          ? 0
          : absl::ToDoubleSeconds(stats->second.service_time());
  return held.hand.routed.request.worth / std::max(seconds, 1e-4);
}

bool Home::PumpOne(absl::Time now) {
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
          return pool_.Pick(service, held_.at(handle).hand.avoid, now) !=
                 nullptr;
        });
    if (!entry.has_value()) {
      continue;
    }
    const Held& held = held_.at(entry->handle);
    const double priority = Priority(held, now);
    if (priority > best_priority) {
      best = entry->handle;
      best_priority = priority;
      best_server = pool_.Pick(service, held.hand.avoid, now);
    }
  }
  if (best_server == nullptr) {
    return false;
  }
  Start(best, *best_server, now);
  return true;
}

void Home::Start(Handle handle, ServerState& server, absl::Time now) {
  Held& held = held_.at(handle);
  queues_[held.service()].Remove(handle);
  const bool retry = held.hand.attempts > 0;
  if (retry && !budget_.TryTake()) {
    Finish(handle,
           {AssignmentOutcomeKind::kShed, ResultCode::kRefusedRetryBudget},
           now);
    return;
  }
  if (!retry) {
    budget_.OnFirstAttempt();
  }
  ++held.hand.attempts;
  held.server = server.name();
  held.attempt_id = fmt::format("{}-{:x}-{:x}", context_.options.self,
                                context_.options.boot_id, next_handle_++);
  held.sent = now;
  by_attempt_[held.attempt_id] = handle;
  server.OnSent(now);
  stats_[held.service()].AddQueueTime(now - held.received);

  Request request = held.hand.routed.request;
  request.deadline = held.deadline - now;
  request.attempt = held.hand.attempts;
  request.attempt_id = held.attempt_id;
  DispatchCounters& counters = context_.outbox.counters();
  ++counters.attempts;
  counters.retries += retry ? 1 : 0;
  context_.outbox.ToServer(server.config().address, std::move(request));
  context_.outbox.Decide(
      {retry ? DecisionKind::kRetried : DecisionKind::kServerChosen, held.id(),
       held.service(), server.name(), ResultCode::kOk,
       fmt::format("{} of {} slots in use", server.in_flight(),
                   server.allowed())});
}

Home::Held* Home::FindAttempt(const std::string& attempt_id, Handle* handle) {
  const auto it = by_attempt_.find(attempt_id);
  if (it == by_attempt_.end()) {
    return nullptr;
  }
  *handle = it->second;
  return &held_.at(it->second);
}

void Home::OnAnswer(AnswerPart part, absl::Time now) {
  Handle handle = 0;
  Held* held = FindAttempt(part.attempt_id, &handle);
  const bool matches = held != nullptr && part.id == held->id() &&
                       part.server == held->server &&
                       part.service == held->service();
  if (!matches) {
    ++context_.outbox.counters().dropped_answers;
    context_.outbox.Decide({DecisionKind::kAnswerDropped, part.id, part.service,
                            part.server, ResultCode::kOk,
                            "no such attempt waits"});
    return;
  }
  const AnswerPart sign = [&] {
    AnswerPart head = part;
    head.body.clear();
    return head;
  }();
  switch (held->answer.Add(std::move(part))) {
    case AnswerCollector::Outcome::kDropped:
      ++context_.outbox.counters().dropped_answers;
      return;
    case AnswerCollector::Outcome::kMore:
      held->last_part = now;
      return;
    case AnswerCollector::Outcome::kBroken:
      LeaveServer(*held, true, now);
      Finish(handle,
             {AssignmentOutcomeKind::kAnswerIncomplete, ResultCode::kAnswerCut},
             now);
      return;
    case AnswerCollector::Outcome::kWhole:
      break;
  }
  ServerState* server = pool_.Find(held->server);
  const ServerState::Change change = server == nullptr
                                         ? ServerState::Change::kNone
                                         : server->OnAnswer(sign, now);
  const absl::Time sent = held->sent;
  OnWhole(handle, now);
  if (server != nullptr) {
    Judge(*server, change, sent, now);
  }
  Pump(now);
}

void Home::OnWhole(Handle handle, absl::Time now) {
  Held& held = held_.at(handle);
  const absl::Duration elapsed = now - held.sent;
  ServiceStats& stats = stats_[held.service()];
  stats.AddServiceTime(elapsed);
  stats.AddAnswerTime(now - held.received);
  shares_.AddSlotTime(held.hand.routed.request.organisation, elapsed, now);
  std::vector<AnswerPart> parts = held.answer.Take();
  LeaveServer(held, true, now);
  const SlotHint hint = Hint(held.service(), now);
  const bool owner_gone = IsOwnerGone(held);
  for (AnswerPart& part : parts) {
    part.attempt_id.clear();
    if (owner_gone) {
      // It may live on unseen, but nobody else can tell the caller.
      context_.outbox.ToCaller(held.hand.routed, part);
    }
    context_.link.Send(
        held.owner,
        AssignmentAnswer{held.hand.assignment_number, std::move(part), hint,
                         held.hand.routed.caller,
                         held.hand.routed.service_address},
        now, now + context_.options.repeat_lifetime);
  }
  Erase(handle);
}

bool Home::IsOwnerGone(const Held& held) const {
  const std::uint64_t boot = context_.link.BootOf(held.owner);
  return !context_.members.Has(held.owner) ||
         (boot != 0 && boot != held.owner_boot);
}

void Home::OnShed(const Shed& shed, absl::Time now) {
  Handle handle = 0;
  Held* held = FindAttempt(shed.attempt_id, &handle);
  if (held == nullptr || shed.server != held->server || shed.id != held->id()) {
    ++context_.outbox.counters().dropped_answers;
    return;
  }
  ++context_.outbox.counters().sheds;
  ServerState* server = pool_.Find(held->server);
  LeaveServer(*held, true, now);
  if (server != nullptr) {
    Judge(*server, server->OnShed(shed.incarnation, now), held->sent, now);
  }
  TryAgain(handle, {AssignmentOutcomeKind::kShed, ResultCode::kRefusedShed},
           now);
  Pump(now);
}

void Home::TryAgain(Handle handle, const Ending& otherwise, absl::Time now) {
  Held& held = held_.at(handle);
  held.hand.avoid = held.server;
  held.server.clear();
  const bool may = held.hand.attempts < context_.options.max_attempts &&
                   !context_.shutting_down &&
                   pool_.Serves(held.service(), held.hand.avoid);
  if (!may) {
    Finish(handle, otherwise, now);
    return;
  }
  Enqueue(handle, held, now);
}

void Home::LeaveServer(Held& held, bool slot_is_free, absl::Time now) {
  by_attempt_.erase(held.attempt_id);
  ServerState* server = pool_.Find(held.server);
  if (server != nullptr && slot_is_free) {
    server->OnSlotFree();
  } else if (server != nullptr) {
    server->OnSlotFreeAt(now + kCancelGrace);
    context_.outbox.ToServer(server->config().address,
                             Cancel{held.id(), held.attempt_id});
  }
  held.answer.Reset();
}

// The server that ran the attempt is gone, and with it the attempt.
void Home::OnLost(Handle handle, absl::Time now) {
  Held& held = held_.at(handle);
  LeaveServer(held, true, now);
  held.may_have_run = true;
  const Ending unknown{AssignmentOutcomeKind::kUnknown,
                       ResultCode::kOutcomeUnknown};
  if (held.hand.routed.request.idempotent) {
    TryAgain(handle, unknown, now);
    return;
  }
  Finish(handle, unknown, now);
}

void Home::Judge(ServerState& server,
                 ServerState::Change change,
                 absl::Time sent,
                 absl::Time now) {
  if (change == ServerState::Change::kRestarted) {
    context_.outbox.Decide({DecisionKind::kServerCold, "", "", server.name(),
                            ResultCode::kOk, "incarnation changed"});
    LoseEarlier(server, sent, now);
  } else if (change == ServerState::Change::kTurnedWarm) {
    context_.outbox.Decide({DecisionKind::kServerWarm, "", "", server.name(),
                            ResultCode::kOk, "answers at full load"});
  } else if (change == ServerState::Change::kEjected &&
             pool_.TryEject(server, now)) {
    context_.outbox.Decide({DecisionKind::kServerEjected, "", "", server.name(),
                            ResultCode::kOk, "attempts end without an answer"});
  }
}

// An attempt that was sent before one which met the new incarnation is most
// likely lost. An idempotent one is made again. A non-idempotent one may run on
// the new incarnation, so its answer is awaited and its slot stays in use.
void Home::LoseEarlier(const ServerState& server,
                       absl::Time sent,
                       absl::Time now) {
  std::vector<Handle> lost;
  for (const auto& [handle, held] : held_) {
    if (held.server == server.name() && held.running() && held.sent < sent &&
        held.hand.routed.request.idempotent) {
      lost.push_back(handle);
    }
  }
  for (const Handle handle : lost) {
    LeaveServer(held_.at(handle), false, now);
    held_.at(handle).may_have_run = true;
    TryAgain(handle,
             {AssignmentOutcomeKind::kUnknown, ResultCode::kOutcomeUnknown},
             now);
  }
}

void Home::OnLoadReport(const LoadReport& report, absl::Time now) {
  ServerState* server = pool_.Find(report.server);
  if (server != nullptr) {
    Judge(*server, server->OnLoadReport(report, now), absl::InfinitePast(),
          now);
  }
}

void Home::OnServerHint(const ServerHint& hint, absl::Time now) {
  pool_.OnServerHint(hint, now);
}

void Home::OnFlowsLost(Endpoint address, absl::Time now) {
  ServerState* server = pool_.FindByAddress(address);
  if (server != nullptr && !server->cold()) {
    server->TurnCold(now);
    context_.outbox.Decide({DecisionKind::kServerCold, "", "", server->name(),
                            ResultCode::kOk, "flows lost"});
  }
}

void Home::OnHandCancel(const std::string& owner,
                        const AssignmentCancel& cancel,
                        absl::Time now) {
  const auto it =
      by_key_.find(KeyOf(owner, cancel.id, cancel.assignment_number));
  if (it == by_key_.end()) {
    return;
  }
  const Handle handle = it->second;
  Held& held = held_.at(handle);
  const bool sent = held.running();
  const bool shed = held.hand.attempts > 0;
  if (sent) {
    LeaveServer(held, false, now);
  } else {
    queues_[held.service()].Remove(handle);
  }
  const AssignmentOutcomeKind kind = sent   ? AssignmentOutcomeKind::kUnknown
                                     : shed ? AssignmentOutcomeKind::kShed
                                            : AssignmentOutcomeKind::kNotSent;
  Finish(handle, {kind, ResultCode::kCancelled}, now);
  Pump(now);
}

void Home::OnTick(absl::Time now) {
  pool_.OnTick(now);
  EndOverdue(now);
  EndHopeless(now);
  ReturnMisplaced(now);
  Pump(now);
}

void Home::EndOverdue(absl::Time now) {
  std::vector<Handle> overdue;
  for (const auto& [handle, held] : held_) {
    const bool late = held.running() && now >= held.deadline;
    const bool cut = !held.answer.empty() && now - held.last_part >= kPartGap;
    if (late || cut) {
      overdue.push_back(handle);
    }
  }
  for (const Handle handle : overdue) {
    Held& held = held_.at(handle);
    const bool cut = !held.answer.empty();
    ServerState* server = pool_.Find(held.server);
    LeaveServer(held, cut, now);
    if (!cut && server != nullptr) {
      Judge(*server, server->OnSilence(held.sent), held.sent, now);
    }
    const Ending ending = cut ? Ending{AssignmentOutcomeKind::kAnswerIncomplete,
                                       ResultCode::kAnswerCut}
                              : Ending{AssignmentOutcomeKind::kUnknown,
                                       ResultCode::kOutcomeUnknown};
    held.may_have_run = true;
    if (cut && held.hand.routed.request.idempotent && now < held.deadline) {
      TryAgain(handle, ending, now);
    } else {
      Finish(handle, ending, now);
    }
  }
}

void Home::EndHopeless(absl::Time now) {
  for (auto& [service, queue] : queues_) {
    const absl::Duration needed = std::max(
        context_.options.deadline_margin * stats_[service].service_time(),
        absl::Milliseconds(1));
    for (const RequestQueue::Entry& entry : queue.TakeHopeless(now, needed)) {
      const bool shed = held_.at(entry.handle).hand.attempts > 0;
      Finish(entry.handle,
             {shed ? AssignmentOutcomeKind::kShed
                   : AssignmentOutcomeKind::kNotSent,
              ResultCode::kRefusedDeadline},
             now);
    }
  }
}

void Home::ReturnMisplaced(absl::Time now) {
  if (!policy_.shares()) {
    return;
  }
  std::vector<Handle> misplaced;
  for (const auto& [handle, held] : held_) {
    const bool waits = !held.running() && held.hand.attempts == 0 &&
                       now - held.received >= kMisplacedAfter &&
                       held.hand.assignment_number < kMaxHandOvers;
    if (waits && context_.directory.IsFreeElsewhere(
                     held.service(), context_.options.self, context_.members)) {
      misplaced.push_back(handle);
      break;  // One for each look: hints age as they are used.
    }
  }
  for (const Handle handle : misplaced) {
    queues_[held_.at(handle).service()].Remove(handle);
    Finish(handle,
           {AssignmentOutcomeKind::kNotSent, ResultCode::kRefusedQueueFull},
           now);
  }
}

void Home::BeginShutdown(absl::Time now) {
  for (auto& [service, queue] : queues_) {
    for (const RequestQueue::Entry& entry : queue.TakeAll()) {
      const bool shed = held_.at(entry.handle).hand.attempts > 0;
      Finish(entry.handle,
             {shed ? AssignmentOutcomeKind::kShed
                   : AssignmentOutcomeKind::kNotSent,
              ResultCode::kRefusedShuttingDown},
             now);
    }
  }
}

void Home::Finish(Handle handle, const Ending& ending, absl::Time now) {
  Held& held = held_.at(handle);
  const bool proven = ending.kind == AssignmentOutcomeKind::kNotSent ||
                      ending.kind == AssignmentOutcomeKind::kShed;
  AssignmentOutcome outcome;
  outcome.id = held.id();
  outcome.assignment_number = held.hand.assignment_number;
  outcome.kind = ending.kind;
  outcome.code = ending.code;
  if (proven && held.may_have_run) {
    outcome.kind = AssignmentOutcomeKind::kUnknown;
    outcome.code = ResultCode::kOutcomeUnknown;
  }
  outcome.attempts = held.hand.attempts;
  outcome.server = held.hand.avoid;
  outcome.hint = Hint(held.service(), now);
  const std::string owner = held.owner;
  Erase(handle);
  context_.link.Send(owner, std::move(outcome), now,
                     now + context_.options.repeat_lifetime);
}

void Home::Erase(Handle handle) {
  const Held& held = held_.at(handle);
  by_key_.erase(KeyOf(held.owner, held.id(), held.hand.assignment_number));
  by_attempt_.erase(held.attempt_id);
  held_.erase(handle);
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
    if (!pool_.IsMine(server)) {
      continue;
    }
    list.push_back({name, context_.options.self, server.in_flight(),
                    server.allowed(), server.config().slots, server.cold(),
                    server.ejected(now), server.incarnation()});
  }
  return list;
}

}  // namespace gcw::dispatch
