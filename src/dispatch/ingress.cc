#include "src/dispatch/ingress.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gcw::dispatch {

Ingress::Ingress(Context& context, Owner& owner, bool coordinated)
    : context_(context), owner_(owner), coordinated_(coordinated) {}

// These refusals do not promise "not run", because a copy of the request may
// have reached a daemon with another configuration that accepted it.
bool Ingress::IsAccepted(const RoutedRequest& routed) {
  const Request& request = routed.request;
  const config::Service* service = context_.FindService(request.service);
  ResultCode code = ResultCode::kOk;
  if (service == nullptr || service->kind == config::ServiceKind::kFlow ||
      std::find(service->addresses.begin(), service->addresses.end(),
                routed.service_address) == service->addresses.end()) {
    code = ResultCode::kUnknownService;
  } else if (service->organisation != request.organisation) {
    code = ResultCode::kForbidden;
  }
  if (code == ResultCode::kOk) {
    return true;
  }
  context_.outbox.ToCaller(routed, Refusal{request.id, code, false});
  context_.outbox.LogDecision(
      {DecisionKind::kRefused, request.id, request.service, "", code,
       "service address or organisation does not match"});
  return false;
}

void Ingress::OnRequest(RoutedRequest routed, absl::Time now) {
  ++context_.outbox.counters().received;
  if (!IsAccepted(routed)) {
    return;
  }
  const std::string& id = routed.request.id;
  const std::string owner =
      coordinated_ ? context_.members.OwnerOf(id) : context_.options.self;
  if (owner == context_.options.self) {
    owner_.OnForward(owner, std::move(routed), now);
    return;
  }
  Forward(routed, owner, now);
  Pending& pending = pending_[id];
  pending.deadline = now + routed.request.deadline;
  pending.owner = owner;
  pending.routed = std::move(routed);
}

void Ingress::Relay(const RoutedRequest& routed, absl::Time now) {
  const std::string owner = context_.members.OwnerOf(routed.request.id);
  if (owner == context_.options.self) {
    owner_.OnForward(owner, routed, now);
    return;
  }
  Forward(routed, owner, now);
}

void Ingress::Forward(const RoutedRequest& routed,
                      const std::string& to,
                      absl::Time now) {
  context_.link.Send(to, ForwardRequest{routed}, now,
                     now + routed.request.deadline);
}

void Ingress::OnCancel(const std::string& id, absl::Time now) {
  const auto it = pending_.find(id);
  const std::string owner = it != pending_.end() ? it->second.owner
                            : coordinated_       ? context_.members.OwnerOf(id)
                                                 : context_.options.self;
  if (owner == context_.options.self) {
    owner_.OnForwardCancel(id, now);
    return;
  }
  context_.link.Send(owner, ForwardCancel{id}, now,
                     now + context_.options.claim_timeout);
}

void Ingress::OnOwnerLost(const std::string& member, absl::Time now) {
  std::vector<std::string> moved;
  for (auto& [id, pending] : pending_) {
    if (pending.owner != member || now >= pending.deadline) {
      continue;
    }
    const std::string next = context_.members.OwnerOf(id);
    pending.routed.request.deadline = pending.deadline - now;
    pending.owner = next;
    if (next == member) {
      continue;
    }
    if (next != context_.options.self) {
      Forward(pending.routed, next, now);
      continue;
    }
    moved.push_back(id);
  }
  for (const std::string& id : moved) {
    owner_.OnForward(context_.options.self, pending_.at(id).routed, now);
    pending_.erase(id);
  }
}

void Ingress::OnTick(absl::Time now) {
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.deadline <= now;
  });
}

}  // namespace gcw::dispatch
