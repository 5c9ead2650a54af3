#include "src/lab/lab_run.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/hash.h"
#include "src/lab/config_writer.h"
#include "src/lab/daemon_fleet.h"
#include "src/lab/event_loop.h"
#include "src/lab/event_player.h"
#include "src/lab/fabric.h"
#include "src/lab/flow_callers.h"
#include "src/lab/loopback_claim.h"
#include "src/lab/peer_proxy.h"
#include "src/lab/request_callers.h"
#include "src/lab/storm.h"
#include "src/lab/udp_port.h"

namespace gcw::lab {
namespace {

// The run fails if the daemons are not ready within this time.
constexpr absl::Duration kStartTimeout = absl::Seconds(30);
// Time from the readiness of all daemons to the start of the scenario.
constexpr absl::Duration kSettleTime = absl::Seconds(1);
// Time after the end of the scenario in which flows close and the last requests
// end.
constexpr absl::Duration kDrainTime = absl::Milliseconds(2500);
// Interval of load samples and of checks on the daemon processes.
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
// Length of the measuring windows of LoadMeter.
constexpr absl::Duration kMeterWindow = absl::Seconds(1);
// Port on which the daemons receive callers' packets.
constexpr std::uint16_t kDataPort = 7000;
// A warm server can accept new flows at this many times its mean share of the
// scenario's flow rate, plus kBaseFlowRate flows per second.
constexpr double kFlowRateFactor = 4;
constexpr double kBaseFlowRate = 20;
constexpr std::size_t kMaxLogTailBytes = 1500;

std::string TailOf(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return text.size() > kMaxLogTailBytes
             ? text.substr(text.size() - kMaxLogTailBytes)
             : text;
}

// The directory for the daemons' settings and logs: `kept` or, if `kept` is
// empty, a temporary directory that the destructor removes.
class WorkDirectory {
 public:
  explicit WorkDirectory(const std::string& kept) : keep_(!kept.empty()) {
    path_ = keep_ ? kept
                  : fmt::format("{}/gcw-lab-{}",
                                std::filesystem::temp_directory_path().string(),
                                getpid());
    std::filesystem::create_directories(path_);
  }
  ~WorkDirectory() {
    std::error_code ignored;
    if (!keep_) {
      std::filesystem::remove_all(path_, ignored);
    }
  }

  const std::string& path() const { return path_; }

 private:
  bool keep_;
  std::string path_;
};

// One run of a scenario, with all emulated parts and the daemons. The members
// are declared in the order in which they are constructed.
class Run {
 public:
  Run(const Scenario& scenario, const RunOptions& options, int octet)
      : scenario_(scenario),
        options_(options),
        directory_(options.keep_logs),
        topology_(MakeTopology(scenario.base, octet, scenario.daemons)),
        world_(topology_),
        meter_(world_) {}

  Result<Report> Execute() {
    const Status opened = Open();
    if (!opened.ok()) {
      return opened.error();
    }
    const Status started = StartDaemons();
    if (!started.ok()) {
      return started.error();
    }
    Play();
    return MakeReport();
  }

 private:
  std::uint64_t SeedFor(std::string_view part) const {
    return StableHash(part, options_.seed);
  }

  Status Open() {
    auto loop = EventLoop::Make();
    if (!loop.ok()) {
      return loop.error();
    }
    loop_ = std::move(loop).value();
    fake_platform::FakePlatformOptions platform_options;
    platform_options.listen = topology_.platform;
    platform_options.seed = SeedFor("platform");
    platform_options.vm_list_lag = scenario_.vm_list_lag;
    auto platform = fake_platform::FakePlatform::Make(platform_options);
    if (!platform.ok()) {
      return platform.error();
    }
    platform_ = std::move(platform).value();
    ledger_ = std::make_unique<Ledger>(*loop_, world_);
    requests_ = std::make_unique<RequestLedger>(*loop_, world_, *ledger_);
    network_ = std::make_unique<Network>(*loop_, world_, SeedFor("network"));
    config_watch_ = std::make_unique<ConfigWatch>(*loop_, world_, *ledger_);
    config_ = std::make_unique<ConfigWriter>(
        topology_, *platform_, [this](config::Version version) {
          config_watch_->OnWriteAccepted(version);
        });
    poller_ = std::make_unique<StatusPoller>(topology_);
    for (const auto& open :
         {&Run::OpenServers, &Run::OpenFabric, &Run::OpenProxy}) {
      Status opened = (this->*open)();
      if (!opened.ok()) {
        return opened;
      }
    }
    MakeCallers();
    MakeFleet();
    return OkStatus();
  }

