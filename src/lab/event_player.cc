#include "src/lab/event_player.h"

#include <utility>

namespace gcw::lab {
namespace {

constexpr std::uint32_t kMinChurnWeight = 80;
constexpr std::uint32_t kChurnWeightCount = 41;  // Weights from 80 to 120.

}  // namespace

EventPlayer::EventPlayer(const Context& context,
                         const ColdStart& cold,
                         std::uint64_t seed)
    : context_(context), cold_(cold), random_(seed) {}

void EventPlayer::Play(const std::vector<Event>& events) {
  for (const Event& event : events) {
    context_.scheduler->After(event.at, [this, event] { Apply(event); });
  }
}

void EventPlayer::Apply(const Event& event) {
  if (!ApplyToServers(event) && !ApplyToDaemons(event) &&
      !ApplyToPlatform(event)) {
    ApplyToZones(event);
  }
}

bool EventPlayer::ApplyToServers(const Event& event) {
  for (const ServerIndex i : event.servers) {
    BackendServer& server = *(*context_.servers)[i];
    switch (event.kind) {
      case EventKind::kDrain:
        WriteWhenPossible([this, i] { SetDraining(i, true); });
        break;
      case EventKind::kUndrain:
        WriteWhenPossible([this, i] { SetDraining(i, false); });
        break;
      case EventKind::kRestartServer:
        context_.flows->GiveUpFlowsOf(i);
        server.Restart(cold_, false);
        break;
      case EventKind::kKillServer:
        context_.flows->GiveUpFlowsOf(i);
        server.Kill();
        break;
      case EventKind::kBehavior:
        server.set_behavior(event.behavior);
        break;
      case EventKind::kSilenceFlows:
        server.SilenceFlows(event.share, [this](const Endpoint& caller) {
          context_.flows->OnFlowSilenced(caller);
        });
        break;
      case EventKind::kReuseAddress:
        WriteWhenPossible([this, event, i] { ReuseAddress(event, i); });
        break;
      case EventKind::kWeight:
        WriteWhenPossible([this, event, i] {
          context_.config->SetWeight(event.service, i, event.weight);
        });
        break;
      default:
        return false;
    }
  }
  return !event.servers.empty();
}

bool EventPlayer::ApplyToDaemons(const Event& event) {
  for (const DaemonIndex i : event.daemons) {
    DaemonFleet& fleet = *context_.fleet;
    const std::uint32_t ip = context_.world->topology().daemons[i].bind;
    switch (event.kind) {
      case EventKind::kKill:
        fleet.Kill(i);
        break;
      case EventKind::kStop:
        fleet.Stop(i);
        break;
      case EventKind::kStart:
        (void)fleet.Start(i).ok();
        break;
      case EventKind::kPause:
        fleet.Pause(i);
        ScheduleEnd(event.length, [&fleet, i] { fleet.Resume(i); });
        break;
      case EventKind::kResume:
        fleet.Resume(i);
        break;
      case EventKind::kPlatformCut:
        context_.platform->SetPartitioned(ip, event.on);
        ScheduleEnd(event.length, [this, ip, on = event.on] {
          context_.platform->SetPartitioned(ip, !on);
        });
        break;
      default:
        return false;
    }
  }
  return !event.daemons.empty();
}

bool EventPlayer::ApplyToPlatform(const Event& event) {
  fake_platform::FakePlatform& platform = *context_.platform;
  switch (event.kind) {
    case EventKind::kPlatformDown:
    case EventKind::kPlatformUp:
      SetOutage(event);
      return true;
    case EventKind::kPlatformCopy:
      platform.SaveCopy();
      return true;
    case EventKind::kPlatformRestore:
      platform.Restore();
      WriteWhenPossible([this] { context_.config->WriteAgain(); });
      return true;
    case EventKind::kPlatformSlow:
      platform.SetDelay({event.delay, event.jitter});
      ScheduleEnd(event.length, [&platform] { platform.SetDelay({}); });
      return true;
    case EventKind::kLostAnswers:
      platform.SetLostAnswers(event.share);
      ScheduleEnd(event.length, [&platform] { platform.SetLostAnswers(0); });
      return true;
    case EventKind::kLateWrites:
      platform.SetLateWrites(event.share);
      ScheduleEnd(event.length, [&platform] { platform.SetLateWrites(0); });
      return true;
    case EventKind::kStaleReads:
      platform.SaveStaleState();
      platform.SetStaleReads(event.share);
      ScheduleEnd(event.length, [&platform] { platform.SetStaleReads(0); });
      return true;
    case EventKind::kWatchStall:
      platform.SetWatchStall(event.on);
      ScheduleEnd(event.length,
                  [&platform, on = event.on] { platform.SetWatchStall(!on); });
      return true;
    default:
      return false;
  }
}

void EventPlayer::ApplyToZones(const Event& event) {
  switch (event.kind) {
    case EventKind::kZoneOut:
      for (const ZoneIndex zone : event.zones) {
        WriteWhenPossible([this, zone] { TakeZoneOut(zone); });
      }
      break;
    case EventKind::kZoneIn:
      for (const ZoneIndex zone : event.zones) {
        WriteWhenPossible([this, zone] { TakeZoneIn(zone); });
      }
      break;
    case EventKind::kPartition:
      Partition(event);
      break;
    case EventKind::kHeal:
      Heal();
      break;
    case EventKind::kLink:
      context_.network->AddRule(event.link);
      ScheduleEnd(event.length, [this] { context_.network->ClearRules(); });
      break;
    case EventKind::kClearLinks:
      context_.network->ClearRules();
      break;
    case EventKind::kChurn:
      Churn(event, context_.scheduler->now() + event.length);
      break;
    default:
      break;
  }
}

void EventPlayer::WriteWhenPossible(std::function<void()> write) {
  if (outage_) {
    waiting_writes_.push_back(std::move(write));
  } else {
    write();
  }
}

void EventPlayer::SetOutage(const Event& event) {
  using fake_platform::Outage;
  outage_ = event.kind == EventKind::kPlatformDown;
  if (outage_) {
    context_.platform->SetOutage(event.silent ? Outage::kSilent
                                              : Outage::kRefusing);
    Event up;
    up.kind = EventKind::kPlatformUp;
    ScheduleEnd(event.length, [this, up] { SetOutage(up); });
    return;
  }
  context_.platform->SetOutage(Outage::kNone);
  for (const auto& write : std::exchange(waiting_writes_, {})) {
    write();
  }
}

void EventPlayer::SetDraining(ServerIndex server, bool draining) {
  context_.config->SetServerState(server, draining
                                              ? config::ServerState::kDraining
                                              : config::ServerState::kIn);
  context_.world->server(server).leaving_since =
      draining ? context_.scheduler->now() : absl::InfiniteFuture();
}

void EventPlayer::TakeZoneOut(ZoneIndex zone) {
  context_.config->SetZoneState(zone, config::ZoneState::kOut);
  context_.world->set_zone_out_since(zone, context_.scheduler->now());
  context_.world->set_unsettled_until(context_.scheduler->now() +
                                      kOperatorChangeGrace);
  for (ServerIndex i = 0; i < context_.servers->size(); ++i) {
    if (context_.world->topology().servers[i].zone == zone) {
      context_.flows->GiveUpFlowsOf(i);
    }
  }
}

void EventPlayer::TakeZoneIn(ZoneIndex zone) {
  for (ServerIndex i = 0; i < context_.servers->size(); ++i) {
    if (context_.world->topology().servers[i].zone == zone) {
      context_.flows->GiveUpFlowsOf(i);
      (*context_.servers)[i]->Restart(cold_, true);
    }
  }
  context_.config->SetZoneState(zone, config::ZoneState::kIn);
  context_.world->set_zone_out_since(zone, absl::InfiniteFuture());
  context_.world->set_unsettled_until(context_.scheduler->now() +
                                      kOperatorChangeGrace);
}

void EventPlayer::Partition(const Event& event) {
  context_.world->Cut(event.zones);
  const auto& daemons = context_.world->topology().daemons;
  for (const DaemonInfo& daemon : daemons) {
    if (context_.world->IsCut(daemon.zone)) {
      context_.platform->SetPartitioned(daemon.bind, true);
    }
  }
  ScheduleEnd(event.length, [this] { Heal(); });
}

void EventPlayer::Heal() {
  context_.world->Heal(context_.scheduler->now());
  for (const DaemonInfo& daemon : context_.world->topology().daemons) {
    context_.platform->SetPartitioned(daemon.bind, false);
  }
}

void EventPlayer::ReuseAddress(const Event& event, ServerIndex server) {
  context_.config->DeleteServer(server);
  context_.flows->GiveUpFlowsOf(server);
  (*context_.servers)[server]->Kill();
  const ServiceIndex service = event.service;
  context_.scheduler->After(event.length, [this, server, service] {
    WriteWhenPossible([this, server, service] {
      (*context_.servers)[server]->Reassign(service);
      (*context_.servers)[server]->Restart(cold_, true);
      context_.config->CreateServer(server, service);
    });
  });
}

void EventPlayer::Churn(const Event& event, absl::Time end) {
  if (context_.scheduler->now() >= end) {
    return;
  }
  WriteWhenPossible([this] {
    const auto& members = context_.world->topology().services[0].servers;
    const ServerIndex server = members[random_.Below(members.size())];
    if (context_.world->Serves(server, 0)) {
      context_.config->SetWeight(
          0, server,
          kMinChurnWeight +
              static_cast<std::uint32_t>(random_.Below(kChurnWeightCount)));
    }
  });
  context_.scheduler->After(absl::Seconds(1 / event.per_s),
                            [this, event, end] { Churn(event, end); });
}

void EventPlayer::ScheduleEnd(absl::Duration delay,
                              std::function<void()> action) {
  if (delay > absl::ZeroDuration()) {
    context_.scheduler->After(delay, std::move(action));
  }
}

}  // namespace gcw::lab
