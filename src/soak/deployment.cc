#include "src/soak/deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gcw/base/hash.h"
#include "platform/object_format.h"
#include "platform/packet_header.h"
#include "platform/stand_in_form.h"
#include "platform/stand_in_objects.h"

namespace gcw::soak {
namespace {

using adapter::EndHostPacket;

constexpr std::uint16_t kPacketPort = 30000;
// Third octets of the loopback addresses of servers and callers.
constexpr std::uint32_t kServerNet = 100;
constexpr std::uint32_t kCallerNet = 200;
constexpr std::uint16_t kFirstCallerPort = 1000;
constexpr absl::Duration kMaintenanceInterval = absl::Milliseconds(50);
constexpr absl::Duration kUsageInterval = absl::Milliseconds(500);
// Few enough that idle connections use them up.
constexpr std::uint64_t kFewDescriptors = 200;
// Ports of each usual caller and each burst caller, which is more seldom
// active.
constexpr std::uint16_t kPorts = 600;
constexpr std::uint16_t kBurstPorts = 300;
// Callers that a burst adds for each usual one. The default 20 callers use a
// fifth of the slots of their zone. With a burst they need 1.8 times the slots
// of the zone, or 0.7 of those of the fleet; without other zones, the queues of
// the servers in the zone would overflow.
constexpr std::size_t kBurstFactor = 9;
// One caller of so many opens a new flow for each request. Half of the burst
// callers do, as only new flows can be placed by load.
constexpr std::size_t kCallersPerShortFlows = 5;
constexpr std::size_t kBurstCallersPerShortFlows = 2;
// Callers that have ports enough at one address.
constexpr std::size_t kMaxBurstCallers = 200;
// Callers of each zone whose flows are mostly idle. Each flow needs few ports.
constexpr std::size_t kIdleCallers = 20;
constexpr std::uint16_t kIdlePorts = 50;
// Addresses that callers connect to.
constexpr Endpoint kService{0xc6120001, 8443};
constexpr Endpoint kOptionalService{0xc6120001, 9000};

std::uint64_t HashFlow(const direct::FlowKey& flow) {
  return MixHash(MixHash(flow.caller.ip, flow.caller.port),
                 MixHash(flow.service.ip, flow.service.port));
}

}  // namespace

Result<std::unique_ptr<Deployment>> Deployment::Make(
    const SoakOptions& options,
    DeploymentObserver& observer) {
  std::unique_ptr<Deployment> created(new Deployment(options, observer));
  const Status started = created->Start();
  if (!started.ok()) {
    return started.error();
  }
  return created;
}

Status Deployment::Start() {
  auto claim = lab::LoopbackClaim::Make();
  if (!claim.ok()) {
    return claim.error();
  }
  claim_ = std::move(claim).value();
  auto loop = lab::EventLoop::Make();
  if (!loop.ok()) {
    return loop.error();
  }
  loop_ = std::move(loop).value();
  MakeNetwork();
  for (const auto start_step :
       {&Deployment::StartStore, &Deployment::StartServers,
        &Deployment::StartFleet, &Deployment::MakeCallers}) {
    Status status = (this->*start_step)();
    if (!status.ok()) {
      return status;
    }
  }
  return OkStatus();
}

void Deployment::StartCallers() {
  for (CallerRecord& record : callers_) {
    if (!record.burst) {
      record.caller->Start();
    }
  }
}

void Deployment::BeginLoad(std::size_t zone, bool burst) {
  ZoneLoad& load = loads_[zone];
  if (load.patterns++ == 0) {
    load.began = now();
    load.ended = absl::InfiniteFuture();
  }
  if (burst && load.bursts++ == 0) {
    StartOrStopBurst(zone);
  }
}

void Deployment::EndLoad(std::size_t zone, bool burst) {
  ZoneLoad& load = loads_[zone];
  if (--load.patterns == 0) {
    load.ended = now();
  }
  if (burst && --load.bursts == 0) {
    StartOrStopBurst(zone);
  }
}

void Deployment::StartOrStopBurst(std::size_t zone) {
  for (CallerRecord& record : callers_) {
    if (record.burst && record.zone == zone) {
      if (loads_[zone].bursts > 0) {
        record.caller->Start();
      } else {
        record.caller->Stop();
      }
    }
  }
}

bool Deployment::IsLoaded(std::size_t zone, absl::Time time) const {
  return time >= loads_[zone].began && time <= loads_[zone].ended;
}

std::size_t Deployment::CallerZone(const direct::FlowKey& flow) const {
  return ((flow.caller.ip & 0xff) - 1) % kZones;
}

void Deployment::SetOutboundCut(std::size_t zone, bool cut) {
  if (cut) {
    outbound_cut_zones_.insert(zone);
  } else {
    outbound_cut_zones_.erase(zone);
  }
}

void Deployment::RestartServer(std::size_t server, absl::Duration cold_for) {
  ServerRecord& record = servers_[server];
  record.server->Restart();
  record.reports = 0;
  record.up = true;
  record.draining_since = absl::InfiniteFuture();
  record.probes->Set(ProbeTarget::Mode::kAccept);
  reports_->BecomeCold(server, cold_for);
}

bool Deployment::TakeZoneOut(std::size_t zone) {
  if (out_zones_.size() + 1 >= kZones) {
    return false;  // At least one zone has to stay in service.
  }
  const auto written =
      store_->Put(adapter::ZoneOutKey(topology_.zones[zone]), "{}", 0);
  if (!written.ok()) {
    return false;  // The zone is out of service already.
  }
  out_zones_[zone] = {loop_->now(), written.value()};
  return true;
}

void Deployment::PutZoneBack(std::size_t zone) {
  (void)store_->Delete(adapter::ZoneOutKey(topology_.zones[zone]),
                       out_zones_[zone].version);
  out_zones_.erase(zone);
}

config::Version Deployment::StoredVersion(const std::string& key) const {
  const auto object = store_->Get(key);
  return object.ok() ? object.value().version : 0;
}

void Deployment::RestoreStore() {
  store_->Restore();
  reports_->ReadVersions();
  WriteOperatorsStateAgain();
}

void Deployment::WriteOperatorsStateAgain() {
  const std::string key(adapter::kConfigurationKey);
  const auto written =
      store_->Put(key, configuration_text_, StoredVersion(key));
  if (written.ok()) {
    configuration_version_ = written.value();
  }
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    const std::string zone_key = adapter::ZoneOutKey(topology_.zones[zone]);
    const config::Version version = StoredVersion(zone_key);
    const auto out = out_zones_.find(zone);
    if (out == out_zones_.end()) {
      (void)store_->Delete(zone_key, version);
    } else if (version == 0) {
      out->second.version = store_->Put(zone_key, "{}", 0).value();
    } else {
      out->second.version = version;
    }
  }
}

