#ifndef TESTS_LAB_FIXTURE_H_
#define TESTS_LAB_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/lab/backend_server.h"
#include "src/lab/fabric.h"
#include "src/lab/flow_callers.h"
#include "src/lab/inner_packet.h"
#include "src/lab/ledger.h"
#include "src/lab/load_meter.h"
#include "src/lab/messages.h"
#include "src/lab/network.h"
#include "src/lab/request_callers.h"
#include "src/lab/request_ledger.h"
#include "src/lab/scheduler.h"
#include "src/lab/topology.h"
#include "src/lab/world.h"

namespace gcw::lab {

// A scheduler on a manual clock, which only Advance() moves.
class ManualScheduler : public Scheduler {
 public:
  absl::Time now() const override { return now_; }
  void At(absl::Time when, std::function<void()> action) override {
    actions_.emplace(std::max(when, now_), std::move(action));
  }

  // Moves the clock by `span` and runs the actions that become due, each at its
  // own time.
  void Advance(absl::Duration span) {
    const absl::Time end = now_ + span;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto node = actions_.extract(actions_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1000);
  std::multimap<absl::Time, std::function<void()>> actions_;
};

// The emulated servers, callers, network and fabric, without sockets and
// daemons. A test sends the packets of the daemons itself, or sets `route`,
// which makes the fixture forward between callers and servers like daemons.
class Fixture {
 public:
  // Returns the server to which `daemon` forwards a caller's packet.
  using Route =
      std::function<ServerIndex(const InnerPacket& packet, DaemonIndex daemon)>;

  explicit Fixture(const LoadSettings& load = {})
      : topology(MakeTopology("valtellina", 99, 4)),
        world(topology),
        ledger(scheduler, world),
        requests(scheduler, world, ledger),
        meter(world),
        network(scheduler, world, 1),
        fabric(world,
               network,
               1,
               [this](DaemonIndex daemon, const Bytes& packet) {
                 FromFabric(daemon, packet);
               }),
        flows(scheduler,
              world,
              ledger,
              load,
              1,
              [this](ZoneIndex zone, Bytes packet) {
                fabric.Spray(zone, std::move(packet));
              }),
        callers(scheduler,
                world,
                requests,
                meter,
                load,
                1,
                [this](ZoneIndex zone,
                       Bytes packet,
                       std::optional<DaemonIndex> avoid) {
                  return fabric.Spray(zone, std::move(packet), avoid);
                }) {
    ledger.set_start(scheduler.now());
    for (ServerIndex i = 0; i < topology.servers.size(); ++i) {
      servers.push_back(std::make_unique<BackendServer>(
          BackendServer::Context{&scheduler, &world, &ledger, &requests,
                                 &meter},
          i, i + 1, [this, i](Bytes payload, const Endpoint& to) {
            FromServer(i, std::move(payload), to);
          }));
    }
    for (DaemonIndex i = 0; i < topology.daemons.size(); ++i) {
      if (!topology.daemons[i].spare) {
        world.daemon(i).state = DaemonState::kLive;
        fabric.SetSprayed(i, true);
      }
    }
  }

  Endpoint DaemonAddress(DaemonIndex daemon) const {
    return {topology.daemons[daemon].bind, 7001};
  }

  // Sends a packet of a caller's flow to the server, by way of `daemon`.
  void SendFlow(ServerIndex server,
                int flags,
                ServiceIndex service = 0,
                std::uint16_t caller_port = 5000,
                DaemonIndex daemon = 0) {
    InnerPacket packet;
    packet.source = {Fabric::CallerNetwork(0) + 7, caller_port};
    packet.destination = topology.services[service].address;
    packet.flags = static_cast<std::uint8_t>(flags);
    servers[server]->OnDatagram(EncodePacket(packet), DaemonAddress(daemon),
                                daemon);
  }

  // Sends an attempt of a request to the server, by way of `daemon`.
  void SendRequest(ServerIndex server,
                   const std::string& id,
                   const std::string& attempt_id,
                   ServiceIndex service = 0,
                   std::int64_t deadline_ms = 1000,
                   DaemonIndex daemon = 0) {
    RequestMessage message;
    message.id = id;
    message.service = topology.services[service].name;
    message.deadline_ms = deadline_ms;
    message.attempt = 1;
    message.attempt_id = attempt_id;
    servers[server]->OnDatagram(Encode(message), DaemonAddress(daemon), daemon);
  }