  Status OpenServers() {
    const double flow_rate =
        kBaseFlowRate + kFlowRateFactor * scenario_.load.flows_per_s /
                            static_cast<double>(topology_.servers.size());
    server_ports_.resize(topology_.servers.size());
    for (ServerIndex i = 0; i < topology_.servers.size(); ++i) {
      auto port = UdpPort::Make(
          *loop_, topology_.servers[i].address,
          [this, i](std::span<const std::uint8_t> bytes, const Endpoint& from) {
            OnServerDatagram(i, bytes, from);
          });
      if (!port.ok()) {
        return port.error();
      }
      server_ports_[i] = std::move(port).value();
      servers_.push_back(std::make_unique<BackendServer>(
          BackendServer::Context{loop_.get(), &world_, ledger_.get(),
                                 requests_.get(), &meter_},
          i, SeedFor(topology_.servers[i].name),
          [this, i](Bytes payload, const Endpoint& to) {
            OnServerReply(i, std::move(payload), to);
          }));
      servers_.back()->set_flow_rate(flow_rate);
    }
    return OkStatus();
  }

  void OnServerDatagram(ServerIndex server,
                        std::span<const std::uint8_t> bytes,
                        const Endpoint& from) {
    const DaemonIndex daemon = topology_.FindDaemonByBind(from.ip);
    if (daemon == topology_.daemons.size()) {
      return;
    }
    network_->Carry(
        LinkKind::kServers, topology_.daemons[daemon].zone,
        topology_.servers[server].zone,
        [this, server, daemon, from, copy = Bytes(bytes.begin(), bytes.end())] {
          servers_[server]->OnDatagram(copy, from, daemon);
        });
  }

  void OnServerReply(ServerIndex server, Bytes payload, const Endpoint& to) {
    const DaemonIndex daemon = topology_.FindDaemonByBind(to.ip);
    network_->Carry(LinkKind::kServers, topology_.servers[server].zone,
                    topology_.daemons[daemon].zone,
                    [this, server, to, payload = std::move(payload)] {
                      server_ports_[server]->Send(payload, to);
                    });
  }

  Status OpenFabric() {
    fabric_ = std::make_unique<Fabric>(
        world_, *network_, SeedFor("fabric"),
        [this](DaemonIndex daemon, Bytes packet) {
          fabric_port_->Send(std::move(packet),
                             {topology_.daemons[daemon].bind, kDataPort});
        });
    auto port = UdpPort::Make(
        *loop_, topology_.fabric,
        [this](std::span<const std::uint8_t> bytes, const Endpoint& from) {
          const DaemonIndex daemon = topology_.FindDaemonByBind(from.ip);
          if (daemon != topology_.daemons.size()) {
            fabric_->SendReply(
                daemon, bytes,
                [this](const InnerPacket& packet) { OnCallerPacket(packet); });
          }
        });
    if (!port.ok()) {
      return port.error();
    }
    fabric_port_ = std::move(port).value();
    return OkStatus();
  }

  void OnCallerPacket(const InnerPacket& packet) {
    if (packet.is_tcp) {
      flows_->OnPacket(packet);
    } else {
      callers_->OnPacket(packet);
    }
  }

  Status OpenProxy() {
    auto proxy = PeerProxy::Make(*loop_, world_, *network_);
    if (!proxy.ok()) {
      return proxy.error();
    }
    proxy_ = std::move(proxy).value();
    return OkStatus();
  }

  void MakeCallers() {
    flows_ = std::make_unique<FlowCallers>(
        *loop_, world_, *ledger_, scenario_.load, SeedFor("flows"),
        [this](ZoneIndex zone, Bytes packet) {
          fabric_->Spray(zone, std::move(packet));
        });
    callers_ = std::make_unique<RequestCallers>(
        *loop_, world_, *requests_, meter_, scenario_.load, SeedFor("requests"),
        [this](ZoneIndex zone, Bytes packet, std::optional<DaemonIndex> avoid) {
          return fabric_->Spray(zone, std::move(packet), avoid);
        });
  }

  void MakeFleet() {
    FleetOptions fleet;
    fleet.program = options_.bin_directory + "/gcw-balancer";
    fleet.directory = directory_.path();
    fleet.policy = options_.policy;
    fleet.dispatch_policy = options_.dispatch_policy;
    fleet.seed = options_.seed;
    fleet.fabric_lag = scenario_.fabric_lag;
    fleet_ = std::make_unique<DaemonFleet>(
        DaemonFleet::Context{loop_.get(), &world_, ledger_.get(), fabric_.get(),
                             platform_.get(), config_watch_.get(),
                             poller_.get()},
        fleet);
    player_ = std::make_unique<EventPlayer>(
        EventPlayer::Context{loop_.get(), &world_, network_.get(),
                             platform_.get(), config_.get(), fleet_.get(),
                             flows_.get(), &servers_},
        scenario_.cold, SeedFor("events"));
  }

