#include "src/lab/daemon_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gcw::lab {
namespace {

// The secret that all daemons of a run share.
constexpr const char* kClusterKey =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
// Seeds in the settings have 32 bits.
constexpr std::uint64_t kSeedMask = 0xffffffff;

bool IsRunning(DaemonState state) {
  return state == DaemonState::kLive || state == DaemonState::kStopping ||
         state == DaemonState::kPaused;
}

}  // namespace

DaemonFleet::DaemonFleet(const Context& context, const FleetOptions& options)
    : context_(context),
      options_(options),
      members_(context.world->topology().daemons.size()) {}

DaemonFleet::~DaemonFleet() = default;

Status DaemonFleet::Start(DaemonIndex daemon) {
  Member& member = members_[daemon];
  DaemonTruth& truth = context_.world->daemon(daemon);
  if (IsRunning(truth.state)) {
    return OkStatus();
  }
  auto process = DaemonProcess::Make(options_.program, WriteSettings(daemon),
                                     LogPath(daemon));
  if (!process.ok()) {
    return process.error();
  }
  member.process = std::move(process).value();
  member.process_number = ++started_processes_;
  member.revision = 0;
  member.certain = false;
  context_.config->ForgetRevision(daemon);
  truth = DaemonTruth();
  truth.state = DaemonState::kLive;
  const ZoneIndex zone = context_.world->topology().daemons[daemon].zone;
  truth.informed_since = context_.world->IsCut(zone)
                             ? absl::InfiniteFuture()
                             : context_.scheduler->now();
  context_.poller->StartPolling(daemon, member.process_number);
  PublishVms();
  return OkStatus();
}

std::string DaemonFleet::WriteSettings(DaemonIndex daemon) const {
  const Topology& topology = context_.world->topology();
  const DaemonInfo& info = topology.daemons[daemon];
  nlohmann::json peers = nlohmann::json::array();
  for (const DaemonInfo& peer : topology.daemons) {
    if (!peer.spare && peer.name != info.name) {
      peers.push_back({{"name", peer.name},
                       {"zone", topology.zones[peer.zone]},
                       {"address", IpToString(peer.advertise)}});
    }
  }
  const nlohmann::json settings = {
      {"name", info.name},
      {"zone", topology.zones[info.zone]},
      {"region", topology.base},
      {"bind", IpToString(info.bind)},
      {"advertise", IpToString(info.advertise)},
      {"fabric", ToString(topology.fabric)},
      {"platform", ToString(topology.platform)},
      {"peers", peers},
      {"cluster_keys", {kClusterKey}},
      {"policy", options_.policy},
      {"dispatch_policy", options_.dispatch_policy},
      {"log_level", "info"},
      {"seed", (options_.seed * 1000 + daemon + 1) & kSeedMask}};
  std::string path = fmt::format("{}/{}.json", options_.directory, info.name);
  std::ofstream(path) << settings.dump(2);
  return path;
}

std::string DaemonFleet::LogPath(DaemonIndex daemon) const {
  return fmt::format("{}/{}.log", options_.directory,
                     context_.world->topology().daemons[daemon].name);
}

void DaemonFleet::Kill(DaemonIndex daemon) {
  if (!IsRunning(context_.world->daemon(daemon).state)) {
    return;
  }
  members_[daemon].process->Signal(SIGKILL);
  context_.world->daemon(daemon).state = DaemonState::kDead;
  context_.world->daemon(daemon).ended = context_.scheduler->now();
  context_.poller->StopPolling(daemon);
  UpdateFabricAfterLag(daemon);
  PublishVms();
}

void DaemonFleet::Stop(DaemonIndex daemon) {
  DaemonTruth& truth = context_.world->daemon(daemon);
  if (truth.state != DaemonState::kLive) {
    return;
  }
  truth.state = DaemonState::kStopping;
  truth.stop_began = context_.scheduler->now();
  members_[daemon].process->Signal(SIGTERM);
  UpdateFabricAfterLag(daemon);
  PublishVms();
}

