#include "gcw/direct/direct_router.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "src/direct/active_configuration.h"
#include "src/direct/admission_table.h"
#include "src/direct/cold_suspicion.h"
#include "src/direct/feed_states.h"
#include "src/direct/fleet_load.h"
#include "src/direct/flow_monitor.h"
#include "src/direct/flow_refuser.h"
#include "src/direct/flow_resetter.h"
#include "src/direct/flow_table.h"
#include "src/direct/overflow_log.h"
#include "src/direct/own_load.h"
#include "src/direct/placer.h"
#include "src/direct/server_failure_detector.h"
#include "src/direct/server_pace.h"
#include "src/direct/server_table.h"
#include "src/direct/zone_balancer.h"
#include "src/direct/zones_out.h"

namespace gcw::direct {
namespace {

// A flow is reset if its server is gone from the store and answers no data on
// any flow for this time. Callers retransmit their data meanwhile.
constexpr absl::Duration kGoneAnswerTimeout = absl::Milliseconds(500);
// How often expired flows, servers and unknown cookies are removed.
constexpr absl::Duration kSweepInterval = absl::Seconds(1);
// How often the figures of single servers are taken. They are sent every 2 s.
constexpr absl::Duration kServerFiguresInterval = absl::Milliseconds(250);

}  // namespace

class DirectRouter::Impl {
 public:
  explicit Impl(const RouterOptions& options)
      : options_(options),
        feeds_(&events_),
        configuration_(&events_),
        refuser_(configuration_, feeds_, options.lapse_grace, &events_),
        admission_table_(options.seed, &events_),
        zones_out_(options.restore_grace, &events_),
        servers_(options.lapse_grace,
                 options.restore_grace,
                 &events_,
                 options.report_interval),
        failure_detector_(options.zone, servers_, zones_out_.names(), &events_),
        cold_suspicion_(servers_, options.restore_grace),
        flows_(options.max_flows),
        flow_monitor_({servers_, flows_, failure_detector_, admission_table_,
                       server_pace_, cold_suspicion_},
                      &events_),
        flow_resetter_(flows_, &events_),
        placer_(options.seed),
        own_load_(options.zone),
        fleet_load_(options.zone),
        zone_balancer_(options.zone, options.seed),
        overflow_log_(&events_) {}

  void ApplyConfiguration(const Configuration& configuration,
                          Version revision,
                          absl::Time now) {
    const bool was_synced = synced();
    if (!feeds_.Advance(Feed::kConfiguration, revision)) {
      return;
    }
    if (configuration_.Apply(configuration, revision)) {
      admission_table_.SetServices(configuration_.services());
      cold_suspicion_.SetServices(configuration_.services());
      for (const std::string& service : configuration_.newly_routed()) {
        cold_suspicion_.OnServiceRouted(service, revision, now);
      }
    }
    SuspectAllIfStarted(was_synced, now);
  }

  void ApplyServerList(std::span<const ServerReportPtr> reports,
                       Version revision,
                       absl::Time now) {
    const bool was_synced = synced();
    if (feeds_.Advance(Feed::kServers, revision)) {
      servers_.ApplyList(reports, revision, now);
      OnServersInclude(revision, now);
      FollowIncarnations(now);
    }
    SuspectAllIfStarted(was_synced, now);
  }

  void ApplyZonesOut(std::span<const std::string> zones,
                     Version revision,
                     absl::Time now) {
    const bool was_synced = synced();
    if (feeds_.Advance(Feed::kZones, revision)) {
      zones_out_.Apply(zones, revision, now);
      FollowReturnedZones(now);
      zone_balancer_.Update(servers_, fleet_load_, zones_out_.names(), now);
    }
    SuspectAllIfStarted(was_synced, now);
  }

  void AddMissingServers(std::span<const ServerReportPtr> reports,
                         absl::Time now) {
    servers_.AddMissing(reports, now);
  }
  void KeepZonesOut(std::span<const std::string> zones, absl::Time until) {
    zones_out_.Keep(zones, until);
  }

