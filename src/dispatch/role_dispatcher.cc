#include "src/dispatch/role_dispatcher.h"

#include <algorithm>
#include <utility>

#include "gcw/dispatch/codec.h"

namespace gcw::dispatch {
namespace {

// Interval of OnTick while requests are in progress.
constexpr absl::Duration kBusyTickInterval = absl::Milliseconds(5);
// Limit on the rate of hints to all other daemons together, so that hints use
// only a part of the control budget.
constexpr double kHintBytesPerSecond = 800;
// The least capacity share that is reported for a cold server.
constexpr double kMinCapacityShare = 0.1;
// Time after BeginShutdown before the dispatcher counts as drained. Until then,
// daemons that have not heard of the shutdown may still send work.
constexpr absl::Duration kShutdownLinger = absl::Seconds(1);

}  // namespace

RoleDispatcher::RoleDispatcher(const DispatchOptions& options,
                               std::unique_ptr<SlotPolicy> policy)
    : context_(options),
      policy_(std::move(policy)),
      home_(context_, *policy_),
      owner_(context_, policy_->coordinated()),
      witness_(context_.options, context_.members),
      ingress_(context_, owner_, policy_->coordinated()) {}

// After a long pause of this process, other daemons may have taken over its
// work as owner, witness and home, so its observations from before the pause
// are no longer valid.
void RoleDispatcher::BeginEvent(absl::Time now) {
  const bool first = now_ == absl::InfinitePast();
  if (first || now - now_ > context_.options.repeat_lifetime / 2) {
    context_.members.RestartObservation(now);
  }
  now_ = std::max(now, now_);
}

void RoleDispatcher::DeliverLocalMessages(absl::Time now) {
  while (true) {
    for (const std::string& member : context_.link.TakeRestarted()) {
      owner_.OnHomeRestarted(member, now);
      ingress_.OnOwnerLost(member, now);
    }
    std::vector<PeerBody> local = context_.link.TakeLocal();
    if (local.empty()) {
      return;
    }
    for (PeerBody& body : local) {
      Handle(context_.options.self, std::move(body), now);
    }
  }
}

void RoleDispatcher::ApplySnapshot(config::SnapshotPtr snapshot,
                                   absl::Time now) {
  BeginEvent(now);
  if (snapshot == nullptr || snapshot->revision < context_.snapshot->revision) {
    return;
  }
  context_.snapshot = std::move(snapshot);
  context_.members.ApplyZones(*context_.snapshot, now);
  context_.directory.Rebuild(*context_.snapshot, context_.members);
  home_.Refresh(now);
  DeliverLocalMessages(now);
}

void RoleDispatcher::ApplyMembers(std::span<const Member> members,
                                  absl::Time now) {
  BeginEvent(now);
  const std::vector<std::string> gone = context_.members.Apply(members, now);
  context_.directory.Rebuild(*context_.snapshot, context_.members);
  for (const std::string& member : gone) {
    context_.link.Forget(member);
    remote_server_hints_.erase(member);
    owner_.OnHomeGone(member, now);
    ingress_.OnOwnerLost(member, now);
  }
  home_.Refresh(now);
  owner_.Refresh(now);
  last_hints_ = absl::InfinitePast();  // Send hints to new members at once.
  DeliverLocalMessages(now);
}

void RoleDispatcher::OnRequest(Endpoint caller,
                               Endpoint service_address,
                               Request request,
                               absl::Time now) {
  BeginEvent(now);
  ingress_.OnRequest({std::move(request), caller, service_address}, now);
  DeliverLocalMessages(now);
}

void RoleDispatcher::OnCancel(Endpoint,
                              Endpoint,
                              const Cancel& cancel,
                              absl::Time now) {
  BeginEvent(now);
  ingress_.OnCancel(cancel.id, now);
  DeliverLocalMessages(now);
}

void RoleDispatcher::OnServerMessage(Endpoint,
                                     const Message& message,
                                     absl::Time now) {
  BeginEvent(now);
  if (const auto* part = std::get_if<AnswerPart>(&message)) {
    home_.OnAnswer(*part, now);
  } else if (const auto* shed = std::get_if<Shed>(&message)) {
    home_.OnShed(*shed, now);
  } else if (const auto* report = std::get_if<LoadReport>(&message)) {
    home_.OnLoadReport(*report, now);
  } else {
    ++context_.outbox.counters().dropped_answers;
  }
  DeliverLocalMessages(now);
}

void RoleDispatcher::OnFlowsLost(Endpoint server, absl::Time now) {
  BeginEvent(now);
  home_.OnFlowsLost(server, now);
  DeliverLocalMessages(now);
}

void RoleDispatcher::OnPeerMessage(std::string_view member,
                                   const PeerMessage& message,
                                   absl::Time now) {
  BeginEvent(now);
  const std::string name(member);
  context_.members.SetResponsive(name, true);
  if (context_.link.Accept(name, message, now)) {
    Handle(name, message.body, now);
  }
  DeliverLocalMessages(now);
}

void RoleDispatcher::Handle(const std::string& member,
                            PeerBody body,
                            absl::Time now) {
  if (auto* forward = std::get_if<ForwardRequest>(&body)) {
    OnForward(member, std::move(forward->routed), now);
  } else if (const auto* cancel = std::get_if<ForwardCancel>(&body)) {
    owner_.OnForwardCancel(cancel->id, now);
  } else if (const auto* settled = std::get_if<RequestCompleted>(&body)) {
    ingress_.OnRequestCompleted(settled->id);
  } else if (const auto* claim = std::get_if<Claim>(&body)) {
    context_.link.Send(member, witness_.OnClaim(claim->id, member, now), now,
                       now + context_.options.claim_timeout);
  } else if (const auto* reply = std::get_if<ClaimReply>(&body)) {
    owner_.OnClaimReply(member, *reply, now);
  } else if (auto* assign = std::get_if<AssignRequest>(&body)) {
    home_.OnAssign(member, std::move(*assign), now);
  } else if (const auto* assignment_cancel =
                 std::get_if<AssignmentCancel>(&body)) {
    home_.OnAssignmentCancel(member, *assignment_cancel, now);
  } else if (auto* answer = std::get_if<AssignmentAnswer>(&body)) {
    owner_.OnAssignmentAnswer(member, std::move(*answer), now);
  } else if (const auto* outcome = std::get_if<AssignmentOutcome>(&body)) {
    owner_.OnAssignmentOutcome(member, *outcome, now);
  } else if (const auto* hints = std::get_if<SlotHints>(&body)) {
    OnHints(member, *hints, now);
  }
}

void RoleDispatcher::OnForward(const std::string& member,
                               RoutedRequest routed,
                               absl::Time now) {
  if (context_.shutting_down && !owner_.HasRecord(routed.request.id)) {
    ingress_.Relay(routed, now);
    return;
  }
  owner_.OnForward(member, std::move(routed), now);
}

void RoleDispatcher::OnHints(const std::string& member,
                             const SlotHints& hints,
                             absl::Time now) {
  for (const SlotHint& hint : hints.hints) {
    context_.directory.OnHint(member, hint);
  }
  for (const ServerHint& server : hints.servers) {
    context_.directory.OnServerHint(server, now);
    home_.OnServerHint(server, now);
  }
  remote_server_hints_[member] = {hints.servers, now};
}

void RoleDispatcher::OnOverdue(const PeerLink::Overdue& overdue,
                               absl::Time now) {
  context_.members.SetResponsive(overdue.member, false);
  if (std::holds_alternative<ForwardRequest>(overdue.body)) {
    ingress_.OnOwnerLost(overdue.member, now);
  } else if (const auto* assign = std::get_if<AssignRequest>(&overdue.body)) {
    owner_.OnAssignmentOverdue(overdue.member, *assign, now);
  } else if (const auto* answer =
                 std::get_if<AssignmentAnswer>(&overdue.body)) {
    // The owner may be dead, so this home answers the caller directly. If the
    // owner is alive, the caller gets the answer twice.
    RoutedRequest to;
    to.caller = answer->caller;
    to.service_address = answer->service_address;
    context_.outbox.ToCaller(to, answer->part);
  }
}

void RoleDispatcher::OnTick(absl::Time now) {
  BeginEvent(now);
  for (const PeerLink::Overdue& overdue : context_.link.OnTick(now)) {
    OnOverdue(overdue, now);
  }
  ingress_.OnTick(now);
  witness_.OnTick(now);
  home_.OnTick(now);
  DeliverLocalMessages(now);
  // The home's timeouts go first, so that its outcomes reach the owner before
  // the owner's own timeouts are checked.
  owner_.OnTick(now);
  DeliverLocalMessages(now);
  if (now - last_hints_ >= HintInterval()) {
    SendHints(now);
  }
}

absl::Duration RoleDispatcher::HintInterval() const {
  const double peers = static_cast<double>(context_.members.size()) - 1;
  const double seconds =
      peers * static_cast<double>(hint_bytes_) / kHintBytesPerSecond;
  return std::max(context_.options.hint_interval, absl::Seconds(seconds));
}

void RoleDispatcher::SendHints(absl::Time now) {
  last_hints_ = now;
  const std::vector<std::string> others = context_.members.OtherMembers();
  if (!policy_->coordinated() || others.empty()) {
    return;
  }
  const SlotHints hints = home_.AllHints(now);
  hint_bytes_ = EncodePeer({0, context_.options.boot_id, 0, hints}).size();
  for (const std::string& member : others) {
    context_.outbox.counters().control_bytes += hint_bytes_;
    context_.link.SendControl(member, hints);
  }
}

absl::Time RoleDispatcher::NextTick() const {
  const bool busy = !ingress_.idle() || !owner_.idle() || !home_.idle();
  const absl::Time hints = last_hints_ + HintInterval();
  const absl::Time soon =
      busy ? now_ + kBusyTickInterval : absl::InfiniteFuture();
  return std::min({context_.link.NextTick(), hints, soon});
}

void RoleDispatcher::BeginShutdown(absl::Time now) {
  BeginEvent(now);
  if (context_.shutting_down) {
    return;
  }
  context_.shutting_down = true;
  shutdown_began_ = now;
  context_.members.BeginLeaving(now);
  context_.directory.Rebuild(*context_.snapshot, context_.members);
  home_.BeginShutdown(now);
  home_.Refresh(now);
  DeliverLocalMessages(now);
}

bool RoleDispatcher::drained() const {
  return context_.shutting_down && now_ - shutdown_began_ >= kShutdownLinger &&
         ingress_.idle() && owner_.idle() && home_.idle() &&
         context_.link.idle();
}

std::vector<Action> RoleDispatcher::TakeActions() {
  return context_.outbox.Take();
}

DispatchStatus RoleDispatcher::status() const {
  DispatchStatus status;
  status.counters = context_.outbox.counters();
  status.servers = home_.servers(now_);
  status.certain =
      policy_->coordinated() && now_ - context_.members.observing_since() >=
                                    context_.options.repeat_lifetime;
  for (const auto& [service, stats] : home_.stats()) {
    status.services.push_back(
        {service, home_.queued(service), stats.queue(), stats.answer()});
  }
  return status;
}

std::vector<ServerCapacity> RoleDispatcher::reduced_capacities() const {
  std::vector<ServerCapacity> reduced;
  const auto add = [&](const ServerHint& server, absl::Time as_of) {
    const absl::Duration left =
        std::max(server.warm_up_left - (now_ - as_of), absl::ZeroDuration());
    const bool cold = left > absl::ZeroDuration();
    if (!cold && !server.ejected) {
      return;
    }
    const double progress =
        1 - absl::FDivDuration(left, context_.options.warm_up);
    const double share = std::clamp(progress, kMinCapacityShare, 1.0);
    reduced.push_back(
        {server.server, cold, server.ejected, server.ejected ? 0 : share});
  };
  for (const ServerHint& server : home_.AllHints(now_).servers) {
    add(server, now_);
  }
  for (const auto& [member, remote] : remote_server_hints_) {
    for (const ServerHint& server : remote.servers) {
      add(server, remote.received);
    }
  }
  return reduced;
}

}  // namespace gcw::dispatch
