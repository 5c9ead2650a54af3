#ifndef GCW_TESTS_DIRECT_ROUTER_FIXTURE_H_
#define GCW_TESTS_DIRECT_ROUTER_FIXTURE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gcw/direct/direct_router.h"

namespace gcw::direct {

inline const Endpoint kBoard{0xc6120001, 8443};
inline const Endpoint kPhotos{0xc6120002, 443};

// The router of a daemon in zone "near". Service "board" has servers n1 and n2
// in zone "near", f1 and f2 in zone "far"; service "photos" has p1 in zone
// "near" and p2 in zone "far". Simulates time, the store and probes.
class RouterFixture {
 public:
  RouterFixture() { Restart(); }

  // Replaces the router by a new router, as after a restart of the daemon, and
  // gives the new router all state of the store.
  void Restart() {
    auto made = DirectRouter::Make({.zone = "near", .seed = 5});
    REQUIRE(made.ok());
    router = std::move(made).value();
    router->ApplyConfiguration(configuration, ++revision, now);
    router->ApplyZonesOut(zones_out, ++revision, now);
    SendServerList();
    events.clear();
  }

  static BackendServer Server(std::string name,
                              std::uint64_t number,
                              std::string service,
                              std::string zone) {
    BackendServer server;
    server.name = std::move(name);
    server.number = number;
    server.incarnation = 100;
    server.service = std::move(service);
    server.address = {0x0a000000 + static_cast<std::uint32_t>(number), 8080};
    server.zone = std::move(zone);
    server.slots = 2;
    return server;
  }

  // Gives the router the server list of the store, which holds `servers`.
  void SendServerList() { SendServerList(servers); }
  void SendServerList(const std::vector<BackendServer>& servers) {
    std::vector<ServerReportPtr> reports;
    ++revision;
    for (const BackendServer& server : servers) {
      reports.push_back(std::make_shared<ServerReport>(
          ServerReport{revision, server.name, true, server}));
    }
    router->ApplyServerList(reports, revision, now);
    Collect();
  }

  BackendServer& FindServer(std::string_view name) {
    const auto it =
        std::find_if(servers.begin(), servers.end(),
                     [&](const BackendServer& s) { return s.name == name; });
    REQUIRE(it != servers.end());
    return *it;
  }

  // Removes the server `name` from `servers` and gives the router the new list.
  void RemoveServer(std::string_view name) {
    std::erase_if(servers,
                  [&](const BackendServer& s) { return s.name == name; });
    SendServerList();
  }

  // Advances the time, with a tick every 50 ms. Probes of addresses in `silent`
  // time out, and probes of addresses in `refusing` are refused.
  void AdvanceTime(absl::Duration duration) {
    const absl::Time until = now + duration;
    while (now < until) {
      now += absl::Milliseconds(10);
      FinishProbes();
      if (now >= next_tick) {
        next_tick = now + absl::Milliseconds(50);
        if (store_answers) {
          router->OnFeedConfirmed(Feed::kServers, now);
        }
        router->OnTick(now);
      }
      Collect();
    }
  }

  // Returns the SYN of a flow from the caller's port `port`.
  Packet Syn(std::uint16_t port, const Endpoint& service = kBoard) const {
    Packet packet;
    packet.flow = {{0x64400007, port}, service};
    packet.syn = true;
    packet.sequence = 1000;
    return packet;
  }

  // Returns a data packet of a flow from the caller's port `port`.
  Packet Data(std::uint16_t port,
              FlowCookie cookie,
              std::uint32_t sequence = 1001,
              std::uint32_t acknowledged = 500,
              std::uint32_t payload = 100,
              const Endpoint& service = kBoard) const {
    Packet packet;
    packet.flow = {{0x64400007, port}, service};
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.payload = payload;
    packet.cookie = cookie;
    return packet;
  }

  // Passes a packet to the router and collects the events, probes and resets
  // that the router returns.
  Decision Send(const Packet& packet) {
    const Decision decision = router->OnPacket(packet, now);
    Collect();
    return decision;
  }