  void SetFleetPosition(const FleetPosition& position, absl::Time now) {
    placer_.SetFleetPosition(position, now);
    fleet_load_.SetFleetPosition(position);
    server_pace_.SetFleetPosition(position);
  }

  void SetFleetLoad(const load::FleetFigures& figures, absl::Time now) {
    fleet_load_.SetFleet(figures, now);
    // Figures of single servers come from the daemons of the own zone only.
    const bool recent = fleet_load_.covers_own_zone(now);
    server_pace_.SetFleet(
        recent ? figures.sum.servers : std::span<const load::ServerLoad>(),
        now);
  }

  const load::Figures& own_load() const { return fleet_load_.own(); }

  void OnFeedConfirmed(Feed feed, absl::Time confirmed) {
    feeds_.OnConfirmed(feed, confirmed);
  }
  void OnServersInclude(Version version, absl::Time now) {
    if (cold_suspicion_.OnListIncludes(version, now)) {
      zone_balancer_.Update(servers_, fleet_load_, zones_out_.names(), now);
    }
  }
  std::optional<Version> TakeWantedServersVersion() {
    return cold_suspicion_.TakeWantedVersion();
  }
  void OnStoreAnswer(Feed feed, absl::Time now) { feeds_.OnAnswer(feed, now); }
  void OnStoreFailure(Feed feed, ResultCode code, absl::Time now) {
    feeds_.OnFailure(feed, code, now);
  }

  // Implements DirectRouter::OnPacket().
  Decision Decide(const Packet& packet, absl::Time now) {
    if (!synced()) {
      return {.action = Action::kDrop, .reason = Reason::kNotSynced};
    }
    const Route* route = configuration_.FindRoute(packet.flow.service);
    if (route == nullptr) {
      flows_.Erase(packet.flow);
      return refuser_.Refuse(packet, Reason::kUnknownRoute, nullptr,
                             absl::ZeroDuration(), now);
    }
    if (packet.syn) {
      return HandleSyn(packet, *route, now);
    }
    return HandleNonSyn(packet, *route, now);
  }

  void OnTick(absl::Time now) {
    flow_monitor_.OnTick(now);
    server_pace_.OnTick(servers_, now);
    placer_.OnTick(servers_, now);
    load::Figures own = own_load_.Measure(servers_, now);
    if (now - server_figures_taken_ >= kServerFiguresInterval) {
      server_figures_taken_ = now;
      server_figures_ = server_pace_.OwnFigures(servers_, now);
    }
    own.servers = server_figures_;
    fleet_load_.SetOwn(std::move(own), now);
    zone_balancer_.OnTick(servers_, fleet_load_, zones_out_.names(), now);
    overflow_log_.OnTick(zone_balancer_, fleet_load_, now);
    admission_table_.OnTick(servers_, fleet_load_, now);
    failure_detector_.OnTick(now);
    const HeldState state = HeldStateAt(now);
    for (const auto& entry : servers_.entries()) {
      if (servers_.HasEnded(*entry)) {
        flow_resetter_.ResetFlowsOfEnded(*entry, state, now);
      }
    }
    if (now - last_sweep_ < kSweepInterval) {
      return;
    }
    last_sweep_ = now;
    zones_out_.OnTick(now);
    FollowReturnedZones(now);
    failure_detector_.DecayDemand();
    placer_.Expire(now);
    flows_.Expire(configuration_.flow_idle_timeout(), options_.max_flow_age,
                  now);
    flow_monitor_.Expire(now);
    servers_.OnTick(options_.max_flow_age, feeds_.confirmed(Feed::kServers),
                    now);
    FollowIncarnations(now);
    cold_suspicion_.OnTick(feeds_.confirmed(Feed::kServers), now);
    refuser_.Expire(options_.max_flow_age, now);
  }

  std::vector<ProbeRequest> TakeProbes() {
    return failure_detector_.TakeProbes();
  }