bool Deployment::IsOptional(const direct::FlowKey& flow) {
  return flow.service == kOptionalService;
}

std::optional<absl::Time> Deployment::ZoneOutSince(std::size_t zone) const {
  const auto found = out_zones_.find(zone);
  return found == out_zones_.end() ? std::nullopt
                                   : std::optional(found->second.since);
}

std::uint32_t Deployment::LoopbackIp(std::uint32_t net,
                                     std::size_t host) const {
  return 127U << 24 | static_cast<std::uint32_t>(claim_->octet()) << 16 |
         net << 8 | static_cast<std::uint32_t>(host + 1);
}

void Deployment::MakeNetwork() {
  for (std::size_t z = 0; z < kZones; ++z) {
    topology_.zones.push_back(fmt::format("z{}", z));
  }
  topology_.zone_delay = absl::Milliseconds(1);
  topology_.caller_delay = absl::Milliseconds(2);
  world_ = std::make_unique<lab::World>(topology_);
  network_ = std::make_unique<lab::Network>(*loop_, *world_, options_.seed);
}

Status Deployment::StartStore() {
  fake_platform::FakePlatformOptions options;
  options.listen = {0x7f000001, 0};
  options.format = &adapter::ObjectForm();
  options.page_size = 5;
  options.limits = {.reads_per_second = 1e6, .writes_per_second = 1e6};
  auto created = fake_platform::FakePlatform::Make(options);
  if (!created.ok()) {
    return created.error();
  }
  store_ = std::move(created).value();
  WriteConfiguration(false);
  return OkStatus();
}

void Deployment::WriteConfiguration(bool with_optional_route) {
  direct::Configuration configuration;
  configuration.version = ++configuration_number_;
  configuration.routes.push_back({kService, "a", {{"s", 1}}});
  if (with_optional_route) {
    configuration.routes.push_back({kOptionalService, "b", {{"s", 1}}});
  }
  configuration.services.push_back({.name = "s"});
  if (options_.added.cold_servers) {
    configuration.services[0].cold_time = kColdTime;
  }
  std::string text = adapter::EncodeConfiguration(configuration);
  const auto written =
      store_->Put(adapter::kConfigurationKey, text, configuration_version_);
  if (written.ok()) {
    configuration_text_ = std::move(text);
    configuration_version_ = written.value();
    optional_route_ = with_optional_route;
    routes_changed_at_ = loop_->now();
  }
}