  Status StartDaemons() {
    config_->WriteAll();
    for (DaemonIndex i = 0; i < topology_.daemons.size(); ++i) {
      if (!topology_.daemons[i].spare) {
        Status started = fleet_->Start(i);
        if (!started.ok()) {
          return started;
        }
      }
    }
    Tick();
    const absl::Time deadline = absl::Now() + kStartTimeout;
    while (!fleet_->AllReady(config_->last_version())) {
      if (absl::Now() > deadline || fleet_->crashes() > 0) {
        return Error{
            ResultCode::kInternal, "",
            "the daemons did not become ready; the log of daemon 0 ends:\n" +
                TailOf(fleet_->LogPath(0))};
      }
      loop_->RunUntil(absl::Now() + kTickInterval);
    }
    loop_->RunUntil(absl::Now() + kSettleTime);
    return OkStatus();
  }

  void Tick() {
    fleet_->Tick();
    loop_->After(kTickInterval, [this] { Tick(); });
  }

  void Measure() {
    std::vector<ServerLoad> loads;
    for (const auto& server : servers_) {
      loads.push_back(server->load());
    }
    meter_.Sample(loads, loop_->now() - last_sample_);
    last_sample_ = loop_->now();
    if (loop_->now() - last_window_ >= kMeterWindow) {
      EndWindow();
      last_window_ = loop_->now();
    }
    if (loop_->now() < end_) {
      loop_->After(kTickInterval, [this] { Measure(); });
    }
  }

  void EndWindow() {
    meter_.EndWindow(last_window_ >= world_.unsettled_until());
  }

  void Play() {
    start_ = loop_->now();
    end_ = start_ + scenario_.duration;
    ledger_->set_start(start_);
    proxy_->ResetTraffic();
    config_watch_->Reset();
    platform_calls_before_ = platform_->TotalCalls();
    last_sample_ = last_window_ = start_;
    std::vector<Event> events = scenario_.events;
    if (scenario_.storm_events > 0) {
      const std::vector<Event> storm =
          DrawStorm(topology_, scenario_.duration, scenario_.storm_events,
                    SeedFor("storm"));
      events.insert(events.end(), storm.begin(), storm.end());
    }
    player_->Play(events);
    flows_->Start(end_);
    callers_->Start(end_);
    Measure();
    loop_->RunUntil(end_);
    EndWindow();
    traffic_ = proxy_->traffic();
    platform_calls_ = platform_->TotalCalls() - platform_calls_before_;
    config_watch_->Finish();
    loop_->RunUntil(end_ + kDrainTime);
    flows_->Finish();
  }

  void AddFlowTotals(std::vector<Total>* totals) const {
    const auto add = [&](const char* name, std::uint64_t value) {
      totals->push_back({name, static_cast<double>(value)});
    };
    const FlowTotals& flows = ledger_->flows();
    add("flows.opened", flows.opened);
    add("flows.broken", flows.broken);
    add("flows.given_up", flows.given_up);
    add("flows.not_opened", flows.not_opened);
    add("flows.refused", flows.refused);
    add("flows.second_server", flows.second_server);
    add("flows.silent", flows.silent);
    add("flows.silent_stuck", flows.silent_stuck);
    const PacketTotals& packets = ledger_->packets();
    add("packets.at_servers", packets.at_servers);
    add("packets.misdelivered", packets.misdelivered);
    add("packets.to_out_zone_late", packets.to_out_zone_late);
    add("packets.malformed", packets.malformed);
    add("work.accepted", ledger_->work().accepted);
    add("work.to_leaving_late", ledger_->work().to_leaving_late);
  }

  void AddRequestTotals(std::vector<Total>* totals) const {
    const auto add = [&](const char* name, std::uint64_t value) {
      totals->push_back({name, static_cast<double>(value)});
    };
    const RequestTotals& requests = requests_->totals();
    add("requests.sent", requests.sent);
    add("requests.delivered", requests.delivered);
    add("requests.late", requests.late);
    add("requests.refused", requests.refused);
    add("requests.cancelled", requests.cancelled);
    add("requests.unanswered", requests.unanswered);
    add("requests.unknown_outcome", requests.unknown_outcome);
    add("requests.run_twice", requests.run_twice);
    add("requests.false_not_run", requests.false_not_run);
    add("requests.wrong_answer", requests.wrong_answer);
    add("requests.cut_by_planned_stop", requests.cut_by_planned_stop);
    add("requests.attempts", requests.attempts);
    add("requests.sheds", requests.sheds);
    const double sent = static_cast<double>(requests.sent);
    totals->push_back(
        {"requests.attempts_per_request",
         sent > 0 ? static_cast<double>(requests.attempts) / sent : 0});
  }

