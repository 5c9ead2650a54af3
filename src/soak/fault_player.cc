#include "src/soak/fault_player.h"

#include <csignal>
#include <utility>
#include <vector>

#include "src/soak/judge.h"

namespace gcw::soak {
namespace {

// The platform starts a process that was killed after this long.
constexpr absl::Duration kRestartDelay = absl::Milliseconds(500);
constexpr absl::Duration kStopTime = absl::Seconds(5);
// Beyond the bound within which new flows keep off a zone.
constexpr absl::Duration kZoneOutLeast = absl::Seconds(5);
constexpr absl::Duration kLapseAway = absl::Milliseconds(1500);
constexpr lab::LinkFaults kLossy{.loss = 0.05, .duplicate = 0.05};

lab::LinkFaults SlowLinks() {
  return {.reorder = 0.2,
          .delay = absl::Milliseconds(20),
          .jitter = absl::Milliseconds(30)};
}

}  // namespace

void FaultPlayer::Play(std::span<const Fault> plan) {
  const absl::Time start = deployment_.now();
  for (const Fault& fault : plan) {
    deployment_.loop().At(start + fault.at, [this, fault] { Begin(fault); });
  }
}

void FaultPlayer::Impair(const std::vector<std::string>& what,
                         absl::Duration lasts,
                         std::function<void()> end) {
  for (const std::string& name : what) {
    impaired_.Begin(name);
  }
  deployment_.loop().After(lasts, [this, what, end = std::move(end)] {
    end();
    for (const std::string& name : what) {
      impaired_.End(name, deployment_.now());
    }
  });
}

void FaultPlayer::Begin(const Fault& fault) {
  Fleet& fleet = deployment_.fleet();
  const std::size_t daemon = fault.target % fleet.size();
  const std::size_t server = fault.target % deployment_.servers().size();
  const std::size_t zone = fault.target % Deployment::kZones;
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      return EndDaemon(daemon, SIGKILL, kRestartDelay);
    case FaultKind::kStopDaemon:
      return EndDaemon(daemon, SIGTERM, kStopTime);
    case FaultKind::kKillAll:
      return KillAll();
    case FaultKind::kPauseDaemon:
      return Pause(daemon, fault.lasts);
    case FaultKind::kReloadDaemon:
      return fleet.Signal(daemon, SIGHUP);
    case FaultKind::kStoreRefuses:
      return StoreOutage(fake_platform::Outage::kRefusing, fault);
    case FaultKind::kStoreSilent:
      return StoreOutage(fake_platform::Outage::kSilent, fault);
    case FaultKind::kStoreSlow:
      return SlowStore(fault.lasts);
    case FaultKind::kStoreForgets:
      deployment_.store().Compact();
      return;
    case FaultKind::kCutFromStore:
      return CutFromStore(daemon, fault.lasts);
    case FaultKind::kResetFromStore:
      return fleet.store_link(daemon).Reset();
    case FaultKind::kCutZone:
      return CutZone(zone, fault.lasts);
    case FaultKind::kCutZoneOneWay:
      return CutZoneOneWay(zone, fault.lasts);
    case FaultKind::kLossyServers:
      return FaultyServers(kLossy, fault.lasts);
    case FaultKind::kSlowServers:
      return FaultyServers(SlowLinks(), fault.lasts);
    case FaultKind::kCrashServer:
      return LoseServer(server, ProbeTarget::Mode::kRefuse, fault.lasts);
    case FaultKind::kDarkServer:
      return LoseServer(server, ProbeTarget::Mode::kSilent, fault.lasts);
    case FaultKind::kDrainServer:
      return Drain(server);
    case FaultKind::kZoneOut:
      return TakeZoneOut(zone, fault.lasts + kZoneOutLeast);
    case FaultKind::kChangeRoutes:
      return deployment_.PutRoutes(!deployment_.optional_route());
    case FaultKind::kCount:
      return;
  }
}

void FaultPlayer::EndDaemon(std::size_t daemon,
                            int signal,
                            absl::Duration until_start) {
  deployment_.fleet().Signal(daemon, SIGCONT);
  deployment_.fleet().Signal(daemon, signal);
  Impair({DaemonName(daemon)}, until_start,
         [this, daemon] { deployment_.fleet().Restart(daemon); });
}

void FaultPlayer::KillAll() {
  for (std::size_t i = 0; i < deployment_.fleet().size(); ++i) {
    EndDaemon(i, SIGKILL, kRestartDelay);
  }
}

