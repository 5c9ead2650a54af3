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

using adapter::EndPacket;

constexpr std::uint16_t kPort = 30000;
constexpr std::uint32_t kServerNet = 100;
constexpr std::uint32_t kCallerNet = 200;
constexpr std::uint16_t kFirstCallerPort = 1000;
constexpr std::uint16_t kPortsPerCaller = 600;
constexpr absl::Duration kHousekeeping = absl::Milliseconds(50);
constexpr std::uint32_t kServerSlots = 4;
constexpr Endpoint kService{0xc6120001, 8443};
constexpr Endpoint kOptionalService{0xc6120001, 9000};

std::uint64_t HashOf(const direct::FlowKey& flow) {
  return MixHash(MixHash(flow.caller.ip, flow.caller.port),
                 MixHash(flow.service.ip, flow.service.port));
}

}  // namespace

Result<std::unique_ptr<Deployment>> Deployment::Make(
    const SoakOptions& options,
    DeploymentObserver& observer) {
  std::unique_ptr<Deployment> made(new Deployment(options, observer));
  const Status started = made->Start();
  if (!started.ok()) {
    return started.error();
  }
  return made;
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
  MakeLinks();
  for (const auto step : {&Deployment::StartStore, &Deployment::StartServers,
                          &Deployment::StartFleet, &Deployment::MakeCallers}) {
    Status done = (this->*step)();
    if (!done.ok()) {
      return done;
    }
  }
  return OkStatus();
}

void Deployment::StartCallers() {
  for (CallerSite& site : callers_) {
    site.caller->Start();
  }
}

void Deployment::SetOneWay(std::size_t zone, bool cut) {
  if (cut) {
    one_way_.insert(zone);
  } else {
    one_way_.erase(zone);
  }
}

void Deployment::StartAnew(std::size_t server) {
  ServerSite& site = servers_[server];
  site.server->Restart();
  site.up = true;
  site.draining_since = absl::InfiniteFuture();
  site.probes->Set(ProbeTarget::Mode::kAccept);
  List(server);
}

bool Deployment::TakeZoneOut(std::size_t zone) {
  if (zones_out_.size() + 1 >= kZones) {
    return false;  // With all zones out nobody is to serve.
  }
  const auto put =
      store_->Put(adapter::ZoneOutKey(topology_.zones[zone]), "{}", 0);
  if (!put.ok()) {
    return false;  // It is out already.
  }
  zones_out_[zone] = {loop_->now(), put.value()};
  return true;
}

void Deployment::TakeZoneIn(std::size_t zone) {
  (void)store_->Delete(adapter::ZoneOutKey(topology_.zones[zone]),
                       zones_out_[zone].version);
  zones_out_.erase(zone);
}

bool Deployment::IsOptional(const direct::FlowKey& flow) {
  return flow.service == kOptionalService;
}

std::optional<absl::Time> Deployment::OutSince(std::size_t zone) const {
  const auto out = zones_out_.find(zone);
  return out == zones_out_.end() ? std::nullopt
                                 : std::optional(out->second.since);
}

std::uint32_t Deployment::Ip(std::uint32_t net, std::size_t host) const {
  return 127U << 24 | static_cast<std::uint32_t>(claim_->octet()) << 16 |
         net << 8 | static_cast<std::uint32_t>(host + 1);
}

void Deployment::MakeLinks() {
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
  auto made = fake_platform::FakePlatform::Make(options);
  if (!made.ok()) {
    return made.error();
  }
  store_ = std::move(made).value();
  PutRoutes(false);
  return OkStatus();
}

void Deployment::PutRoutes(bool optional) {
  direct::Configuration configuration;
  configuration.version = ++configuration_;
  configuration.routes.push_back({kService, "a", {{"s", 1}}});
  if (optional) {
    configuration.routes.push_back({kOptionalService, "b", {{"s", 1}}});
  }
  configuration.services.push_back({.name = "s"});
  const auto put = store_->Put(adapter::kConfigurationKey,
                               adapter::EncodeConfiguration(configuration),
                               configuration_version_);
  if (put.ok()) {
    configuration_version_ = put.value();
    optional_route_ = optional;
    routes_changed_ = loop_->now();
  }
}

Status Deployment::StartServers() {
  const std::size_t count = kZones * options_.servers_per_zone;
  servers_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    ServerSite& site = servers_[i];
    site.zone = i / options_.servers_per_zone;
    site.number = i + 1;
    site.address = {Ip(kServerNet, i), kPort};
    site.server = std::make_unique<Server>(
        *loop_, [this, i](const EndPacket& end) { FromServer(i, end); },
        [this, i](const std::string& request) { observer_.OnRan(i, request); });
    site.probes = std::make_unique<ProbeTarget>(site.address);
    site.probes->Set(ProbeTarget::Mode::kAccept);
    auto port = lab::UdpPort::Make(
        *loop_, site.address,
        [this, i](std::span<const std::uint8_t> bytes, const Endpoint& from) {
          ToServer(i, bytes, from);
        });
    if (!port.ok()) {
      return port.error();
    }
    site.port = std::move(port).value();
    List(i);
  }
  return OkStatus();
}

std::string Deployment::KeyOf(std::size_t server) const {
  return adapter::ServerKey(servers_[server].number);
}

void Deployment::List(std::size_t server) {
  ServerSite& site = servers_[server];
  direct::BackendServer entry;
  entry.incarnation = static_cast<std::int64_t>(site.incarnation);
  entry.service = "s";
  entry.address = site.address;
  entry.zone = topology_.zones[site.zone];
  entry.slots = kServerSlots;
  entry.draining = site.draining_since != absl::InfiniteFuture();
  const auto put =
      store_->Put(KeyOf(server), adapter::EncodeServer(entry), site.version);
  if (put.ok()) {
    site.version = put.value();
  }
}