  void AddServiceTotals(std::vector<Total>* totals) const {
    for (const std::string& organisation : topology_.organisations) {
      totals->push_back(
          {"service." + organisation, meter_.ServiceShare(organisation)});
      totals->push_back({"service_settled." + organisation,
                         meter_.SettledServiceShare(organisation)});
    }
    const auto ms = [&](ServiceIndex i, double share) {
      return absl::ToDoubleMilliseconds(meter_.AnswerTime(i, share));
    };
    for (ServiceIndex i = 0; i < topology_.services.size(); ++i) {
      const std::string& name = topology_.services[i].name;
      const double flows = meter_.FlowImbalance(i);
      const double slots = meter_.SlotImbalance(i);
      totals->push_back({"imbalance." + name, std::max(flows, slots)});
      totals->push_back({"imbalance_of_flows." + name, flows});
      totals->push_back({"imbalance_of_slots." + name, slots});
      totals->push_back({"answer_ms." + name + ".p50", ms(i, 0.5)});
      totals->push_back({"answer_ms." + name + ".p99", ms(i, 0.99)});
      totals->push_back({"answer_ms." + name + ".p999", ms(i, 0.999)});
    }
  }

  void AddRates(std::vector<Total>* totals) const {
    const double seconds = absl::ToDoubleSeconds(scenario_.duration);
    PeerTraffic worst;
    for (const PeerTraffic& traffic : traffic_) {
      worst.control_sent = std::max(worst.control_sent, traffic.control_sent);
      worst.control_received =
          std::max(worst.control_received, traffic.control_received);
      worst.relayed_sent = std::max(worst.relayed_sent, traffic.relayed_sent);
    }
    const auto add = [&](const char* name, std::uint64_t count) {
      totals->push_back({name, static_cast<double>(count) / seconds});
    };
    add("control.bytes_per_s", worst.control_sent);
    add("control.received_bytes_per_s", worst.control_received);
    add("control.relayed_bytes_per_s", worst.relayed_sent);
    add("platform.calls_per_s", platform_calls_);
  }

  std::vector<Total> CollectTotals() const {
    std::vector<Total> totals;
    AddFlowTotals(&totals);
    AddRequestTotals(&totals);
    AddServiceTotals(&totals);
    totals.push_back({"cold.overload", meter_.cold_overload()});
    AddRates(&totals);
    totals.push_back(
        {"config.in_force_s", absl::ToDoubleSeconds(config_watch_->longest())});
    totals.push_back(
        {"config.reverts", static_cast<double>(config_watch_->reverts())});
    totals.push_back(
        {"daemons.crashed", static_cast<double>(fleet_->crashes())});
    return totals;
  }

  Report MakeReport() const {
    Report report;
    report.scenario = options_.scenario_path;
    report.base = scenario_.base;
    report.seed = options_.seed;
    report.policy = options_.policy;
    report.dispatch_policy = options_.dispatch_policy;
    report.duration_s = absl::ToDoubleSeconds(scenario_.duration);
    report.totals = CollectTotals();
    report.checks = EvaluateBounds(scenario_.bounds, report.totals);
    report.notes = ledger_->notes();
    return report;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  WorkDirectory directory_;
  Topology topology_;
  World world_;
  LoadMeter meter_;
  std::unique_ptr<EventLoop> loop_;
  std::unique_ptr<fake_platform::FakePlatform> platform_;
  std::unique_ptr<Ledger> ledger_;
  std::unique_ptr<RequestLedger> requests_;
  std::unique_ptr<Network> network_;
  std::unique_ptr<ConfigWatch> config_watch_;
  std::unique_ptr<ConfigWriter> config_;
  std::unique_ptr<StatusPoller> poller_;
  std::vector<std::unique_ptr<UdpPort>> server_ports_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::unique_ptr<UdpPort> fabric_port_;
  std::unique_ptr<Fabric> fabric_;
  std::unique_ptr<PeerProxy> proxy_;
  std::unique_ptr<FlowCallers> flows_;
  std::unique_ptr<RequestCallers> callers_;
  std::unique_ptr<DaemonFleet> fleet_;
  std::unique_ptr<EventPlayer> player_;

  absl::Time start_;
  absl::Time end_;
  absl::Time last_sample_;
  absl::Time last_window_;
  std::vector<PeerTraffic> traffic_;
  std::uint64_t platform_calls_before_ = 0;
  std::uint64_t platform_calls_ = 0;
};

}  // namespace

Result<Report> RunScenario(const Scenario& scenario,
                           const RunOptions& options) {
  const auto claim = LoopbackClaim::Make();
  if (!claim.ok()) {
    return claim.error();
  }
  Run run(scenario, options, claim.value()->octet());
  return run.Execute();
}

}  // namespace gcw::lab