  // The messages of type T among the datagrams that servers sent so far.
  template <typename T>
  std::vector<T> Sent() const {
    std::vector<T> messages;
    for (const Bytes& bytes : sent) {
      const auto message = Decode(bytes);
      if (message && std::holds_alternative<T>(*message)) {
        messages.push_back(std::get<T>(*message));
      }
    }
    return messages;
  }

  // The flow packets among the datagrams that servers sent so far. Payloads
  // point into `sent`.
  std::vector<InnerPacket> SentPackets() const {
    std::vector<InnerPacket> packets;
    for (const Bytes& bytes : sent) {
      if (const auto packet = DecodePacket(bytes)) {
        packets.push_back(*packet);
      }
    }
    return packets;
  }

  // Delivers a message from the service's address to the caller at `caller`.
  void ToCaller(const Endpoint& caller,
                const Message& message,
                ServiceIndex service = 0) {
    const Bytes payload = Encode(message);
    InnerPacket packet;
    packet.is_tcp = false;
    packet.source = topology.services[service].address;
    packet.destination = caller;
    packet.payload = payload;
    callers.OnPacket(packet);
  }

  ManualScheduler scheduler;
  Topology topology;
  World world;
  Ledger ledger;
  RequestLedger requests;
  LoadMeter meter;
  Network network;
  Fabric fabric;
  FlowCallers flows;
  RequestCallers callers;
  std::vector<std::unique_ptr<BackendServer>> servers;
  Route route;
  std::vector<Bytes> sent;          // Datagrams that servers sent.
  std::vector<Bytes> from_callers;  // Packets that reached a daemon.

 private:
  // Acts as the daemon that received a caller's packet.
  void FromFabric(DaemonIndex daemon, const Bytes& bytes) {
    from_callers.push_back(bytes);
    const auto packet = DecodePacket(bytes);
    if (!route || !packet) {
      return;
    }
    const ServerIndex server = route(*packet, daemon);
    if (packet->is_tcp) {
      servers[server]->OnDatagram(bytes, DaemonAddress(daemon), daemon);
      return;
    }
    const auto message = Decode(packet->payload);
    if (const auto* request = std::get_if<RequestMessage>(&*message)) {
      RequestMessage forwarded = *request;
      forwarded.attempt = 1;
      forwarded.attempt_id = forwarded.id + "/1";
      callers_by_id_[forwarded.id] = packet->source;
      servers[server]->OnDatagram(Encode(forwarded), DaemonAddress(daemon),
                                  daemon);
    }
  }

  // Acts as the daemon that received a datagram of a server.
  void FromServer(ServerIndex, Bytes payload, const Endpoint& to) {
    sent.push_back(payload);
    const DaemonIndex daemon = topology.FindDaemonByBind(to.ip);
    if (!route) {
      return;
    }
    const auto to_caller = [this](const InnerPacket& packet) {
      if (packet.is_tcp) {
        flows.OnPacket(packet);
      } else {
        callers.OnPacket(packet);
      }
    };
    if (DecodePacket(payload)) {
      fabric.SendReply(daemon, payload, to_caller);
      return;
    }
    const auto message = Decode(payload);
    if (const auto* answer = std::get_if<AnswerMessage>(&*message)) {
      SendToCaller(daemon, answer->id, answer->service, *answer, to_caller);
    } else if (const auto* shed = std::get_if<ShedMessage>(&*message)) {
      SendToCaller(daemon, shed->id, topology.services[0].name,
                   RefusalMessage{shed->id, 403, true}, to_caller);
    }
  }

  // Sends a message to the caller that sent the request `id`.
  void SendToCaller(DaemonIndex daemon,
                    const std::string& id,
                    const std::string& service,
                    const Message& message,
                    const Fabric::ToCaller& to_caller) {
    const Bytes payload = Encode(message);
    InnerPacket packet;
    packet.is_tcp = false;
    packet.source = topology.services[topology.FindService(service)].address;
    packet.destination = callers_by_id_[id];
    packet.payload = payload;
    fabric.SendReply(daemon, EncodePacket(packet), to_caller);
  }

  std::map<std::string, Endpoint> callers_by_id_;
};

}  // namespace gcw::lab

#endif  // TESTS_LAB_FIXTURE_H_