  void OnProbe(std::uint32_t id, ProbeOutcome outcome, absl::Time now) {
    const IncarnationKey key = failure_detector_.ResolveProbe(id, outcome, now);
    ServerEntry* entry = servers_.FindByKey(key);
    if (entry == nullptr) {
      return;
    }
    const bool was_lost = entry->reach.lost();
    if (failure_detector_.OnProbeOutcome(*entry, outcome, now)) {
      flow_resetter_.ResetFlowsOf(*entry, HeldStateAt(now), now);
    }
    if (!was_lost && entry->reach.lost()) {
      ColdSuspicion::OnLost(*entry, now);
    }
    if (was_lost && entry->reach.usable()) {
      server_pace_.OnStarted(*entry, now);
      cold_suspicion_.OnReturned(*entry, now);
    }
  }

  std::vector<FlowReset> TakeResets() { return flow_resetter_.TakeResets(); }

  std::vector<LatencySample> TakeLatencySamples() {
    return flow_monitor_.TakeLatencySamples();
  }

  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

  bool synced() const { return feeds_.synced(); }

  bool can_serve() const {
    return synced() && failure_detector_.ServesMostDemand();
  }

  RouterStats Stats(absl::Time now) const {
    RouterStats stats;
    stats.daemons = placer_.fleet().daemons;
    for (std::size_t i = 0; i < kFeedCount; ++i) {
      stats.feed_ages[i] = feeds_.Age(static_cast<Feed>(i), now);
    }
    stats.configuration = configuration_.version();
    stats.flows = flows_.size();
    stats.routes = configuration_.route_count();
    stats.untracked = untracked_;
    for (const auto& entry : servers_.entries()) {
      const std::string_view state =
          entry->presence == Presence::kListed && !entry->reach.usable()
              ? ReachName(entry->reach.reach())
              : PresenceName(entry->presence);
      stats.servers.push_back({entry->server.name, entry->server.incarnation,
                               entry->server.service, entry->server.zone, state,
                               entry->open_flows, entry->placed});
    }
    stats.zone_loads = zone_balancer_.Stats();
    for (const Service& service : configuration_.services()) {
      stats.service_loads.push_back(
          {service.name, zone_balancer_.overflow_share(service.name),
           admission_table_.AdmittedShare(service.name)});
    }
    stats.refusals = refuser_.Stats();
    stats.slow_starts = server_pace_.SlowStarts(servers_);
    stats.load_age = fleet_load_.age(now);
    return stats;
  }

 private:
  // Nothing tells a daemon that starts which servers got no new flows before.
  void SuspectAllIfStarted(bool was_synced, absl::Time now) {
    if (!was_synced && synced()) {
      cold_suspicion_.OnStarted(std::max(feeds_.revision(Feed::kConfiguration),
                                         feeds_.revision(Feed::kZones)),
                                now);
    }
  }

  void FollowReturnedZones(absl::Time now) {
    for (const std::string& zone : zones_out_.TakeReturned()) {
      cold_suspicion_.OnZoneReturned(zone, feeds_.revision(Feed::kZones), now);
    }
  }

  // Begins the slow start of servers that have started, and moves flows to the
  // incarnations that may hold them.
  void FollowIncarnations(absl::Time now) {
    for (ServerEntry* entry : servers_.TakeStarted()) {
      server_pace_.OnStarted(*entry, now);
    }
    for (const Succession& succession : servers_.TakeSuccessions()) {
      flows_.Move(*succession.from, *succession.to, succession.since);
    }
  }

  absl::Duration ServersAge(absl::Time now) const {
    return feeds_.Age(Feed::kServers, now);
  }

  HeldState HeldStateAt(absl::Time now) const {
    return {configuration_.version(), ServersAge(now)};
  }

