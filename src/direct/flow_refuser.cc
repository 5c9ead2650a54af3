#include "src/direct/flow_refuser.h"

#include <variant>

namespace gcw::direct {
namespace {

// RefusalStats::cause of flows beyond the limit of their caller.
constexpr std::string_view kCallerLimitCause = "caller_limit";

// Whether a packet with `reason` to be refused is dropped without a reset.
bool IsDropped(const Packet& packet, Reason reason) {
  return packet.rst || reason == Reason::kCookiePending ||
         reason == Reason::kNoCookie || reason == Reason::kLeftToOthers;
}

}  // namespace

Decision FlowRefuser::Refuse(const Packet& packet,
                             Reason reason,
                             const ServerEntry* server,
                             absl::Duration evidence_age,
                             absl::Time now) {
  events_->push_back(
      FlowRefused{.flow = packet.flow,
                  .reason = reason,
                  .server = server == nullptr ? "" : server->server.name,
                  .cookie = packet.cookie,
                  .evidence_age = evidence_age,
                  .configuration = configuration_.version(),
                  .servers_age = feeds_.Age(Feed::kServers, now)});
  return {.action = IsDropped(packet, reason) ? Action::kDrop : Action::kReset,
          .reason = reason};
}

Decision FlowRefuser::RefuseUnknownCookie(const Packet& packet,
                                          absl::Time now) {
  if (packet.cookie == 0) {
    return Refuse(packet, Reason::kNoCookie, nullptr, absl::ZeroDuration(),
                  now);
  }
  const UnknownCookies::FirstSeen first_seen =
      unknown_cookies_.OnPacket(packet.cookie, packet.flow, now);
  const absl::Time confirmed = feeds_.confirmed(Feed::kServers);
  const bool expect_listed = confirmed >= first_seen.cookie + lapse_grace_ &&
                             confirmed > first_seen.flow;
  return Refuse(packet,
                expect_listed ? Reason::kCookieUnknown : Reason::kCookiePending,
                nullptr, now - first_seen.cookie, now);
}

Decision FlowRefuser::RefuseOverloaded(const Packet& packet,
                                       std::uint32_t priority,
                                       double admitted_share,
                                       const Admission& admission,
                                       bool figures_recent,
                                       absl::Time now) {
  const Decision decision =
      Refuse(packet, Reason::kOverloaded, nullptr, absl::ZeroDuration(), now);
  auto& event = std::get<FlowRefused>(events_->back());
  event.admitted_share = admitted_share;
  event.priority = priority;
  event.over_caller_limit = admission.over_caller_limit;
  event.figures_recent = figures_recent;
  Count(admission.over_caller_limit ? kCallerLimitCause
                                    : ReasonName(decision.reason),
        priority);
  return decision;
}

Decision FlowRefuser::RefuseUnplaced(const Packet& packet,
                                     std::uint32_t priority,
                                     const ExcludedServers& excluded,
                                     bool leave_to_others,
                                     absl::Time now) {
  const Decision decision = Refuse(
      packet, leave_to_others ? Reason::kLeftToOthers : Reason::kNoServer,
      nullptr, absl::ZeroDuration(), now);
  std::get<FlowRefused>(events_->back()).excluded = excluded;
  Count(ReasonName(decision.reason), priority);
  return decision;
}

std::vector<RefusalStats> FlowRefuser::Stats() const {
  std::vector<RefusalStats> stats;
  for (const auto& [key, flows] : refusals_) {
    stats.push_back({key.first, key.second, flows});
  }
  return stats;
}

}  // namespace gcw::direct
