#include "src/soak/fault_injector.h"

#include <fmt/format.h>

#include <csignal>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gcw/base/log.h"
#include "platform/object_format.h"
#include "src/soak/invariant_checker.h"

namespace gcw::soak {
namespace {

constexpr Logger kLog("soak");

// Time until the platform restarts a killed process.
constexpr absl::Duration kRestartDelay = absl::Milliseconds(500);
// How long a server is down whose report is under way.
constexpr absl::Duration kQuickRestart = absl::Milliseconds(600);
// How late a report is. After a restart, the server has then been unimpaired
// for long enough that its flows must not break. After a drain, flows that it
// gets until its next report are later than kDrainBound.
constexpr absl::Duration kLateAfterRestart = absl::Milliseconds(5700);
constexpr absl::Duration kLateAfterDrain = absl::Milliseconds(2500);
// Time from SIGTERM to the restart; longer than the daemons' stop_limit_s.
constexpr absl::Duration kGracefulStopDuration = absl::Seconds(5);
// Added to a zone's time out of service, so that it lasts longer than the
// users' bound on new flows in the zone.
constexpr absl::Duration kMinZoneOutDuration = absl::Seconds(5);
// Time from the end of a store outage until lapsed server entries are back.
constexpr absl::Duration kLapsedEntryAbsence = absl::Milliseconds(1500);
// How long the store is down before it comes back restored.
constexpr absl::Duration kRestoreOutage = absl::Milliseconds(500);
// Time from a restore until the entries of some servers are back that the store
// lost for longer, although the servers serve.
constexpr absl::Duration kLostEntryAbsence = absl::Seconds(8);
// One server of so many loses its entry for kLostEntryAbsence.
constexpr std::size_t kServersPerLostEntry = 4;
// Time from a restore to the operators' next change.
constexpr absl::Duration kChangeAfterRestore = absl::Seconds(1);
// The users' rules count connections that go silent as a reset of all at this
// moment.
constexpr absl::Duration kSilencingDuration = absl::Milliseconds(1);
// Time between the reports of servers that become cold or restart together, and
// from the last one to the return of their zone.
constexpr absl::Duration kColdReportGap = absl::Milliseconds(30);
// Levels of nesting that overflow a stack if each takes a call.
constexpr std::size_t kManyLevels = 120'000;
// Large entries of another writer, each below the platform's limit of a value.
constexpr std::size_t kLargeEntries = 20;
constexpr std::size_t kLargeEntryBytes = 900'000;
// Idle connections to each endpoint of a daemon: more than it has descriptors.
constexpr std::size_t kIdleConnectionsPerEndpoint = 150;
constexpr lab::LinkFaults kLossyLinks{.loss = 0.05, .duplicate = 0.05};

// A value that names no server. `number` chooses the kind.
std::string OddValue(std::size_t number) {
  const std::string values[] = {
      std::string(kManyLevels, '[') + std::string(kManyLevels, ']'),
      "{\"zone\":\"\xff\"}",
      R"({"capacity":1e999})",
      R"({"zone":"\ud800"})",
      R"({"service":"s","addr)",
      R"({"service":"s"}})",
      R"({"service":"s","address":"127.0.0.1:70000"})",
      "{}"};
  return values[number % std::size(values)];
}

lab::LinkFaults SlowLinks() {
  return {.reorder = 0.2,
          .delay = absl::Milliseconds(20),
          .jitter = absl::Milliseconds(30)};
}

}  // namespace

void FaultInjector::Schedule(std::span<const Fault> plan) {
  const absl::Time start = deployment_.now();
  for (const Fault& fault : plan) {
    deployment_.loop().At(start + fault.start,
                          [this, fault] { Inject(fault); });
  }
}

void FaultInjector::Impair(const std::vector<std::string>& components,
                           absl::Duration duration,
                           std::function<void()> end) {
  for (const std::string& component : components) {
    impairments_.Begin(component);
  }
  deployment_.loop().After(duration, [this, components, end = std::move(end)] {
    end();
    for (const std::string& component : components) {
      impairments_.End(component, deployment_.now());
    }
  });
}