void DaemonFleet::Pause(DaemonIndex daemon) {
  DaemonTruth& truth = context_.world->daemon(daemon);
  if (truth.state != DaemonState::kLive) {
    return;
  }
  truth.state = DaemonState::kPaused;
  truth.resumed = absl::InfiniteFuture();
  truth.informed_since = absl::InfiniteFuture();
  members_[daemon].process->Signal(SIGSTOP);
  context_.poller->StopPolling(daemon);
  UpdateFabricAfterLag(daemon);
}

void DaemonFleet::Resume(DaemonIndex daemon) {
  DaemonTruth& truth = context_.world->daemon(daemon);
  if (truth.state != DaemonState::kPaused) {
    return;
  }
  members_[daemon].process->Signal(SIGCONT);
  truth.state = DaemonState::kLive;
  truth.resumed = context_.scheduler->now();
  const ZoneIndex zone = context_.world->topology().daemons[daemon].zone;
  if (!context_.world->IsCut(zone)) {
    truth.informed_since = context_.scheduler->now();
  }
  context_.poller->StartPolling(daemon, members_[daemon].process_number);
  UpdateFabricAfterLag(daemon);
}

void DaemonFleet::UpdateFabricAfterLag(DaemonIndex daemon) {
  context_.scheduler->After(options_.fabric_lag, [this, daemon] {
    const bool live =
        context_.world->daemon(daemon).state == DaemonState::kLive;
    context_.fabric->SetSprayed(daemon, live && members_[daemon].revision > 0);
  });
}

void DaemonFleet::PublishVms() {
  std::vector<platform::Vm> vms;
  const Topology& topology = context_.world->topology();
  for (DaemonIndex i = 0; i < members_.size(); ++i) {
    const DaemonState state = context_.world->daemon(i).state;
    if (!IsRunning(state)) {
      continue;
    }
    const DaemonInfo& info = topology.daemons[i];
    vms.push_back({info.name, IpToString(info.advertise),
                   topology.zones[info.zone],
                   state == DaemonState::kStopping ? platform::VmState::kLeaving
                                                   : platform::VmState::kLive});
  }
  context_.platform->SetVms(std::move(vms));
}

void DaemonFleet::Tick() {
  for (const StatusReport& report : context_.poller->TakeReports()) {
    OnReport(report);
  }
  for (DaemonIndex i = 0; i < members_.size(); ++i) {
    const auto exit_code =
        members_[i].process ? members_[i].process->ExitCode() : std::nullopt;
    if (exit_code) {
      OnEnded(i, *exit_code);
    }
  }
}

void DaemonFleet::OnReport(const StatusReport& report) {
  Member& member = members_[report.daemon];
  if (report.process != member.process_number || report.revision == 0) {
    return;  // Report of an earlier process or without a revision.
  }
  if (member.revision == 0) {
    member.revision = report.revision;
    UpdateFabricAfterLag(report.daemon);
  }
  member.revision = report.revision;
  member.certain = report.certain;
  context_.config->OnRevisionReported(report.daemon, report.revision);
}

void DaemonFleet::OnEnded(DaemonIndex daemon, int exit_code) {
  DaemonTruth& truth = context_.world->daemon(daemon);
  const bool killed = truth.state == DaemonState::kDead;
  const bool stopped = truth.state == DaemonState::kStopping && exit_code == 0;
  if (!killed && !stopped) {
    ++crashes_;
    context_.ledger->AddNote(
        "daemons.crashed",
        fmt::format("{} ended with exit code {}",
                    context_.world->topology().daemons[daemon].name,
                    exit_code));
  }
  if (!killed) {
    truth.state = DaemonState::kDead;
    truth.ended = context_.scheduler->now();
  }
  members_[daemon].process.reset();
  context_.poller->StopPolling(daemon);
  UpdateFabricAfterLag(daemon);
  PublishVms();
}

bool DaemonFleet::AllReady(std::uint64_t version) const {
  return std::all_of(members_.begin(), members_.end(), [&](const Member& m) {
    return m.process == nullptr || (m.certain && m.revision >= version);
  });
}

}  // namespace gcw::lab
