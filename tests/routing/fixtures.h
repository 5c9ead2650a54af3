#ifndef GCW_TESTS_ROUTING_FIXTURES_H_
#define GCW_TESTS_ROUTING_FIXTURES_H_

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "gcw/config/snapshot.h"
#include "gcw/routing/routing_policy.h"

namespace gcw::routing::testing {

// IP address of the service "desk".
inline constexpr std::uint32_t kServiceIp = 0x0a640001;

// Returns the time `seconds` after the start of a test.
inline absl::Time TimeAt(double seconds) {
  return absl::FromUnixSeconds(1'700'000'000) + absl::Seconds(seconds);
}

// Builds configurations for tests. A test edits `draft`; each BuildSnapshot
// returns a copy with a new revision.
class ConfigBuilder {
 public:
  config::Snapshot draft;

  config::BackendServer& AddServer(const std::string& name,
                                   const std::string& zone,
                                   std::uint32_t ip) {
    config::BackendServer server;
    server.name = name;
    server.zone = zone;
    server.address = Endpoint{ip, 9000};
    server.created = ++draft.revision;
    server.version = server.created;
    draft.zones.try_emplace(zone, config::AvailabilityZone{zone});
    return draft.servers[name] = server;
  }

  config::Service& AddService(const std::string& name,
                              const Endpoint& address) {
    config::Service service;
    service.name = name;
    service.kind = config::ServiceKind::kFlow;
    service.addresses = {address};
    return draft.services[name] = service;
  }

  config::SnapshotPtr BuildSnapshot() {
    ++draft.revision;
    return std::make_shared<config::Snapshot>(draft);
  }
};

// Returns a configuration of the service "desk" with `servers` servers "s0",
// "s1", ... in the availability zones a, b and c by turns.
inline ConfigBuilder MakeDeskConfig(int servers) {
  ConfigBuilder config;
  config::Service& desk = config.AddService("desk", Endpoint{kServiceIp, 80});
  for (int i = 0; i < servers; ++i) {
    const std::string name = fmt::format("s{}", i);
    const std::string zone(1, static_cast<char>('a' + i % 3));
    config.AddServer(name, zone, 0x0a000100U + static_cast<std::uint32_t>(i));
    desk.servers.push_back({name, 100});
  }
  return config;
}

// Returns a packet from the caller of flow number `flow` to the service "desk":
// the SYN without payload, or a later packet with 100 bytes of payload.
inline FlowPacket MakePacket(std::uint32_t flow, bool syn, bool fin = false) {
  FlowPacket packet;
  packet.source = Endpoint{0xc0a80000U + flow / 60000,
                           static_cast<std::uint16_t>(1024 + flow % 60000)};
  packet.service_address = Endpoint{kServiceIp, 80};
  packet.flags.syn = syn;
  packet.flags.ack = !syn;
  packet.flags.fin = fin;
  packet.payload = syn ? 0 : 100;
  packet.length = packet.payload + 40;
  return packet;
}

}  // namespace gcw::routing::testing

#endif  // GCW_TESTS_ROUTING_FIXTURES_H_
