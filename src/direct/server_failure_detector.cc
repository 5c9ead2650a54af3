#include "src/direct/server_failure_detector.h"

#include <algorithm>
#include <utility>

namespace gcw::direct {
namespace {

// The flows of an unreachable server are reset only if some server responded to
// this daemon within this time. Otherwise this daemon itself is probably cut
// off.
constexpr absl::Duration kRecentContact = absl::Milliseconds(500);
// A control probe goes to a reachable server while the probe of an unreachable
// one decides whether its flows are reset. An answer to the control probe
// within this time shows that packets don't queue on this daemon's own link. A
// later answer proves nothing.
constexpr absl::Duration kControlProbeTimeout = absl::Milliseconds(100);
// Probes that decide whether flows are reset share a control probe: those that
// start within this time after a control probe don't start another.
constexpr absl::Duration kControlProbeSharing = absl::Milliseconds(100);
// Added to the demand (recent new flows and requests) of each service, so that
// a service without recent demand still has a small weight.
constexpr double kMinDemand = 0.01;

}  // namespace

ServerFailureDetector::ServerFailureDetector(
    std::string zone,
    const ServerTable& servers,
    const std::set<std::string, std::less<>>& zones_out,
    std::vector<Event>* events)
    : zone_(std::move(zone)),
      servers_(servers),
      zones_out_(zones_out),
      events_(events) {}

void ServerFailureDetector::OnProgress(ServerEntry& server, absl::Time now) {
  const Reach before = server.reach.reach();
  server.reach.OnProgress(now);
  ReportReachChange(server, before, now);
}

void ServerFailureDetector::OnTick(absl::Time now) {
  for (const auto& entry : servers_.entries()) {
    StartProbeIfDue(*entry, now);
  }
}

std::vector<ProbeRequest> ServerFailureDetector::TakeProbes() {
  return std::exchange(probes_, {});
}

FlowCookie ServerFailureDetector::ResolveProbe(std::uint32_t id,
                                               ProbeOutcome outcome,
                                               absl::Time now) {
  if (id == control_probe_id_) {
    control_probe_id_ = 0;
    if (outcome != ProbeOutcome::kTimedOut &&
        now - control_probe_started_ <= kControlProbeTimeout) {
      link_verified_at_ = control_probe_started_;
    }
    return 0;
  }
  const auto it = probe_targets_.find(id);
  if (it == probe_targets_.end()) {
    return 0;
  }
  const FlowCookie cookie = it->second;
  probe_targets_.erase(it);
  return cookie;
}

bool ServerFailureDetector::OnProbeOutcome(ServerEntry& server,
                                           ProbeOutcome outcome,
                                           absl::Time now) {
  const Reach before = server.reach.reach();
  if (outcome == ProbeOutcome::kTimedOut && server.reach.probe_is_decisive() &&
      link_verified_at_ + kControlProbeSharing < server.reach.probe_started()) {
    server.reach.OnProbeInconclusive(now);
  } else {
    server.reach.OnProbeResult(outcome, now);
  }
  ReportReachChange(server, before, now);
  if (outcome == ProbeOutcome::kTimedOut) {
    SuspectZonePeers(server, now);
  }
  const bool reset_flows = ShouldResetFlows(server, now);
  StartProbeIfDue(server, now);
  return reset_flows;
}

void ServerFailureDetector::CountDemand(std::string_view service) {
  const auto it = demand_.find(service);
  if (it == demand_.end()) {
    demand_.emplace(service, 1.0);
  } else {
    it->second += 1;
  }
}

bool ServerFailureDetector::ServesMostDemand(LossCriterion criterion) const {
  std::set<std::string_view> requested;
  std::set<std::string_view> reached;
  for (const auto& entry : servers_.entries()) {
    if (entry->presence != Presence::kListed || entry->server.draining ||
        zones_out_.contains(entry->server.zone)) {
      continue;
    }
    requested.insert(entry->server.service);
    const bool lost = criterion == LossCriterion::kConfirmed
                          ? entry->reach.lost()
                          : entry->reach.failed_probes() > 0;
    if (!lost) {
      reached.insert(entry->server.service);
    }
  }
  double total = 0;
  double unreached = 0;
  for (const std::string_view service : requested) {
    const auto demand = demand_.find(service);
    const double weight =
        kMinDemand + (demand == demand_.end() ? 0.0 : demand->second);
    total += weight;
    unreached += reached.contains(service) ? 0.0 : weight;
  }
  return unreached <= total / 2;
}

void ServerFailureDetector::DecayDemand() {
  for (auto& [service, demand] : demand_) {
    demand /= 2;
  }
}

void ServerFailureDetector::SuspectIfSilentSince(ServerEntry& server,
                                                 absl::Time since,
                                                 absl::Time now) {
  if (server.reach.reach() == Reach::kGood &&
      server.reach.last_progress() <= since) {
    Suspect(server, now);
  }
}

void ServerFailureDetector::SuspectZonePeers(const ServerEntry& failed,
                                             absl::Time now) {
  for (const auto& entry : servers_.entries()) {
    if (entry.get() == &failed || entry->server.zone != failed.server.zone ||
        entry->open_flows == 0) {
      continue;
    }
    const Reach before = entry->reach.reach();
    entry->reach.OnZonePeerFailed(now);
    ReportReachChange(*entry, before, now);
    StartProbeIfDue(*entry, now);
  }
}

bool ServerFailureDetector::ShouldResetFlows(const ServerEntry& server,
                                             absl::Time now) const {
  return server.reach.lost() && !IsDaemonImpaired(now) &&
         ServesMostDemand(LossCriterion::kAnyFailedProbe);
}

bool ServerFailureDetector::IsDaemonImpaired(absl::Time now) const {
  std::size_t local_servers = 0;
  std::size_t local_unreachable = 0;
  bool has_contact = now - link_verified_at_ < kRecentContact;
  for (const auto& entry : servers_.entries()) {
    has_contact =
        has_contact || now - entry->reach.last_contact() < kRecentContact;
    if (entry->server.zone == zone_ && entry->presence == Presence::kListed) {
      ++local_servers;
      local_unreachable += entry->reach.failed_probes() > 0 ? 1 : 0;
    }
  }
  return !has_contact || 2 * local_unreachable > local_servers;
}

void ServerFailureDetector::Suspect(ServerEntry& server, absl::Time now) {
  const Reach before = server.reach.reach();
  server.reach.OnUnanswered(now);
  ReportReachChange(server, before, now);
  StartProbeIfDue(server, now);
}

void ServerFailureDetector::StartProbeIfDue(ServerEntry& server,
                                            absl::Time now) {
  const bool gone = server.presence == Presence::kGone ||
                    server.presence == Presence::kRestarted;
  if (gone || !server.reach.WantsProbe(now)) {
    return;
  }
  const std::uint32_t id = ++last_probe_id_;
  probe_targets_[id] = server.cookie;
  probes_.push_back({id, server.server.address, server.reach.probe_timeout()});
  server.reach.OnProbeStarted(now);
  if (server.reach.probe_is_decisive()) {
    StartControlProbe(server, now);
  }
}

void ServerFailureDetector::StartControlProbe(const ServerEntry& suspect,
                                              absl::Time now) {
  if (now - control_probe_started_ < kControlProbeSharing) {
    return;
  }
  const ServerEntry* control_server = nullptr;
  for (const auto& entry : servers_.entries()) {
    if (entry.get() == &suspect || !entry->reach.usable() ||
        entry->presence != Presence::kListed) {
      continue;
    }
    if (control_server == nullptr ||
        entry->reach.last_contact() > control_server->reach.last_contact()) {
      control_server = entry.get();
    }
  }
  if (control_server == nullptr) {
    return;
  }
  control_probe_id_ = ++last_probe_id_;
  control_probe_started_ = now;
  probes_.push_back({control_probe_id_, control_server->server.address,
                     kControlProbeTimeout});
}

void ServerFailureDetector::ReportReachChange(const ServerEntry& server,
                                              Reach before,
                                              absl::Time now) {
  if (server.reach.reach() == before) {
    return;
  }
  events_->push_back(
      ServerReachChanged{.server = server.server.name,
                         .zone = server.server.zone,
                         .reach = server.reach.reach(),
                         .silence = now - server.reach.last_progress(),
                         .failed_probes = server.reach.failed_probes()});
}

}  // namespace gcw::direct