  // Handles a SYN that opens a flow, and SYNs that the caller retransmitted or
  // the network duplicated.
  Decision HandleSyn(const Packet& packet, const Route& route, absl::Time now) {
    Flow* flow = flows_.Find(packet.flow);
    // If the route has lost the service of the first SYN, the flow is placed
    // anew.
    const bool repeated_syn =
        flow != nullptr && !flow->established &&
        flow->first_sequence == packet.sequence &&
        Placer::MayPickService(route, flow->server->server.service);
    if (repeated_syn && packet.acknowledged == 0) {
      // The caller has not retransmitted the SYN, so the network has duplicated
      // it.
      return Forward(*flow->server, Reason::kPlaced);
    }
    ServerEntry* avoid = nullptr;
    if (repeated_syn) {
      // The server did not answer the SYN in time. As the SYN may have been
      // lost on the way, the server is only suspected to be unreachable; a
      // probe then decides.
      avoid = flow->server;
      failure_detector_.Suspect(*avoid, now);
    }
    std::string_view name = placer_.PickService(route);
    if (avoid != nullptr) {
      name = avoid->server.service;
    }
    const Service* service = configuration_.FindService(name);
    failure_detector_.CountDemand(name);
    // A retransmitted SYN is always admitted: a server may already have opened
    // its flow.
    if (flow == nullptr && packet.acknowledged == 0) {
      const std::optional<Decision> refusal =
          RefuseIfOverloaded(packet, route.priority, name, now);
      if (refusal) {
        return *refusal;
      }
    }
    Placement placement;
    if (service != nullptr) {
      placement = placer_.Choose(servers_, *service, zones_out_.names(),
                                 zone_balancer_.ChooseZone(name), avoid, now);
    }
    if (placement.server == nullptr) {
      flows_.Erase(packet.flow);
      return RefuseUnplaced(packet, route.priority, placement.excluded, now);
    }
    Track(packet, route, flow, placement.server, now);
    return ForwardPlaced(packet, placement,
                         repeated_syn ? Reason::kPlacedAgain : Reason::kPlaced,
                         now);
  }

  // Records and reports that a SYN was placed on a server, and forwards it.
  Decision ForwardPlaced(const Packet& packet,
                         const Placement& placement,
                         Reason reason,
                         absl::Time now) {
    ServerEntry& server = *placement.server;
    ++server.placed;
    own_load_.OnPlaced(server);
    events_.push_back(FlowOpened{.flow = packet.flow,
                                 .reason = reason,
                                 .server = server.server.name,
                                 .server_zone = server.server.zone,
                                 .repeat = packet.acknowledged,
                                 .server_flows = server.open_flows,
                                 .candidates = placement.candidates,
                                 .overflow = IsOverflow(server),
                                 .configuration = configuration_.version(),
                                 .servers_age = ServersAge(now)});
    return Forward(server, reason);
  }

  // Whether a new flow goes to `server` because the own zone is near its
  // capacity.
  bool IsOverflow(const ServerEntry& server) const {
    return server.server.zone != options_.zone &&
           zone_balancer_.overflow_share(server.server.service) > 0;
  }

  // Counts a new flow as demand of `service`, and refuses it if admission
  // control does not admit it.
  std::optional<Decision> RefuseIfOverloaded(const Packet& packet,
                                             std::uint32_t priority,
                                             std::string_view service,
                                             absl::Time now) {
    const Admission admission = admission_table_.Admit(
        service, {.priority = priority, .caller = packet.flow.caller.ip}, now,
        options_.wall_clock());
    if (admission.admitted) {
      return std::nullopt;
    }
    own_load_.OnRefused(service);
    return refuser_.RefuseOverloaded(packet, priority,
                                     admission_table_.AdmittedShare(service),
                                     admission, fleet_load_.fresh(now), now);
  }

  // Refuses a new flow that no server can take.
  Decision RefuseUnplaced(const Packet& packet,
                          std::uint32_t priority,
                          const ExcludedServers& excluded,
                          absl::Time now) {
    const bool leave_to_others =
        excluded.lost > 0 && !failure_detector_.ServesMostDemand();
    return refuser_.RefuseUnplaced(packet, priority, excluded, leave_to_others,
                                   now);
  }

  // Records that `packet` is the first packet of its flow at `server`. Adds the
  // flow if `flow` is null, otherwise moves `flow` to `server`. Returns null if
  // the flow table is full.
  Flow* Track(const Packet& packet,
              const Route& route,
              Flow* flow,
              ServerEntry* server,
              absl::Time now) {
    if (flow == nullptr) {
      flow = flows_.Add(packet.flow, server, now);
    } else {
      FlowTable::Reassign(*flow, server);
      flow->waiting = false;
      flow->opened_at = now;
      flow->last_packet = now;
    }
    if (flow == nullptr) {
      ++untracked_;
      return nullptr;
    }
    flow->target_latency = route.target_latency;
    flow->established = !packet.syn;
    flow->first_sequence = packet.sequence;
    // Data in `packet` is new to this daemon, so it does not count as
    // retransmitted.
    flow->next_sequence = packet.sequence;
    flow->acknowledged = packet.acknowledged;
    return flow;
  }