  // Opens a flow and returns the cookie of its server.
  FlowCookie Open(std::uint16_t port, const Endpoint& service = kBoard) {
    const Decision decision = Send(Syn(port, service));
    REQUIRE(decision.action == Action::kForward);
    Send(Data(port, decision.cookie, 1001, 500, 0, service));
    return decision.cookie;
  }

  // Opens a flow on the server with this number, which answers it, and returns
  // its cookie; 0 if the server gets none of 40 flows. The ports are those
  // after `port`, and the flow's is `port` afterwards.
  FlowCookie OpenOn(std::uint64_t number, std::uint16_t& port) {
    for (int i = 0; i < 40; ++i) {
      const Decision decision = Send(Syn(++port));
      if (decision.server_number == number) {
        Send(Data(port, decision.cookie));
        return decision.cookie;
      }
    }
    return 0;
  }

  // The name of the listed server with this cookie; empty if there is none.
  std::string NameOf(FlowCookie cookie) const {
    for (const BackendServer& server : servers) {
      if (CookieOf(server) == cookie) {
        return server.name;
      }
    }
    return "";
  }

  // The incarnation that the router takes for the present one of the server
  // `name`; 0 if it knows none.
  std::int64_t IncarnationOf(std::string_view name) const {
    for (const ServerStats& server : router->Stats(now).servers) {
      if (server.name == name && server.state != "restarted" &&
          server.state != "gone") {
        return server.incarnation;
      }
    }
    return 0;
  }

  // Moves the router's probes, events and resets to the members `probes`,
  // `events` and `resets`.
  void Collect() {
    for (const ProbeRequest& probe : router->TakeProbes()) {
      probes.push_back({probe, now});
      ++probes_made;
    }
    for (Event& event : router->TakeEvents()) {
      events.push_back(std::move(event));
    }
    for (const FlowReset& reset : router->TakeResets()) {
      resets.push_back(reset);
    }
  }

  // The collected events of type E.
  template <typename E>
  std::vector<E> EventsOf() const {
    std::vector<E> found;
    for (const Event& event : events) {
      if (const auto* e = std::get_if<E>(&event)) {
        found.push_back(*e);
      }
    }
    return found;
  }

  std::unique_ptr<DirectRouter> router;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  Version revision = 0;
  Configuration configuration{
      .version = 1,
      .routes = {{kBoard, "board", {{"board", 1}}},
                 {kPhotos, "photos", {{"photos", 1}}}},
      .services = {{"board", 2000, 0}, {"photos", 2000, 0}}};
  std::vector<std::string> zones_out;
  std::vector<BackendServer> servers{
      Server("n1", 1, "board", "near"),  Server("n2", 2, "board", "near"),
      Server("f1", 3, "board", "far"),   Server("f2", 4, "board", "far"),
      Server("p1", 5, "photos", "near"), Server("p2", 6, "photos", "far")};
  // Server addresses whose probes time out (`silent`) or are refused
  // (`refusing`).
  std::vector<Endpoint> silent;
  std::vector<Endpoint> refusing;
  bool store_answers = true;  // Whether ticks confirm the server list.
  std::vector<Event> events;
  std::vector<FlowReset> resets;
  int probes_made = 0;

 private:
  struct Attempt {
    ProbeRequest probe;
    absl::Time started;
  };

  static bool Contains(const std::vector<Endpoint>& list,
                       const Endpoint& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
  }

  void FinishProbes() {
    std::vector<Attempt> under_way = std::exchange(probes, {});
    for (const Attempt& attempt : under_way) {
      const bool answers = !Contains(silent, attempt.probe.address);
      if (!answers && now - attempt.started < attempt.probe.timeout) {
        probes.push_back(attempt);
        continue;
      }
      ProbeOutcome outcome = ProbeOutcome::kTimedOut;
      if (answers) {
        outcome = Contains(refusing, attempt.probe.address)
                      ? ProbeOutcome::kRefused
                      : ProbeOutcome::kAccepted;
      }
      router->OnProbe(attempt.probe.id, outcome, now);
    }
    Collect();
  }

  std::vector<Attempt> probes;
  absl::Time next_tick = absl::InfinitePast();
};

}  // namespace gcw::direct

#endif  // GCW_TESTS_DIRECT_ROUTER_FIXTURE_H_