void FaultInjector::Inject(const Fault& fault) {
  Fleet& fleet = deployment_.fleet();
  const std::size_t daemon = fault.target % fleet.size();
  const std::size_t server = fault.target % deployment_.servers().size();
  const std::size_t zone = fault.target % Deployment::kZones;
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      return TerminateDaemon(daemon, SIGKILL, kRestartDelay);
    case FaultKind::kStopDaemon:
      return TerminateDaemon(daemon, SIGTERM, kGracefulStopDuration);
    case FaultKind::kKillAll:
      return KillAll();
    case FaultKind::kPauseDaemon:
      return PauseDaemon(daemon, fault.duration);
    case FaultKind::kReloadDaemon:
      return fleet.Signal(daemon, SIGHUP);
    case FaultKind::kStoreRefuses:
      return StartStoreOutage(fake_platform::Outage::kRefusing, fault);
    case FaultKind::kStoreSilent:
      return StartStoreOutage(fake_platform::Outage::kSilent, fault);
    case FaultKind::kStoreSlow:
      return SlowStore(fault.duration);
    case FaultKind::kStoreForgets:
      deployment_.store().Compact();
      return;
    case FaultKind::kCutFromStore:
      return CutFromStore(daemon, fault.duration);
    case FaultKind::kResetFromStore:
      return fleet.store_proxy(daemon).Reset();
    case FaultKind::kCutZone:
      return CutZone(zone, fault.duration);
    case FaultKind::kCutZoneOneWay:
      return CutZoneOneWay(zone, fault.duration);
    case FaultKind::kLossyServers:
      return DegradeServerLinks(kLossyLinks, fault.duration);
    case FaultKind::kSlowServers:
      return DegradeServerLinks(SlowLinks(), fault.duration);
    case FaultKind::kCrashServer:
      return FailServer(server, ProbeTarget::Mode::kRefuse, fault.duration);
    case FaultKind::kDarkServer:
      return FailServer(server, ProbeTarget::Mode::kSilent, fault.duration);
    case FaultKind::kDrainServer:
      return DrainServer(server);
    case FaultKind::kZoneOut:
      return TakeZoneOut(zone, fault.duration + kMinZoneOutDuration);
    case FaultKind::kChangeRoutes:
      return deployment_.WriteConfiguration(!deployment_.optional_route());
    case FaultKind::kStoreRestored:
      return RestoreStore(fault.duration);
    case FaultKind::kSilentStoreConnections:
      return SilenceStoreConnections();
    case FaultKind::kOddEntry:
      return LeaveOddEntry(fault.target, fault.duration);
    case FaultKind::kLargeEntries:
      return LeaveLargeEntries(fault.target, fault.duration);
    case FaultKind::kIdleConnections:
      return HoldIdleConnections(daemon, fault.duration);
    case FaultKind::kTakenPort:
      return TakePort(daemon, fault.target, fault.duration);
    case FaultKind::kBusyZone:
      return BurstInZone(zone, fault.duration);
    case FaultKind::kSlowServer:
      return SlowServer(server, fault.duration);
    case FaultKind::kBusyZoneRestarts:
      return BurstDuringRestarts(zone);
    case FaultKind::kLateReport:
      return DelayReport(server, fault.target);
    case FaultKind::kColdZone:
      return ReturnZoneCold(zone, fault.duration + kMinZoneOutDuration);
    case FaultKind::kColdRestarts:
      return RestartZoneCold(zone, fault.duration);
    case FaultKind::kCount:
      return;
  }
}

void FaultInjector::TerminateDaemon(std::size_t daemon,
                                    int signal,
                                    absl::Duration until_start) {
  deployment_.fleet().Signal(daemon, SIGCONT);
  deployment_.fleet().Signal(daemon, signal);
  Impair({DaemonName(daemon), "daemons"}, until_start,
         [this, daemon] { deployment_.fleet().Restart(daemon); });
}

void FaultInjector::KillAll() {
  for (std::size_t i = 0; i < deployment_.fleet().size(); ++i) {
    TerminateDaemon(i, SIGKILL, kRestartDelay);
  }
}