  // Handles any packet but a SYN. Callers send such packets only after a server
  // has answered their SYN.
  Decision HandleNonSyn(const Packet& packet,
                        const Route& route,
                        absl::Time now) {
    Flow* flow = flows_.Find(packet.flow);
    ServerEntry* server = nullptr;
    if (flow != nullptr && flow->established) {
      // If the SYN was sent to two servers, the caller uses the one whose
      // answer came first. A late answer of the other server must not move the
      // flow.
      server = flow->server;
    } else {
      server = servers_.FindHolder(packet.cookie);
    }
    if (server == nullptr) {
      return refuser_.RefuseUnknownCookie(packet, now);
    }
    if (flow == nullptr) {
      flow = Track(packet, route, nullptr, server, now);
    } else if (!flow->established) {
      FlowTable::Reassign(*flow, server);
      flow->established = true;
      flow->next_sequence = packet.sequence;
      flow->acknowledged = packet.acknowledged;
      flow_monitor_.OnOpened(*flow, now);
    }
    if (flow != nullptr) {
      flow_monitor_.OnPacket(packet, *flow, now);
      if (packet.fin) {
        FlowTable::Close(*flow);
      }
    }
    const Decision decision = ForwardOrRefuse(packet, flow, *server, now);
    if (packet.rst || decision.action == Action::kReset) {
      flows_.Erase(packet.flow);
    }
    return decision;
  }

  // Forwards a packet of an established flow, or resets the flow if its server
  // `server` has ended or is unreachable. `flow` is null if it is not tracked.
  Decision ForwardOrRefuse(const Packet& packet,
                           const Flow* flow,
                           const ServerEntry& server,
                           absl::Time now) {
    const bool answers = server.reach.last_progress() > server.presence_since;
    const bool ended = servers_.HasEnded(server) && !answers;
    if (ended || IsUnanswered(packet, flow, server, now) ||
        failure_detector_.ShouldResetFlows(server, now)) {
      return refuser_.Refuse(packet, UnusableReason(server), &server,
                             now - UnusableSince(server), now);
    }
    // The store removes a server's entry if the server's heartbeats don't
    // arrive, even if callers still reach the server.
    return Forward(server, IsGone(server) ? Reason::kStillAnswering
                                          : Reason::kEstablished);
  }

  // Whether `packet` repeats data of `flow` that `server`, which is gone from
  // the store, leaves unanswered. The server's address may accept probes and
  // yet belong to another server. A packet without data proves nothing: callers
  // send it when packets of an answer arrive, also out of order.
  static bool IsUnanswered(const Packet& packet,
                           const Flow* flow,
                           const ServerEntry& server,
                           absl::Time now) {
    return packet.payload > 0 && server.presence == Presence::kGone &&
           flow != nullptr && flow->waiting &&
           now - flow->waiting_since >= kGoneAnswerTimeout &&
           server.reach.last_progress() <= flow->waiting_since;
  }

  static Decision Forward(const ServerEntry& server, Reason reason) {
    return {Action::kForward, reason, server.server.address,
            server.server.number, server.cookie};
  }

