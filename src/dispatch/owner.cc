#include "src/dispatch/owner.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "fmt/format.h"
#include "gcw/base/hash.h"

namespace gcw::dispatch {
namespace {

// Time until a request that no home can take now is tried again.
constexpr absl::Duration kAssignRetryInterval = absl::Milliseconds(20);
// A request with less time than this before its deadline is not assigned again.
constexpr absl::Duration kMinTimeToAssign = absl::Milliseconds(2);
// Time after the deadline during which the owner still waits for the home's
// outcome, because a late but definite outcome is better than "unknown". When
// this time expires, the request is refused as "outcome unknown".
constexpr absl::Duration kLateAnswerGrace = absl::Milliseconds(150);
// Bounds the return paths that are kept for one request.
constexpr std::size_t kMaxCopies = 16;
constexpr std::uint32_t kMaxAssignments = 50;
// Assignments of one request without a pause of kAssignRetryInterval between
// them.
constexpr std::uint32_t kMaxImmediateAssignments = 3;

// Identifies the contents of a request, which are equal in all its repeats.
std::uint64_t Fingerprint(const Request& request) {
  std::uint64_t hash = StableHash(request.organisation);
  hash = MixHash(hash, StableHash(request.service));
  hash = MixHash(hash, request.idempotent ? 1 : 0);
  return MixHash(hash, StableHash(request.body));
}

std::uint64_t BodyBytes(const std::vector<AnswerPart>& parts) {
  std::uint64_t bytes = 0;
  for (const AnswerPart& part : parts) {
    bytes += part.body.size();
  }
  return bytes;
}

}  // namespace

Owner::Owner(Context& context, bool claims)
    : context_(context), claims_(claims) {}

Owner::Entry* Owner::Find(std::string_view id) {
  const auto it = entries_.find(std::string(id));
  return it == entries_.end() ? nullptr : &it->second;
}

void Owner::AddCopy(Entry& entry,
                    const std::string& ingress,
                    const RoutedRequest& routed) {
  if (entry.copies.size() < kMaxCopies) {
    entry.copies.push_back({ingress, routed.caller, routed.service_address});
  }
}

Owner::Entry& Owner::Add(const std::string& ingress,
                         RoutedRequest routed,
                         absl::Time now) {
  const std::string id = routed.request.id;
  Entry& entry = entries_[id];
  entry.arrived = now;
  entry.deadline = now + routed.request.deadline;
  entry.retry_at = absl::InfinitePast();
  entry.fingerprint = Fingerprint(routed.request);
  AddCopy(entry, ingress, routed);
  entry.routed = std::move(routed);
  open_ids_.insert(id);
  return entry;
}

void Owner::OnForward(const std::string& ingress,
                      RoutedRequest routed,
                      absl::Time now) {
  Entry* existing = Find(routed.request.id);
  if (existing != nullptr && claims_) {
    OnRepeat(*existing, ingress, std::move(routed), now);
    return;
  }
  Entry& entry = Add(ingress, std::move(routed), now);
  if (!claims_) {
    Assign(entry, now);
    return;
  }
  AskWitnesses(entry, now);
}

void Owner::OnRepeat(Entry& entry,
                     const std::string& ingress,
                     RoutedRequest routed,
                     absl::Time now) {
  ++context_.outbox.counters().repeats;
  const std::string id = routed.request.id;
  if (Fingerprint(routed.request) != entry.fingerprint) {
    // A different request with an id that is in use: its outcome is unknown.
    context_.outbox.ToCaller(routed,
                             Refusal{id, ResultCode::kOutcomeUnknown, false});
    return;
  }
  // A repeat is not sent back to the ingress that forwarded it, because that
  // daemon regards this one as the owner.
  if (entry.transferred_to == ingress ||
      !context_.members.Contains(entry.transferred_to)) {
    entry.transferred_to.clear();
  }
  if (!entry.transferred_to.empty()) {
    context_.link.Send(entry.transferred_to, ForwardRequest{std::move(routed)},
                       now, now + context_.options.claim_timeout);
    return;
  }
  const Copy copy{ingress, routed.caller, routed.service_address};
  if (entry.phase != Phase::kCompleted) {
    AddCopy(entry, ingress, routed);
    return;
  }
  if (entry.answer.empty()) {
    SendRefusal(entry, copy);
  } else {
    SendAnswer(entry, copy);
  }
  context_.link.Send(ingress, RequestCompleted{id}, now,
                     now + context_.options.claim_timeout);
}

void Owner::AskWitnesses(Entry& entry, absl::Time now) {
  const std::string& id = entry.routed.request.id;
  for (const MemberView::Witness& witness : context_.members.WitnessesOf(id)) {
    if (!witness.member.empty() &&
        entry.asked_zones.insert(witness.zone).second) {
      context_.link.Send(witness.member, Claim{id}, now,
                         now + context_.options.claim_timeout);
    }
  }
}

void Owner::Refresh(absl::Time now) {
  for (const std::string& id : open_ids_) {
    Entry& entry = entries_.at(id);
    if (entry.phase == Phase::kClaiming) {
      AskWitnesses(entry, now);
    }
  }
}

// Two owners must never both run a non-idempotent request, so running it
// requires grants from a majority of zones: any two majorities have a witness
// in common. An idempotent request needs a single recorded claim, which keeps
// other owners from promising "not run".
bool Owner::MayRun(const Entry& entry, absl::Time now) const {
  if (!claims_) {
    return true;
  }
  if (entry.routed.request.idempotent) {
    return !entry.recorded_zones.empty();
  }
  return context_.members.IsMajority(entry.granted_zones, now);
}

bool Owner::MayPromiseNotRun(const Entry& entry, absl::Time now) const {
  if (entry.may_have_run) {
    return false;
  }
  if (!claims_) {
    return true;
  }
  if (entry.routed.request.idempotent) {
    return context_.members.IsEveryZone(entry.granted_zones, now);
  }
  return context_.members.IsMajority(entry.granted_zones, now);
}

void Owner::OnClaimReply(const std::string& member,
                         const ClaimReply& reply,
                         absl::Time now) {
  Entry* entry = Find(reply.id);
  if (entry == nullptr || entry->phase == Phase::kCompleted) {
    return;
  }
  const std::string zone = context_.members.ZoneOf(member);
  if (reply.verdict == ClaimVerdict::kTaken) {
    entry->other_owners[zone] = reply.owner;
  } else {
    entry->recorded_zones.insert(zone);
  }
  if (reply.verdict == ClaimVerdict::kGranted) {
    entry->granted_zones.insert(zone);
  }
  CountVotes(*entry, now);
}

void Owner::CountVotes(Entry& entry, absl::Time now) {
  if (entry.phase == Phase::kRefusing && MayPromiseNotRun(entry, now)) {
    CompleteWithRefusal(entry, now);
    return;
  }
  if (entry.phase != Phase::kClaiming) {
    return;
  }
  if (MayRun(entry, now)) {
    Assign(entry, now);
    return;
  }
  const std::string other = OtherOwner(entry, now);
  if (!other.empty() && !context_.members.IsResponsive(other)) {
    // The home that the other owner chose may still answer the caller. A
    // refusal sent now would arrive before that answer and hide it.
    entry.phase = Phase::kOwnedElsewhere;
  } else if (!other.empty()) {
    Transfer(entry, other, now);
  } else if (entry.recorded_zones.size() + entry.other_owners.size() >=
             context_.members.zone_count()) {
    Refuse(entry, ResultCode::kOutcomeUnknown,
           "no majority of witnesses for this owner", now);
  }
}

std::string Owner::OtherOwner(const Entry& entry, absl::Time now) const {
  std::map<std::string, std::set<std::string>> zones;
  for (const auto& [zone, owner] : entry.other_owners) {
    zones[owner].insert(zone);
  }
  for (const auto& [owner, recorded_zones] : zones) {
    const bool reachable =
        owner != context_.options.self && context_.members.Contains(owner);
    if (reachable && context_.members.IsMajority(recorded_zones, now)) {
      return owner;
    }
  }
  return "";
}

// Forwards all copies to owner `to`, whose earlier claim a majority of zones
// recorded and which will answer the caller.
void Owner::Transfer(Entry& entry, const std::string& to, absl::Time now) {
  for (const Copy& copy : entry.copies) {
    RoutedRequest routed = entry.routed;
    routed.caller = copy.caller;
    routed.service_address = copy.service_address;
    routed.request.deadline = entry.deadline - now;
    context_.link.Send(to, ForwardRequest{std::move(routed)}, now,
                       entry.deadline);
  }
  entry.transferred_to = to;
  Complete(entry, now);
}

void Owner::Assign(Entry& entry, absl::Time now) {
  const Request& request = entry.routed.request;
  const auto can_assign = [&](const std::string& home) {
    return context_.members.IsUsable(home) && context_.link.BootIdOf(home) != 0;
  };
  std::string home = context_.directory.Choose(
      request.service,
      [&](const std::string& name) {
        return can_assign(name) && name != entry.avoid_home;
      },
      context_.random);
  if (!claims_) {
    home = context_.options.self;
  } else if (home.empty() && can_assign(entry.avoid_home)) {
    // The home to avoid is the only one: try it again after a pause.
    entry.avoid_home.clear();
  }
  if (home.empty()) {
    entry.phase = Phase::kWaitingForHome;
    entry.retry_at = now + kAssignRetryInterval;
    return;
  }
  AssignRequest message;
  message.routed = entry.routed;
  message.routed.request.deadline = entry.deadline - now;
  message.assignment_number = ++entry.assignment_number;
  message.attempts = entry.attempts;
  message.avoid_server = entry.avoid_server;
  entry.phase = Phase::kAssigned;
  entry.home = home;
  entry.collector.Reset();
  context_.directory.OnAssigned(home, request.service);
  if (home != context_.options.self) {
    ++context_.outbox.counters().handed;
    context_.outbox.LogDecision({DecisionKind::kHomeChosen, request.id,
                                 request.service, home, ResultCode::kOk,
                                 "chosen by free slots and queue length"});
  }
  context_.link.Send(home, std::move(message), now, entry.deadline, true);
}

Owner::Entry* Owner::FindAssigned(std::string_view id,
                                  const std::string& home,
                                  std::uint32_t assignment_number) {
  Entry* entry = Find(id);
  const bool matches = entry != nullptr && entry->phase == Phase::kAssigned &&
                       entry->home == home &&
                       entry->assignment_number == assignment_number;
  return matches ? entry : nullptr;
}

void Owner::OnAssignmentAnswer(const std::string& home,
                               AssignmentAnswer answer,
                               absl::Time now) {
  context_.directory.OnHint(home, answer.hint);
  Entry* entry = FindAssigned(answer.part.id, home, answer.assignment_number);
  if (entry == nullptr) {
    ++context_.outbox.counters().dropped_answers;
    return;
  }
  const AnswerCollector::Outcome outcome =
      entry->collector.Add(std::move(answer.part));
  if (outcome == AnswerCollector::Outcome::kComplete) {
    CompleteWithAnswer(*entry, now);
  }
}

void Owner::OnAssignmentOutcome(const std::string& home,
                                const AssignmentOutcome& outcome,
                                absl::Time now) {
  context_.directory.OnHint(home, outcome.hint);
  Entry* entry = FindAssigned(outcome.id, home, outcome.assignment_number);
  if (entry == nullptr) {
    return;
  }
  entry->attempts = outcome.attempts;
  entry->avoid_server = outcome.server;
  entry->avoid_home = home;
  const bool sent_to_server =
      outcome.kind == AssignmentOutcomeKind::kUnknown ||
      outcome.kind == AssignmentOutcomeKind::kAnswerIncomplete;
  entry->may_have_run = entry->may_have_run || sent_to_server;
  if (sent_to_server) {
    Refuse(*entry, outcome.code,
           "sent to a server, but no complete answer arrived", now);
    return;
  }
  const bool other_home_may_accept =
      outcome.code == ResultCode::kRefusedNoServer ||
      outcome.code == ResultCode::kRefusedShuttingDown ||
      outcome.code == ResultCode::kRefusedQueueFull ||
      outcome.code == ResultCode::kRefusedShed;
  const bool may_retry = entry->attempts < context_.options.max_attempts &&
                         entry->assignment_number < kMaxAssignments &&
                         entry->deadline - now > kMinTimeToAssign && claims_;
  if (other_home_may_accept && may_retry &&
      entry->assignment_number >= kMaxImmediateAssignments) {
    // The homes are changing or all are busy: wait before the next assignment.
    entry->phase = Phase::kWaitingForHome;
    entry->retry_at = now + kAssignRetryInterval;
    return;
  }
  if (other_home_may_accept && may_retry) {
    Assign(*entry, now);
    return;
  }
  Refuse(*entry, outcome.code, "no home accepted the request", now);
}

void Owner::OnAssignmentOverdue(const std::string& home,
                                const AssignRequest& message,
                                absl::Time now) {
  Entry* entry =
      FindAssigned(message.routed.request.id, home, message.assignment_number);
  if (entry == nullptr || !entry->routed.request.idempotent) {
    return;  // A non-idempotent request may be running there: only wait.
  }
  entry->may_have_run = true;
  entry->avoid_home = home;
  Assign(*entry, now);
}

std::vector<std::string> Owner::AssignedTo(const std::string& home) const {
  std::vector<std::string> ids;
  for (const std::string& id : open_ids_) {
    const Entry& entry = entries_.at(id);
    if (entry.phase == Phase::kAssigned && entry.home == home) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Owner::OnHomeGone(const std::string& home, absl::Time now) {
  for (const std::string& id : AssignedTo(home)) {
    Entry& entry = entries_.at(id);
    // A non-idempotent request may still be answered by this home and must not
    // run on another one.
    if (entry.routed.request.idempotent) {
      entry.may_have_run = true;
      entry.avoid_home = home;
      Assign(entry, now);
    }
  }
}

void Owner::OnHomeRestarted(const std::string& home, absl::Time now) {
  for (const std::string& id : AssignedTo(home)) {
    Entry& entry = entries_.at(id);
    entry.may_have_run = true;
    entry.avoid_home = home;
    if (entry.routed.request.idempotent) {
      Assign(entry, now);
    } else {
      Refuse(entry, ResultCode::kOutcomeUnknown, "the home restarted", now);
    }
  }
}

void Owner::OnForwardCancel(const std::string& id, absl::Time now) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->phase == Phase::kCompleted) {
    return;
  }
  ++context_.outbox.counters().cancelled;
  if (entry->phase == Phase::kAssigned) {
    context_.link.Send(entry->home,
                       AssignmentCancel{id, entry->assignment_number}, now,
                       entry->deadline);
    entry->may_have_run = true;
  }
  entry->refusal = ResultCode::kCancelled;
  entry->reason = "the caller cancelled the request";
  CompleteWithRefusal(*entry, now);
}

void Owner::Refuse(Entry& entry,
                   ResultCode code,
                   std::string_view reason,
                   absl::Time now) {
  entry.refusal = code;
  entry.reason = reason;
  const bool promises_not_run = IsNotRun(code);
  if (promises_not_run && !entry.may_have_run &&
      !MayPromiseNotRun(entry, now) &&
      now < entry.arrived + context_.options.claim_timeout) {
    // The missing votes may still allow the refusal to promise "not run".
    entry.phase = Phase::kRefusing;
    return;
  }
  CompleteWithRefusal(entry, now);
}

void Owner::CompleteWithRefusal(Entry& entry, absl::Time now) {
  if (IsNotRun(entry.refusal) && !MayPromiseNotRun(entry, now)) {
    entry.refusal = ResultCode::kOutcomeUnknown;
  }
  for (const Copy& copy : entry.copies) {
    SendRefusal(entry, copy);
  }
  Complete(entry, now);
}

void Owner::SendRefusal(const Entry& entry, const Copy& copy) {
  const ResultCode code =
      entry.answer_dropped ? ResultCode::kAnswerCut : entry.refusal;
  const bool not_run = IsNotRun(code);
  DispatchCounters& counters = context_.outbox.counters();
  counters.refused_not_run += not_run ? 1 : 0;
  counters.unknown += code == ResultCode::kOutcomeUnknown ? 1 : 0;
  counters.cut += code == ResultCode::kAnswerCut ? 1 : 0;
  const std::string& id = entry.routed.request.id;
  RoutedRequest to;
  to.caller = copy.caller;
  to.service_address = copy.service_address;
  context_.outbox.ToCaller(to, Refusal{id, code, not_run});
  context_.outbox.LogDecision({DecisionKind::kRefused, id,
                               entry.routed.request.service, "", code,
                               std::string(entry.reason)});
}

void Owner::CompleteWithAnswer(Entry& entry, absl::Time now) {
  entry.answer = entry.collector.Take();
  absl::flat_hash_set<Endpoint> callers;
  for (const Copy& copy : entry.copies) {
    if (callers.insert(copy.caller).second) {
      SendAnswer(entry, copy);
    }
  }
  answer_bytes_ += BodyBytes(entry.answer);
  if (claims_) {
    answer_order_.push_back(entry.routed.request.id);
  }
  context_.outbox.LogDecision({DecisionKind::kAnswered, entry.routed.request.id,
                               entry.routed.request.service,
                               entry.answer.front().server, ResultCode::kOk,
                               fmt::format("{} parts", entry.answer.size())});
  Complete(entry, now);
  DropOldAnswers();
}

void Owner::SendAnswer(const Entry& entry, const Copy& copy) {
  ++context_.outbox.counters().answered;
  RoutedRequest to;
  to.caller = copy.caller;
  to.service_address = copy.service_address;
  for (const AnswerPart& part : entry.answer) {
    context_.outbox.ToCaller(to, part);
  }
}

void Owner::Complete(Entry& entry, absl::Time now) {
  const std::string& id = entry.routed.request.id;
  std::set<std::string> ingresses;
  for (const Copy& copy : entry.copies) {
    const bool first = ingresses.insert(copy.ingress).second;
    if (first && entry.transferred_to.empty()) {
      context_.link.Send(copy.ingress, RequestCompleted{id}, now,
                         now + context_.options.claim_timeout);
    }
  }
  entry.phase = Phase::kCompleted;
  entry.completed_at = now;
  entry.copies.clear();
  entry.routed.request.body.clear();
  open_ids_.erase(id);
  if (!claims_) {
    answer_bytes_ -= BodyBytes(entry.answer);
    entries_.erase(std::string(id));
    return;
  }
  completed_order_.push_back(id);
}

void Owner::OnTick(absl::Time now) {
  const std::vector<std::string> open(open_ids_.begin(), open_ids_.end());
  for (const std::string& id : open) {
    CheckTimeouts(entries_.at(id), now);
  }
  DropOldRecords(now);
}

void Owner::CheckTimeouts(Entry& entry, absl::Time now) {
  const bool votes_late = now >= entry.arrived + context_.options.claim_timeout;
  if (entry.phase == Phase::kClaiming && votes_late) {
    Refuse(entry, ResultCode::kOutcomeUnknown,
           "too few witnesses voted in time", now);
    return;
  }
  if (entry.phase == Phase::kRefusing && votes_late) {
    CompleteWithRefusal(entry, now);
    return;
  }
  if (entry.phase == Phase::kOwnedElsewhere && now >= entry.deadline) {
    Refuse(entry, ResultCode::kOutcomeUnknown,
           "the owner with the earlier claim did not answer", now);
    return;
  }
  if (entry.phase == Phase::kWaitingForHome) {
    if (entry.deadline - now <= kMinTimeToAssign) {
      Refuse(entry, ResultCode::kRefusedNoServer,
             "no home was available before the deadline", now);
    } else if (now >= entry.retry_at) {
      Assign(entry, now);
    }
    return;
  }
  if (entry.phase == Phase::kAssigned &&
      now >= entry.deadline + kLateAnswerGrace) {
    context_.link.Send(
        entry.home,
        AssignmentCancel{entry.routed.request.id, entry.assignment_number}, now,
        now + context_.options.claim_timeout);
    entry.may_have_run = true;
    Refuse(entry, ResultCode::kOutcomeUnknown, "the home did not answer", now);
  }
}

void Owner::DropOldRecords(absl::Time now) {
  while (!completed_order_.empty()) {
    const auto it = entries_.find(completed_order_.front());
    const bool expired =
        it == entries_.end() ||
        it->second.completed_at + context_.options.record_lifetime < now;
    if (!expired && completed_order_.size() <= context_.options.max_records) {
      return;
    }
    if (it != entries_.end()) {
      answer_bytes_ -= BodyBytes(it->second.answer);
      entries_.erase(it);
    }
    completed_order_.pop_front();
  }
}

void Owner::DropOldAnswers() {
  while (answer_bytes_ > context_.options.max_cached_answer_bytes &&
         !answer_order_.empty()) {
    Entry* entry = Find(answer_order_.front());
    answer_order_.pop_front();
    if (entry != nullptr && !entry->answer.empty()) {
      answer_bytes_ -= BodyBytes(entry->answer);
      entry->answer.clear();
      entry->answer_dropped = true;
    }
  }
}

}  // namespace gcw::dispatch