Status Deployment::StartServers() {
  const std::size_t count = kZones * options_.servers_per_zone;
  servers_.resize(count);
  reports_ =
      std::make_unique<ServerReports>(*loop_, *store_, topology_, servers_);
  for (std::size_t i = 0; i < count; ++i) {
    ServerRecord& record = servers_[i];
    record.zone = i / options_.servers_per_zone;
    record.number = i + 1;
    record.address = {LoopbackIp(kServerNet, i), kPacketPort};
    record.server = std::make_unique<Server>(
        *loop_, [this, i](const EndHostPacket& end) { OnServerPacket(i, end); },
        [this, i](const std::string& request) {
          observer_.OnRequestExecuted(i, request);
        });
    record.probes = std::make_unique<ProbeTarget>(record.address);
    record.probes->Set(ProbeTarget::Mode::kAccept);
    auto port = lab::UdpPort::Make(
        *loop_, record.address,
        [this, i](std::span<const std::uint8_t> bytes, const Endpoint& from) {
          ForwardToServer(i, bytes, from);
        });
    if (!port.ok()) {
      return port.error();
    }
    record.port = std::move(port).value();
    reports_->Put(i);
  }
  return OkStatus();
}

Status Deployment::StartFleet() {
  FleetOptions options;
  options.program = options_.program;
  options.work_dir = options_.work_dir;
  options.octet = claim_->octet();
  options.zones = kZones;
  options.daemons_per_zone = options_.daemons_per_zone;
  options.store = store_->endpoint();
  if (options_.added.exhaustion) {
    options.limits.max_descriptors = kFewDescriptors;
  }
  auto fleet = Fleet::Make(*loop_, options);
  if (!fleet.ok()) {
    return fleet.error();
  }
  fleet_ = std::move(fleet).value();
  return OkStatus();
}

Status Deployment::MakeCallers() {
  const std::size_t bursting =
      options_.added.load_patterns
          ? std::min(options_.callers_per_zone * kBurstFactor, kMaxBurstCallers)
          : 0;
  const std::size_t idle_callers =
      options_.added.cold_servers ? kIdleCallers : 0;
  for (std::size_t i = 0; i < 2 * kZones; ++i) {
    auto port =
        lab::UdpPort::Make(*loop_, {LoopbackIp(kCallerNet, i), kPacketPort},
                           [this](std::span<const std::uint8_t> bytes,
                                  const Endpoint&) { OnDaemonPacket(bytes); });
    if (!port.ok()) {
      return port.error();
    }
    caller_ports_.push_back(std::move(port).value());
    const bool burst = i >= kZones;
    const std::size_t count = burst ? bursting : options_.callers_per_zone;
    for (std::size_t j = 0; j < count; ++j) {
      AddCaller(i % kZones, j, burst);
    }
    for (std::size_t j = 0; !burst && j < idle_callers; ++j) {
      AddIdleCaller(i % kZones, count + j);
    }
  }
  return OkStatus();
}

void Deployment::AddCaller(std::size_t zone, std::size_t index, bool burst) {
  const std::size_t id = callers_.size();
  CallerRecord record;
  record.zone = zone;
  record.burst = burst;
  record.port = burst ? kZones + zone : zone;
  // The first caller of each zone uses the optional route all the time.
  record.optional_route = !burst && index == 0;
  const std::uint16_t ports = burst ? kBurstPorts : kPorts;
  const Endpoint address{
      LoopbackIp(kCallerNet, record.port),
      static_cast<std::uint16_t>(kFirstCallerPort + index * ports)};
  const bool short_flows =
      index % (burst ? kBurstCallersPerShortFlows : kCallersPerShortFlows) == 0;
  record.caller = std::make_unique<Caller>(
      *loop_, options_.seed * 1000 + id, address, ports,
      record.optional_route ? kOptionalService : kService,
      short_flows ? FlowUse::kOneRequest : FlowUse::kBusy,
      [this, id](const EndHostPacket& end) { OnCallerPacket(id, end); },
      record.optional_route ? static_cast<CallerObserver&>(ignoring_observer_)
                            : observer_);
  callers_.push_back(std::move(record));
}