  const RouterOptions options_;
  std::vector<Event> events_;
  FeedStates feeds_;
  ActiveConfiguration configuration_;
  FlowRefuser refuser_;
  AdmissionTable admission_table_;
  ZonesOut zones_out_;
  ServerTable servers_;
  ServerFailureDetector failure_detector_;
  ColdSuspicion cold_suspicion_;
  FlowTable flows_;
  ServerPace server_pace_;
  FlowMonitor flow_monitor_;
  FlowResetter flow_resetter_;
  Placer placer_;
  OwnLoad own_load_;
  FleetLoad fleet_load_;
  ZoneBalancer zone_balancer_;
  OverflowLog overflow_log_;
  std::vector<load::ServerLoad> server_figures_;  // Of this daemon.
  absl::Time server_figures_taken_ = absl::InfinitePast();
  absl::Time last_sweep_ = absl::InfinitePast();
  std::uint64_t untracked_ = 0;
};

Result<std::unique_ptr<DirectRouter>> DirectRouter::Make(
    const RouterOptions& options) {
  if (options.zone.empty()) {
    return Error{ResultCode::kSettingsInvalid, "zone", "must not be empty"};
  }
  if (options.max_flows == 0 || options.lapse_grace < absl::ZeroDuration()) {
    return Error{ResultCode::kSettingsInvalid, "",
                 "max_flows must be positive and lapse_grace not negative"};
  }
  return std::unique_ptr<DirectRouter>(
      new DirectRouter(std::make_unique<Impl>(options)));
}

DirectRouter::DirectRouter(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
DirectRouter::~DirectRouter() = default;

void DirectRouter::ApplyConfiguration(const Configuration& configuration,
                                      Version revision,
                                      absl::Time now) {
  impl_->ApplyConfiguration(configuration, revision, now);
}
void DirectRouter::ApplyServerList(std::span<const ServerReportPtr> reports,
                                   Version revision,
                                   absl::Time now) {
  impl_->ApplyServerList(reports, revision, now);
}
void DirectRouter::SetFleetPosition(const FleetPosition& position,
                                    absl::Time now) {
  impl_->SetFleetPosition(position, now);
}
void DirectRouter::SetFleetLoad(const load::FleetFigures& figures,
                                absl::Time now) {
  impl_->SetFleetLoad(figures, now);
}
const load::Figures& DirectRouter::own_load() const {
  return impl_->own_load();
}
void DirectRouter::ApplyZonesOut(std::span<const std::string> zones,
                                 Version revision,
                                 absl::Time now) {
  impl_->ApplyZonesOut(zones, revision, now);
}
void DirectRouter::AddMissingServers(std::span<const ServerReportPtr> reports,
                                     absl::Time now) {
  impl_->AddMissingServers(reports, now);
}
void DirectRouter::KeepZonesOut(std::span<const std::string> zones,
                                absl::Time until) {
  impl_->KeepZonesOut(zones, until);
}
void DirectRouter::OnFeedConfirmed(Feed feed, absl::Time confirmed) {
  impl_->OnFeedConfirmed(feed, confirmed);
}
void DirectRouter::OnServersInclude(Version version, absl::Time now) {
  impl_->OnServersInclude(version, now);
}
std::optional<Version> DirectRouter::TakeWantedServersVersion() {
  return impl_->TakeWantedServersVersion();
}
void DirectRouter::OnStoreAnswer(Feed feed, absl::Time now) {
  impl_->OnStoreAnswer(feed, now);
}
void DirectRouter::OnStoreFailure(Feed feed, ResultCode code, absl::Time now) {
  impl_->OnStoreFailure(feed, code, now);
}
Decision DirectRouter::OnPacket(const Packet& packet, absl::Time now) {
  return impl_->Decide(packet, now);
}
void DirectRouter::OnTick(absl::Time now) {
  impl_->OnTick(now);
}
std::vector<FlowReset> DirectRouter::TakeResets() {
  return impl_->TakeResets();
}
std::vector<ProbeRequest> DirectRouter::TakeProbes() {
  return impl_->TakeProbes();
}
void DirectRouter::OnProbe(std::uint32_t id,
                           ProbeOutcome outcome,
                           absl::Time now) {
  impl_->OnProbe(id, outcome, now);
}
std::vector<LatencySample> DirectRouter::TakeLatencySamples() {
  return impl_->TakeLatencySamples();
}
std::vector<Event> DirectRouter::TakeEvents() {
  return impl_->TakeEvents();
}
bool DirectRouter::synced() const {
  return impl_->synced();
}
bool DirectRouter::can_serve() const {
  return impl_->can_serve();
}
RouterStats DirectRouter::Stats(absl::Time now) const {
  return impl_->Stats(now);
}

}  // namespace gcw::direct
