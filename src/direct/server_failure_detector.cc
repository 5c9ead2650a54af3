#include "src/direct/server_failure_detector.h"

#include <algorithm>
#include <span>
#include <tuple>
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
// After a probe of a server times out, up to this many servers of its zone that
// have no flows are probed too. One lost server costs few probes this way,
// while a zone that is cut off is found in a few rounds, each larger than the
// one before. The same number is probed after a lost server answers again.
constexpr std::size_t kIdlePeerProbes = 3;
// Probes of lost servers without flows that one call of OnTick() starts, so
// that hundreds of lost servers cause a bounded number of probes.
constexpr std::size_t kLostIdleProbesPerTick = 1;
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
  const auto& entries = servers_.entries();
  std::size_t lost_idle_probes = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const std::size_t index = (tick_cursor_ + i) % entries.size();
    ServerEntry& entry = *entries[index];
    SuspectIfGone(entry, now);
    const bool lost_idle = entry.reach.lost() && entry.open_flows == 0;
    if (lost_idle && lost_idle_probes == kLostIdleProbesPerTick) {
      continue;
    }
    if (StartProbeIfDue(entry, now) && lost_idle &&
        ++lost_idle_probes == kLostIdleProbesPerTick) {
      tick_cursor_ = index + 1;
    }
  }
}

std::vector<ProbeRequest> ServerFailureDetector::TakeProbes() {
  return std::exchange(probes_, {});
}

IncarnationKey ServerFailureDetector::ResolveProbe(std::uint32_t id,
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
  const IncarnationKey key = it->second;
  probe_targets_.erase(it);
  return key;
}

bool ServerFailureDetector::OnProbeOutcome(ServerEntry& server,
                                           ProbeOutcome outcome,
                                           absl::Time now) {
  const Reach before = server.reach.reach();
  const bool was_lost = server.reach.lost();
  if (outcome == ProbeOutcome::kTimedOut && server.reach.probe_is_decisive() &&
      link_verified_at_ + kControlProbeSharing < server.reach.probe_started()) {
    server.reach.OnProbeInconclusive(now);
  } else {
    server.reach.OnProbeResult(outcome, now);
  }
  ReportReachChange(server, before, now);
  if (outcome == ProbeOutcome::kTimedOut) {
    SuspectZonePeers(server, now);
    SuspectIdlePeers(server, now);
  } else if (outcome == ProbeOutcome::kAccepted && was_lost) {
    ProbeLostPeers(server, now);
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

bool ServerFailureDetector::ServesMostDemand() const {
  std::set<std::string_view> requested;
  std::set<std::string_view> reached;
  for (const auto& entry : servers_.entries()) {
    if (entry->presence != Presence::kListed || entry->server.draining ||
        zones_out_.contains(entry->server.zone)) {
      continue;
    }
    requested.insert(entry->server.service);
    if (entry->reach.failed_probes() == 0) {
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

void ServerFailureDetector::SuspectIdlePeers(const ServerEntry& failed,
                                             absl::Time now) {
  if (failed.server.zone != zone_ && OwnZoneServes(failed.server.service)) {
    return;
  }
  ForIdlePeers(
      failed, [](const ServerEntry& peer) { return peer.reach.usable(); },
      [&](ServerEntry& peer) {
        const Reach before = peer.reach.reach();
        peer.reach.OnZonePeerFailed(now);
        ReportReachChange(peer, before, now);
        return StartProbeIfDue(peer, now);
      });
}

void ServerFailureDetector::ProbeLostPeers(const ServerEntry& recovered,
                                           absl::Time now) {
  ForIdlePeers(
      recovered, [](const ServerEntry& peer) { return peer.reach.lost(); },
      [&](ServerEntry& peer) {
        if (peer.reach.probing()) {
          return false;
        }
        StartProbe(peer, now);
        return true;
      });
}

bool ServerFailureDetector::OwnZoneServes(std::string_view service) const {
  if (zones_out_.contains(zone_)) {
    return false;
  }
  const std::span<ServerEntry* const> servers = servers_.OfService(service);
  return std::any_of(servers.begin(), servers.end(),
                     [&](const ServerEntry* entry) {
                       return entry->server.zone == zone_ &&
                              entry->presence == Presence::kListed &&
                              !entry->server.draining && entry->reach.usable();
                     });
}

void ServerFailureDetector::ForIdlePeers(
    const ServerEntry& server,
    absl::FunctionRef<bool(const ServerEntry&)> eligible,
    absl::FunctionRef<bool(ServerEntry&)> probe) {
  const auto& entries = servers_.entries();
  std::size_t probed = 0;
  for (std::size_t i = 0; i < entries.size() && probed < kIdlePeerProbes; ++i) {
    peer_cursor_ = (peer_cursor_ + 1) % entries.size();
    ServerEntry& peer = *entries[peer_cursor_];
    if (&peer != &server && peer.server.zone == server.server.zone &&
        peer.presence == Presence::kListed && !peer.server.draining &&
        peer.open_flows == 0 && eligible(peer)) {
      probed += probe(peer) ? 1 : 0;
    }
  }
}

bool ServerFailureDetector::ShouldResetFlows(const ServerEntry& server,
                                             absl::Time now) const {
  return server.reach.lost() && !IsDaemonImpaired(now) && ServesMostDemand();
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

void ServerFailureDetector::SuspectIfGone(ServerEntry& server, absl::Time now) {
  const bool flows_at_stake = server.open_flows > 0 &&
                              server.presence == Presence::kGone &&
                              !servers_.HasEnded(server);
  if (!flows_at_stake || server.reach.last_contact() > server.presence_since) {
    return;
  }
  const Reach before = server.reach.reach();
  server.reach.OnGone(now);
  ReportReachChange(server, before, now);
}

bool ServerFailureDetector::StartProbeIfDue(ServerEntry& server,
                                            absl::Time now) {
  const bool gone_and_lost =
      server.presence == Presence::kGone && server.reach.lost();
  if (gone_and_lost || servers_.HasEnded(server) ||
      !server.reach.WantsProbe(now)) {
    return false;
  }
  StartProbe(server, now);
  return true;
}

void ServerFailureDetector::StartProbe(ServerEntry& server, absl::Time now) {
  const std::uint32_t id = ++last_probe_id_;
  probe_targets_[id] = server.key;
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
  const ServerEntry* control_server = ChooseControlServer(suspect, now);
  if (control_server == nullptr) {
    return;
  }
  control_probe_id_ = ++last_probe_id_;
  control_probe_started_ = now;
  probes_.push_back({control_probe_id_, control_server->server.address,
                     kControlProbeTimeout});
}

const ServerEntry* ServerFailureDetector::ChooseControlServer(
    const ServerEntry& suspect,
    absl::Time now) const {
  const auto rank = [&](const ServerEntry& entry) {
    const bool recent = now - entry.reach.last_contact() < kRecentContact;
    const bool own_zone = entry.server.zone == zone_;
    return std::tuple(recent, own_zone, entry.reach.last_contact());
  };
  const ServerEntry* best = nullptr;
  for (const auto& entry : servers_.entries()) {
    if (entry.get() == &suspect || !entry->reach.usable() ||
        entry->presence != Presence::kListed) {
      continue;
    }
    if (best == nullptr || rank(*entry) > rank(*best)) {
      best = entry.get();
    }
  }
  return best;
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