void Deployment::AddIdleCaller(std::size_t zone, std::size_t index) {
  const std::size_t id = callers_.size();
  CallerRecord record;
  record.zone = zone;
  record.port = zone;
  const Endpoint address{
      LoopbackIp(kCallerNet, record.port),
      static_cast<std::uint16_t>(kFirstCallerPort + index * kPorts)};
  record.caller = std::make_unique<Caller>(
      *loop_, options_.seed * 1000 + id, address, kIdlePorts, kService,
      FlowUse::kIdle,
      [this, id](const EndHostPacket& end) { OnCallerPacket(id, end); },
      observer_);
  callers_.push_back(std::move(record));
}

void Deployment::OnCallerPacket(std::size_t caller, const EndHostPacket& end) {
  const std::size_t zone = callers_[caller].zone;
  const std::size_t port = callers_[caller].port;
  network_->Carry(lab::LinkKind::kCallers, zone, zone, [this, zone, port, end] {
    const std::size_t daemon = fleet_->Route(zone, HashFlow(end.packet.flow));
    caller_ports_[port]->Send(adapter::EncodeEndHostPacket(end),
                              fleet_->PacketAddress(daemon));
  });
}

void Deployment::ForwardToServer(std::size_t server,
                                 std::span<const std::uint8_t> bytes,
                                 const Endpoint& from) {
  const std::size_t daemon = fleet_->FindByIp(from.ip);
  if (daemon == fleet_->size()) {
    return;
  }
  const std::size_t from_zone = fleet_->ZoneOf(daemon);
  const std::size_t to_zone = servers_[server].zone;
  if (outbound_cut_zones_.contains(from_zone) && from_zone != to_zone) {
    return;
  }
  network_->Carry(
      lab::LinkKind::kServers, from_zone, to_zone,
      [this, server, daemon,
       datagram = std::vector<std::uint8_t>(bytes.begin(), bytes.end())] {
        DeliverToServer(server, daemon, datagram);
      });
}

void Deployment::DeliverToServer(std::size_t server,
                                 std::size_t daemon,
                                 std::span<const std::uint8_t> bytes) {
  ServerRecord& record = servers_[server];
  if (!record.up || bytes.size() < adapter::kServerPrefixBytes) {
    return;
  }
  const adapter::ServerPrefix expected_prefix =
      adapter::EncodeServerPrefix(record.number);
  if (!std::equal(expected_prefix.begin(), expected_prefix.end(),
                  bytes.begin())) {
    return;  // For an earlier server with the same address.
  }
  const auto end = adapter::DecodeEndHostPacket(
      bytes.subspan(adapter::kServerPrefixBytes), false);
  if (!end) {
    observer_.OnChangedBytes(fmt::format(
        "server {} received a corrupted packet from b{}", server, daemon));
    return;
  }
  if (end->packet.syn && !record.server->HasFlow(end->packet.flow)) {
    observer_.OnFlowOpen(server, daemon, end->packet.flow);
  }
  record.server->OnPacket(*end);
}

void Deployment::OnServerPacket(std::size_t server, const EndHostPacket& end) {
  network_->Carry(lab::LinkKind::kCallers, servers_[server].zone,
                  servers_[server].zone, [this, end] { DeliverToCaller(end); });
}

void Deployment::OnDaemonPacket(std::span<const std::uint8_t> bytes) {
  const auto end = adapter::DecodeEndHostPacket(bytes, true);
  if (!end || !end->packet.rst) {
    observer_.OnChangedBytes(
        "a caller received a packet from a daemon that is not a reset");
    return;
  }
  observer_.OnDaemonReset(end->packet.flow);
  DeliverToCaller(*end);
}

void Deployment::DeliverToCaller(const EndHostPacket& end) {
  for (CallerRecord& record : callers_) {
    if (record.caller->flow() == end.packet.flow) {
      record.caller->OnPacket(end);
    }
  }
}

void Deployment::RunMaintenance() {
  for (ServerRecord& record : servers_) {
    record.probes->AcceptPending();
  }
  fleet_->StartExited();
  if (now() >= next_usage_) {
    next_usage_ = now() + kUsageInterval;
    fleet_->MeasureUsage(now());
  }
  loop_->After(kMaintenanceInterval, [this] { RunMaintenance(); });
}

}  // namespace gcw::soak