void FaultInjector::PauseDaemon(std::size_t daemon, absl::Duration duration) {
  deployment_.fleet().Signal(daemon, SIGSTOP);
  Impair({DaemonName(daemon), "fleet"}, duration,
         [this, daemon] { deployment_.fleet().Signal(daemon, SIGCONT); });
}

void FaultInjector::CutFromStore(std::size_t daemon, absl::Duration duration) {
  deployment_.fleet().store_proxy(daemon).set_silent(true);
  Impair({DaemonName(daemon), "daemons"}, duration, [this, daemon] {
    deployment_.fleet().store_proxy(daemon).set_silent(false);
  });
}

void FaultInjector::CutZone(std::size_t zone, absl::Duration duration) {
  deployment_.world().Cut({zone});
  Impair({"zones", "fleet"}, duration,
         [this] { deployment_.world().Heal(deployment_.now()); });
}

void FaultInjector::CutZoneOneWay(std::size_t zone, absl::Duration duration) {
  deployment_.SetOutboundCut(zone, true);
  Impair({"zones", "fleet"}, duration,
         [this, zone] { deployment_.SetOutboundCut(zone, false); });
}

void FaultInjector::StartStoreOutage(fake_platform::Outage outage,
                                     const Fault& fault) {
  deployment_.store().SetOutage(outage);
  ++active_outages_;
  // In half of the outages the entries of some servers expire meanwhile. These
  // servers stay up, and their entries return soon after the outage.
  std::vector<std::size_t> lapsed;
  const std::size_t servers = deployment_.servers().size();
  for (std::size_t i = 0; fault.target % 2 == 1 && i < servers; i += 3) {
    if (deployment_.servers()[i].in_service()) {
      deployment_.reports().Delete(i);
      lapsed.push_back(i);
    }
  }
  Impair({"store"}, fault.duration, [this, lapsed] {
    // Outages may overlap; the store is available again after the last one.
    if (--active_outages_ == 0) {
      deployment_.store().SetOutage(fake_platform::Outage::kNone);
    }
    deployment_.loop().After(kLapsedEntryAbsence, [this, lapsed] {
      for (const std::size_t server : lapsed) {
        const ServerRecord& record = deployment_.servers()[server];
        if (record.up && record.version == 0) {
          deployment_.reports().Put(server);
        }
      }
    });
  });
}

void FaultInjector::RestoreStore(absl::Duration age) {
  deployment_.store().SaveCopy();
  Impair({"store"}, age + kRestoreOutage, [this] {
    deployment_.RestoreStore();
    LoseServerEntries();
    if (--active_outages_ == 0) {
      deployment_.store().SetOutage(fake_platform::Outage::kNone);
    }
    // The next change gets a version that the store has assigned before.
    deployment_.loop().After(kChangeAfterRestore, [this] {
      deployment_.WriteConfiguration(!deployment_.optional_route());
    });
    deployment_.loop().After(kLapsedEntryAbsence,
                             [this] { deployment_.reports().WriteAllAgain(); });
  });
  deployment_.loop().After(age, [this] {
    ++active_outages_;
    deployment_.store().SetOutage(fake_platform::Outage::kRefusing);
  });
}

void FaultInjector::SilenceStoreConnections() {
  for (std::size_t i = 0; i < deployment_.fleet().size(); ++i) {
    deployment_.fleet().store_proxy(i).SilenceOpen();
  }
  Impair({"store", "fleet"}, kSilencingDuration, [] {});
}

void FaultInjector::LeaveOddEntry(std::size_t number, absl::Duration duration) {
  const std::string key =
      fmt::format("{}odd-{}", adapter::kServersPrefix, number);
  deployment_.store().PutRaw(key, OddValue(number));
  deployment_.loop().After(duration, [this, key] { RemoveEntry(key); });
}

