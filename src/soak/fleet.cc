#include "src/soak/fleet.h"

#include <fmt/format.h>
#include <httplib.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "gcw/base/hash.h"
#include "gcw/base/log.h"
#include "platform/ready.h"

namespace gcw::soak {
namespace {

constexpr Logger kLog("soak");

constexpr std::uint16_t kPacketPort = 30000;
constexpr std::uint16_t kReadyPort = 30001;
constexpr std::uint16_t kMetricsPort = 30002;
constexpr std::uint16_t kMembersPort = 30003;
constexpr std::uint16_t kControlPort = kMembersPort + 1;
constexpr std::uint16_t kStorePort = 30005;
constexpr ListenPort kListenPorts[] = {{kPacketPort, PortType::kUdp},
                                       {kReadyPort, PortType::kTcp},
                                       {kMetricsPort, PortType::kTcp},
                                       {kMembersPort, PortType::kUdp},
                                       {kControlPort, PortType::kTcp}};
constexpr std::uint32_t kStoreNet = 250;  // Third octet of store proxies.
// Routers send no flows to a daemon after this many consecutive failed polls.
constexpr int kFailedPollsUntilUnready = 2;
constexpr absl::Duration kPollInterval = absl::Milliseconds(500);
// A readiness poll fails if connecting or reading the answer takes longer.
constexpr std::chrono::milliseconds kPollTimeout{120};

}  // namespace

std::uint32_t Fleet::DaemonIp(std::size_t daemon) const {
  return 127U << 24 | static_cast<std::uint32_t>(options_.octet) << 16 |
         static_cast<std::uint32_t>(daemon / 200 + 1) << 8 |
         static_cast<std::uint32_t>(daemon % 200 + 1);
}

Endpoint Fleet::PacketAddress(std::size_t daemon) const {
  return Address(daemon, kPacketPort);
}

std::span<const ListenPort> Fleet::listen_ports() {
  return kListenPorts;
}

Endpoint Fleet::Address(std::size_t daemon, std::uint16_t port) const {
  return {DaemonIp(daemon), port};
}

std::size_t Fleet::FindByIp(std::uint32_t ip) const {
  std::size_t daemon = 0;
  while (daemon < size() && DaemonIp(daemon) != ip) {
    ++daemon;
  }
  return daemon;
}

std::string Fleet::MakeSettings(std::size_t daemon,
                                const Endpoint& store) const {
  const auto at = [&](std::uint16_t port) {
    return ToString(Address(daemon, port));
  };
  return nlohmann::json{{"name", fmt::format("b{}", daemon)},
                        {"zone", fmt::format("z{}", ZoneOf(daemon))},
                        {"packets", at(kPacketPort)},
                        {"ready", at(kReadyPort)},
                        {"metrics_port", kMetricsPort},
                        {"platform", ToString(store)},
                        {"members_port", kMembersPort},
                        {"seeds",
                         {ToString(Endpoint{DaemonIp(0), 1}),
                          ToString(Endpoint{DaemonIp(1), 1})}},
                        {"stop_limit_s", 4},
                        {"log_level", "info"}}
      .dump();
}

Status Fleet::StartDaemon(lab::EventLoop& loop, std::size_t index) {
  Daemon& daemon = daemons_[index];
  Endpoint store{DaemonIp(index), kStorePort};
  store.ip = (store.ip & 0xffff0000) | kStoreNet << 8 |
             static_cast<std::uint32_t>(index % 200 + 1);
  store.port = static_cast<std::uint16_t>(kStorePort + index / 200);
  auto proxy = StoreProxy::Make(loop, store, options_.store);
  if (!proxy.ok()) {
    return proxy.error();
  }
  daemon.store_proxy = std::move(proxy).value();
  daemon.settings = fmt::format("{}/b{}.json", options_.work_dir, index);
  daemon.log = fmt::format("{}/b{}.log", options_.work_dir, index);
  std::ofstream(daemon.settings) << MakeSettings(index, store);
  auto process = lab::DaemonProcess::Make(options_.program, daemon.settings,
                                          daemon.log, options_.limits);
  if (!process.ok()) {
    return process.error();
  }
  daemon.process = std::move(process).value();
  return OkStatus();
}

Result<std::unique_ptr<Fleet>> Fleet::Make(lab::EventLoop& loop,
                                           const FleetOptions& options) {
  auto fleet = std::unique_ptr<Fleet>(new Fleet(options));
  const std::size_t count = options.zones * options.daemons_per_zone;
  fleet->daemons_.resize(count);
  fleet->failed_polls_ = std::vector<std::atomic<int>>(count);
  for (std::size_t i = 0; i < count; ++i) {
    fleet->failed_polls_[i] = kFailedPollsUntilUnready;
    const Status started = fleet->StartDaemon(loop, i);
    if (!started.ok()) {
      return started.error();
    }
  }
  fleet->poller_ = std::thread([f = fleet.get()] { f->PollReady(); });
  return fleet;
}

Fleet::~Fleet() {
  stopping_ = true;
  if (poller_.joinable()) {
    poller_.join();
  }
}

void Fleet::PollReady() {
  while (!stopping_) {
    const absl::Time poll_start = absl::Now();
    for (std::size_t i = 0; i < daemons_.size() && !stopping_; ++i) {
      httplib::Client client(IpToString(DaemonIp(i)), kReadyPort);
      client.set_connection_timeout(kPollTimeout);
      client.set_read_timeout(kPollTimeout);
      const auto answer = client.Get(adapter::kReadyPath);
      if (answer && answer->status == 200) {
        failed_polls_[i] = 0;
      } else {
        ++failed_polls_[i];
      }
    }
    absl::SleepFor(kPollInterval - (absl::Now() - poll_start));
  }
}

std::size_t Fleet::Route(std::size_t zone, std::uint64_t flow_hash) const {
  std::size_t best = size();
  std::uint64_t best_rank = 0;
  for (const bool own_zone : {true, false}) {
    for (std::size_t i = 0; i < size(); ++i) {
      const bool in_scope = !own_zone || ZoneOf(i) == zone;
      const std::uint64_t rank = MixHash(flow_hash, i + 1);
      if (in_scope && failed_polls_[i] < kFailedPollsUntilUnready &&
          (best == size() || rank > best_rank)) {
        best = i;
        best_rank = rank;
      }
    }
    if (best != size()) {
      return best;
    }
  }
  return zone * options_.daemons_per_zone;
}

void Fleet::Signal(std::size_t daemon, int signal) {
  Daemon& d = daemons_[daemon];
  d.termination_requested =
      d.termination_requested || signal == SIGKILL || signal == SIGTERM;
  d.process->Signal(signal);
}

void Fleet::Restart(std::size_t daemon) {
  Daemon& d = daemons_[daemon];
  d.restart_due = true;
  if (d.process->ExitCode()) {
    StartProcess(daemon);
  }
}

void Fleet::StartProcess(std::size_t index) {
  Daemon& daemon = daemons_[index];
  auto process = lab::DaemonProcess::Make(options_.program, daemon.settings,
                                          daemon.log, options_.limits);
  if (!process.ok()) {
    kLog.Error("cannot restart a daemon: {}", process.error().message);
    return;
  }
  daemon.process = std::move(process).value();
  daemon.termination_requested = false;
  daemon.restart_due = false;
  watch_.OnStart(index);
}

void Fleet::StartExited() {
  for (std::size_t i = 0; i < size(); ++i) {
    Daemon& daemon = daemons_[i];
    if (!daemon.process->ExitCode()) {
      continue;
    }
    if (!daemon.termination_requested && !daemon.restart_due) {
      ++crashes_;
      daemon.restart_due = true;
    }
    if (daemon.restart_due) {
      StartProcess(i);
    }
  }
}

void Fleet::MeasureUsage(absl::Time now) {
  for (std::size_t i = 0; i < size(); ++i) {
    if (const auto usage = daemons_[i].process->Usage()) {
      watch_.OnUsage(i, *usage, now);
    }
  }
}

}  // namespace gcw::soak
