#include "src/direct/flow_resetter.h"

#include <utility>

namespace gcw::direct {

bool IsGone(const ServerEntry& server) {
  return server.presence == Presence::kGone ||
         server.presence == Presence::kRestarted;
}

Reason UnusableReason(const ServerEntry& server) {
  if (server.presence == Presence::kRestarted) {
    return Reason::kServerRestarted;
  }
  if (server.presence == Presence::kGone || !server.reach.lost()) {
    return Reason::kServerGone;
  }
  return server.reach.reach() == Reach::kRefuses ? Reason::kServerRefuses
                                                 : Reason::kServerSilent;
}

absl::Time UnusableSince(const ServerEntry& server) {
  return IsGone(server) || !server.reach.lost() ? server.presence_since
                                                : server.reach.since();
}

void FlowResetter::ResetFlowsOf(const ServerEntry& server,
                                const HeldState& state,
                                absl::Time now) {
  std::vector<FlowKey> reset_flows;
  for (const auto& [key, flow] : flows_.flows()) {
    if (flow.server != &server || !flow.established || flow.closed) {
      continue;
    }
    reset_flows.push_back(key);
    resets_.push_back({key, flow.acknowledged});
    events_->push_back(FlowRefused{.flow = key,
                                   .reason = UnusableReason(server),
                                   .server = server.server.name,
                                   .cookie = server.cookie,
                                   .evidence_age = now - UnusableSince(server),
                                   .configuration = state.configuration,
                                   .servers_age = state.servers_age});
  }
  for (const FlowKey& key : reset_flows) {
    flows_.Erase(key);
  }
}

void FlowResetter::ResetFlowsOfEnded(ServerEntry& server,
                                     const HeldState& state,
                                     absl::Time now) {
  const bool no_later_progress =
      server.reach.last_progress() <= server.presence_since;
  if (no_later_progress && !server.flows_reset) {
    server.flows_reset = true;
    ResetFlowsOf(server, state, now);
  }
}

std::vector<FlowReset> FlowResetter::TakeResets() {
  return std::exchange(resets_, {});
}

}  // namespace gcw::direct