void FaultInjector::LeaveLargeEntries(std::size_t number,
                                      absl::Duration duration) {
  const std::string value =
      fmt::format(R"({{"note":"{}"}})", std::string(kLargeEntryBytes, 'x'));
  for (std::size_t i = 0; i < kLargeEntries; ++i) {
    const std::string key =
        fmt::format("{}large-{}-{}", adapter::kServersPrefix, number, i);
    deployment_.store().PutRaw(key, value);
    deployment_.loop().After(duration, [this, key] { RemoveEntry(key); });
  }
}

void FaultInjector::RemoveEntry(const std::string& key) {
  const auto entry = deployment_.store().Get(key);
  // A restore of the store may have removed it.
  if (entry.ok()) {
    (void)deployment_.store().Delete(key, entry.value().version);
  }
}

void FaultInjector::HoldIdleConnections(std::size_t daemon,
                                        absl::Duration duration) {
  std::vector<std::shared_ptr<IdleConnections>> held;
  for (const ListenPort& listen : Fleet::listen_ports()) {
    if (listen.type == PortType::kTcp) {
      held.push_back(std::make_shared<IdleConnections>(
          deployment_.fleet().Address(daemon, listen.port),
          kIdleConnectionsPerEndpoint));
    }
  }
  deployment_.loop().After(duration, [held]() mutable { held.clear(); });
}

void FaultInjector::TakePort(std::size_t daemon,
                             std::size_t number,
                             absl::Duration duration) {
  Fleet& fleet = deployment_.fleet();
  fleet.Signal(daemon, SIGCONT);
  fleet.Signal(daemon, SIGKILL);
  deployment_.loop().After(kRestartDelay, [this, daemon, number, duration] {
    const auto ports = Fleet::listen_ports();
    const ListenPort& listen = ports[number % ports.size()];
    auto held = PortHolder::Make(
        deployment_.fleet().Address(daemon, listen.port), listen.type);
    if (!held.ok()) {
      // The killed process has not ended yet, or another fault has restarted
      // it.
      kLog.Info("{}", held.error().message);
    }
    std::shared_ptr<PortHolder> holder =
        held.ok() ? std::move(held).value() : nullptr;
    deployment_.fleet().Restart(daemon);
    deployment_.loop().After(duration, [holder]() mutable { holder.reset(); });
  });
  Impair({DaemonName(daemon), "daemons"}, kRestartDelay + duration, [] {});
}

void FaultInjector::LoseServerEntries() {
  const std::size_t servers = deployment_.servers().size();
  for (std::size_t i = 0; i < servers; i += kServersPerLostEntry) {
    if (deployment_.servers()[i].in_service()) {
      deployment_.reports().Lose(i);
      deployment_.loop().After(kLostEntryAbsence, [this, i] {
        deployment_.reports().ReportAgain(i);
      });
    }
  }
}

void FaultInjector::SlowStore(absl::Duration duration) {
  deployment_.store().SetDelay({.base = absl::Milliseconds(300)});
  Impair({"store"}, duration, [this] { deployment_.store().SetDelay({}); });
}

void FaultInjector::DegradeServerLinks(const lab::LinkFaults& faults,
                                       absl::Duration duration) {
  deployment_.network().AddRule(
      {.kind = lab::LinkKind::kServers, .zones = {}, .faults = faults});
  Impair({"servers"}, duration, [this] { deployment_.network().ClearRules(); });
}

void FaultInjector::FailServer(std::size_t server,
                               ProbeTarget::Mode mode,
                               absl::Duration duration,
                               absl::Duration cold_for) {
  ServerRecord& record = deployment_.servers()[server];
  if (!record.in_service()) {
    return;
  }
  record.up = false;
  record.probes->Set(mode);
  Impair({ServerName(server)}, duration, [this, server, cold_for] {
    ++deployment_.servers()[server].incarnation;
    deployment_.RestartServer(server, cold_for);
  });
}