void Deployment::Unlist(std::size_t server) {
  ServerSite& site = servers_[server];
  if (store_->Delete(KeyOf(server), site.version).ok()) {
    site.version = 0;
  }
}

Status Deployment::StartFleet() {
  FleetOptions options;
  options.program = options_.program;
  options.work_dir = options_.work_dir;
  options.octet = claim_->octet();
  options.zones = kZones;
  options.daemons_per_zone = options_.daemons_per_zone;
  options.store = store_->endpoint();
  auto fleet = Fleet::Make(*loop_, options);
  if (!fleet.ok()) {
    return fleet.error();
  }
  fleet_ = std::move(fleet).value();
  return OkStatus();
}

Status Deployment::MakeCallers() {
  for (std::size_t z = 0; z < kZones; ++z) {
    auto port =
        lab::UdpPort::Make(*loop_, {Ip(kCallerNet, z), kPort},
                           [this](std::span<const std::uint8_t> bytes,
                                  const Endpoint&) { FromSystem(bytes); });
    if (!port.ok()) {
      return port.error();
    }
    caller_ports_.push_back(std::move(port).value());
    for (std::size_t i = 0; i < options_.callers_per_zone; ++i) {
      AddCaller(z, i);
    }
  }
  return OkStatus();
}

void Deployment::AddCaller(std::size_t zone, std::size_t index) {
  const std::size_t id = callers_.size();
  CallerSite site;
  site.zone = zone;
  // One caller of each zone keeps asking for the route that comes and goes.
  site.optional_route = index == 0;
  const Endpoint address{
      Ip(kCallerNet, zone),
      static_cast<std::uint16_t>(kFirstCallerPort + index * kPortsPerCaller)};
  site.caller = std::make_unique<Caller>(
      *loop_, options_.seed * 1000 + id, address,
      site.optional_route ? kOptionalService : kService, index % 5 == 0,
      [this, id](const EndPacket& end) { FromCaller(id, end); },
      site.optional_route ? static_cast<CallerObserver&>(unjudged_)
                          : observer_);
  callers_.push_back(std::move(site));
}

void Deployment::FromCaller(std::size_t caller, const EndPacket& end) {
  const std::size_t zone = callers_[caller].zone;
  network_->Carry(lab::LinkKind::kCallers, zone, zone, [this, zone, end] {
    const std::size_t daemon = fleet_->Route(zone, HashOf(end.packet.flow));
    caller_ports_[zone]->Send(adapter::EncodeEndPacket(end),
                              fleet_->PacketAddress(daemon));
  });
}

void Deployment::ToServer(std::size_t server,
                          std::span<const std::uint8_t> bytes,
                          const Endpoint& from) {
  const std::size_t daemon = fleet_->FindByIp(from.ip);
  if (daemon == fleet_->size()) {
    return;
  }
  const std::size_t from_zone = fleet_->ZoneOf(daemon);
  const std::size_t to_zone = servers_[server].zone;
  if (one_way_.contains(from_zone) && from_zone != to_zone) {
    return;
  }
  network_->Carry(
      lab::LinkKind::kServers, from_zone, to_zone,
      [this, server, daemon,
       copy = std::vector<std::uint8_t>(bytes.begin(), bytes.end())] {
        Arrive(server, daemon, copy);
      });
}

void Deployment::Arrive(std::size_t server,
                        std::size_t daemon,
                        std::span<const std::uint8_t> bytes) {
  ServerSite& site = servers_[server];
  if (!site.up || bytes.size() < adapter::kServerPrefixBytes) {
    return;
  }
  const adapter::ServerPrefix own = adapter::EncodeServerPrefix(site.number);
  if (!std::equal(own.begin(), own.end(), bytes.begin())) {
    return;  // For another server that had this address.
  }
  const auto end = adapter::DecodeEndPacket(
      bytes.subspan(adapter::kServerPrefixBytes), false);
  if (!end) {
    observer_.OnChangedBytes(
        fmt::format("server {} got changed bytes from b{}", server, daemon));
    return;
  }
  if (end->packet.syn && !site.server->Holds(end->packet.flow)) {
    observer_.OnOpening(server, daemon, end->packet.flow);
  }
  site.server->OnPacket(*end);
}

void Deployment::FromServer(std::size_t server, const EndPacket& end) {
  network_->Carry(lab::LinkKind::kCallers, servers_[server].zone,
                  servers_[server].zone, [this, end] { Deliver(end); });
}

void Deployment::FromSystem(std::span<const std::uint8_t> bytes) {
  const auto end = adapter::DecodeEndPacket(bytes, true);
  if (!end || !end->packet.rst) {
    observer_.OnChangedBytes(
        "a caller got a packet of the system that is no reset");
    return;
  }
  observer_.OnSystemReset(end->packet.flow);
  Deliver(*end);
}

void Deployment::Deliver(const EndPacket& end) {
  for (CallerSite& site : callers_) {
    if (site.caller->flow() == end.packet.flow) {
      site.caller->OnPacket(end);
    }
  }
}

void Deployment::Housekeep() {
  for (ServerSite& site : servers_) {
    site.probes->Serve();
  }
  fleet_->Supervise();
  loop_->After(kHousekeeping, [this] { Housekeep(); });
}

}  // namespace gcw::soak