void FaultPlayer::Pause(std::size_t daemon, absl::Duration lasts) {
  deployment_.fleet().Signal(daemon, SIGSTOP);
  Impair({DaemonName(daemon), "fleet"}, lasts,
         [this, daemon] { deployment_.fleet().Signal(daemon, SIGCONT); });
}

void FaultPlayer::CutFromStore(std::size_t daemon, absl::Duration lasts) {
  deployment_.fleet().store_link(daemon).set_silent(true);
  Impair({DaemonName(daemon)}, lasts, [this, daemon] {
    deployment_.fleet().store_link(daemon).set_silent(false);
  });
}

void FaultPlayer::CutZone(std::size_t zone, absl::Duration lasts) {
  deployment_.links().Cut({zone});
  Impair({"zones", "fleet"}, lasts,
         [this] { deployment_.links().Heal(deployment_.now()); });
}

void FaultPlayer::CutZoneOneWay(std::size_t zone, absl::Duration lasts) {
  deployment_.SetOneWay(zone, true);
  Impair({"zones", "fleet"}, lasts,
         [this, zone] { deployment_.SetOneWay(zone, false); });
}

void FaultPlayer::StoreOutage(fake_platform::Outage outage,
                              const Fault& fault) {
  deployment_.store().SetOutage(outage);
  ++open_outages_;
  // Every other time the entries of some servers lapse meanwhile, and are back
  // soon after the store is.
  std::vector<std::size_t> lapsed;
  const std::size_t servers = deployment_.servers().size();
  for (std::size_t i = 0; fault.target % 2 == 1 && i < servers; i += 3) {
    if (deployment_.servers()[i].plain()) {
      deployment_.Unlist(i);
      lapsed.push_back(i);
    }
  }
  Impair({"store"}, fault.lasts, [this, lapsed] {
    // Outages overlap; the store is back when the last one ends.
    if (--open_outages_ == 0) {
      deployment_.store().SetOutage(fake_platform::Outage::kNone);
    }
    deployment_.loop().After(kLapseAway, [this, lapsed] {
      for (const std::size_t server : lapsed) {
        const ServerSite& site = deployment_.servers()[server];
        if (site.up && site.version == 0) {
          deployment_.List(server);
        }
      }
    });
  });
}

void FaultPlayer::SlowStore(absl::Duration lasts) {
  deployment_.store().SetDelay({.base = absl::Milliseconds(300)});
  Impair({"store"}, lasts, [this] { deployment_.store().SetDelay({}); });
}

void FaultPlayer::FaultyServers(const lab::LinkFaults& faults,
                                absl::Duration lasts) {
  deployment_.network().AddRule(
      {.kind = lab::LinkKind::kServers, .zones = {}, .faults = faults});
  Impair({"servers"}, lasts, [this] { deployment_.network().ClearRules(); });
}

void FaultPlayer::LoseServer(std::size_t server,
                             ProbeTarget::Mode mode,
                             absl::Duration lasts) {
  ServerSite& site = deployment_.servers()[server];
  if (!site.plain()) {
    return;
  }
  site.up = false;
  site.probes->Set(mode);
  Impair({ServerName(server)}, lasts, [this, server] {
    ++deployment_.servers()[server].incarnation;
    deployment_.StartAnew(server);
  });
}

void FaultPlayer::Drain(std::size_t server) {
  ServerSite& site = deployment_.servers()[server];
  if (!site.plain()) {
    return;
  }
  site.draining_since = deployment_.now();
  site.server->set_closing(true);
  deployment_.List(server);
  deployment_.loop().After(kDrainBound + absl::Seconds(1), [this, server] {
    ServerSite& gone = deployment_.servers()[server];
    gone.up = false;
    gone.probes->Set(ProbeTarget::Mode::kRefuse);
    deployment_.Unlist(server);
  });
  Impair({ServerName(server)}, kDrainBound + absl::Seconds(3), [this, server] {
    auto& servers = deployment_.servers();
    servers[server].number += servers.size();
    deployment_.StartAnew(server);
  });
}

void FaultPlayer::TakeZoneOut(std::size_t zone, absl::Duration lasts) {
  if (deployment_.TakeZoneOut(zone)) {
    deployment_.loop().After(lasts,
                             [this, zone] { deployment_.TakeZoneIn(zone); });
  }
}

}  // namespace gcw::soak