void FaultInjector::DrainServer(std::size_t server) {
  ServerRecord& record = deployment_.servers()[server];
  if (!record.in_service()) {
    return;
  }
  record.draining_since = deployment_.now();
  record.server->set_closing(true);
  deployment_.reports().Put(server);
  deployment_.loop().After(kDrainBound + absl::Seconds(1), [this, server] {
    ServerRecord& drained = deployment_.servers()[server];
    drained.up = false;
    drained.probes->Set(ProbeTarget::Mode::kRefuse);
    deployment_.reports().Delete(server);
  });
  Impair({ServerName(server)}, kDrainBound + absl::Seconds(3), [this, server] {
    auto& servers = deployment_.servers();
    servers[server].number += servers.size();
    deployment_.RestartServer(server);
  });
}

void FaultInjector::DelayReport(std::size_t server, std::size_t number) {
  if (!deployment_.servers()[server].in_service()) {
    return;
  }
  const ServerEntryText report = deployment_.reports().Make(server);
  const bool restarts = number % 2 == 0;
  if (restarts) {
    FailServer(server, ProbeTarget::Mode::kRefuse, kQuickRestart);
  } else {
    DrainServer(server);
  }
  deployment_.loop().After(restarts ? kLateAfterRestart : kLateAfterDrain,
                           [this, server, report] {
                             deployment_.reports().ExecuteLate(server, report);
                           });
}

void FaultInjector::BurstInZone(std::size_t zone, absl::Duration duration) {
  deployment_.BeginLoad(zone, true);
  deployment_.loop().After(duration,
                           [this, zone] { deployment_.EndLoad(zone, true); });
}

void FaultInjector::SlowServer(std::size_t server, absl::Duration duration) {
  const std::size_t zone = deployment_.servers()[server].zone;
  deployment_.servers()[server].server->set_slow(true);
  deployment_.BeginLoad(zone, false);
  deployment_.loop().After(duration, [this, server, zone] {
    deployment_.servers()[server].server->set_slow(false);
    deployment_.EndLoad(zone, false);
  });
}

// A planned stop of one daemon at a time is no reason to serve less, so these
// restarts do not impair "daemons".
void FaultInjector::BurstDuringRestarts(std::size_t zone) {
  BurstInZone(zone, kRestartsInTurn * kRestartTurn);
  Fleet& fleet = deployment_.fleet();
  std::size_t turn = 0;
  for (std::size_t i = 0; i < fleet.size() && turn < kRestartsInTurn; ++i) {
    if (fleet.ZoneOf(i) == zone) {
      deployment_.loop().After(turn++ * kRestartTurn, [this, i] {
        deployment_.fleet().Signal(i, SIGTERM);
        // Starts the process again once it has exited.
        Impair({DaemonName(i)}, kGracefulStopDuration,
               [this, i] { deployment_.fleet().Restart(i); });
      });
    }
  }
}

void FaultInjector::ReturnZoneCold(std::size_t zone, absl::Duration duration) {
  if (!deployment_.TakeZoneOut(zone)) {
    return;
  }
  absl::Duration start = duration;
  for (const std::size_t server : ServersInService(zone)) {
    deployment_.loop().After(start, [this, server] {
      if (deployment_.servers()[server].in_service()) {
        deployment_.reports().BecomeCold(server, kColdTime);
      }
    });
    start += kColdReportGap;
  }
  deployment_.loop().After(start,
                           [this, zone] { deployment_.PutZoneBack(zone); });
}

void FaultInjector::RestartZoneCold(std::size_t zone, absl::Duration duration) {
  for (const std::size_t server : ServersInService(zone)) {
    FailServer(server, ProbeTarget::Mode::kRefuse, duration, kColdTime);
    duration += kColdReportGap;
  }
}

std::vector<std::size_t> FaultInjector::ServersInService(
    std::size_t zone) const {
  std::vector<std::size_t> servers;
  for (std::size_t i = 0; i < deployment_.servers().size(); ++i) {
    const ServerRecord& record = deployment_.servers()[i];
    if (record.zone == zone && record.in_service()) {
      servers.push_back(i);
    }
  }
  return servers;
}

void FaultInjector::TakeZoneOut(std::size_t zone, absl::Duration duration) {
  if (deployment_.TakeZoneOut(zone)) {
    deployment_.loop().After(duration,
                             [this, zone] { deployment_.PutZoneBack(zone); });
  }
}

}  // namespace gcw::soak
