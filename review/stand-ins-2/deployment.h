// A small deployment: the stand-ins of world.h, with addresses and ports of
// their own, and the usual start.

#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include "review/stand-ins-2/world.h"

namespace review2 {

// Each case takes the addresses 127.`net`.0.0/16. The arguments of a case are
// the folder for its temporary files and the path of its record.
class Deployment {
 public:
  static constexpr int kRoutePort = 8443;
  // 127.198.18.1. It stands in packets and configurations only; nothing is sent
  // to it.
  static constexpr std::uint32_t kRouteIp =
      127U << 24 | 198U << 16 | 18U << 8 | 1U;

  Deployment(int argc, char** argv, std::uint32_t net)
      : net_(127U << 24 | net << 16),
        port_(FreePort(Ip(1, 1))),
        record(loop, argc == 3 ? argv[2] : ""),
        store(loop),
        fleet(loop,
              store,
              record,
              {.folder = argc == 3 ? argv[1] : ".",
               .datagram_port = Port(0),
               .ready_port = Port(1),
               .control_port = Port(2),
               .metrics_port = Port(3),
               .members_port = Port(4),
               .store_port = Port(6),
               .store_ip = Ip(2, 1)}) {
    signal(SIGPIPE, SIG_IGN);
    record.Write("trouble: %s", WithTrouble() ? "yes" : "no");
  }

  std::uint32_t Ip(std::uint32_t group, std::uint32_t host) const {
    return net_ | group << 8 | host;
  }
  std::uint16_t Port(int offset) const {
    return static_cast<std::uint16_t>(port_ + offset);
  }
  std::uint32_t DaemonIp(std::uint32_t index) const { return Ip(1, index + 1); }

  // Writes a configuration whose routes lead to `service`: the ports of
  // the address kRouteIp.
  void Configure(const std::string& service,
                 double warmup_per_s,
                 int version = 7,
                 const std::vector<int>& ports = {kRoutePort}) {
    store.Put("config", "main",
              Configuration(service, warmup_per_s, version, ports));
  }
  static std::string Configuration(const std::string& service,
                                   double warmup_per_s,
                                   int version,
                                   const std::vector<int>& ports) {
    std::string routes;
    for (const int port : ports) {
      const std::string number = std::to_string(port);
      routes += (routes.empty() ? "" : ",") +
                (R"({"name":"r-)" + number +
                 R"(","host":"127.198.18.1","path_prefix":"/)" + number +
                 R"(/","kind":"idempotent","timeout_ms":1500,)"
                 R"("target_latency_ms":250,"priority":1,"service":")" +
                 service + R"(","attempts":2})");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes + R"(],"services":[{"name":")" + service +
           R"(","health_path":"/health","max_conns":2000,"protocol":"h1",)"
           R"("tls":false,"warmup_s":2.0,"warmup_per_s":)" +
           std::to_string(warmup_per_s) +
           R"(}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  }
  std::unique_ptr<Server> MakeServer(const std::string& id,
                                     const std::string& service,
                                     const std::string& zone,
                                     std::uint32_t host,
                                     double warmup = 0) {
    return std::make_unique<Server>(
        loop, store, record,
        Server::Options{.id = id,
                        .service = service,
                        .zone = zone,
                        .address = {Ip(3, host), Port(7)},
                        .datagram_port = Port(0),
                        .warmup = warmup});
  }
  std::unique_ptr<Callers> MakeCallers(const std::string& zone,
                                       std::uint32_t host,
                                       int route_port = kRoutePort) {
    const Address route{kRouteIp, static_cast<std::uint16_t>(route_port)};
    return std::make_unique<Callers>(loop, record, fleet,
                                     Callers::Options{.zone = zone,
                                                      .ip = Ip(4, host),
                                                      .datagram_port = Port(0),
                                                      .route = route});
  }
  // Runs until the routers use the first `daemons` daemons.
  void AwaitReady(std::size_t daemons) {
    constexpr double kStartTime = 15;
    bool ready = false;
    while (!ready && loop.now() < kStartTime) {
      loop.RunUntil(loop.now() + 0.1);
      ready = true;
      for (std::size_t i = 0; i < daemons; ++i) {
        ready = ready && fleet.ready(i);
      }
    }
    fleet.CheckRunning();
    if (!ready) {
      errno = ETIMEDOUT;
      Fail("the daemons are not ready");
    }
  }
  // Does `action` every `interval` seconds until `end`.
  void Every(double interval, double end, std::function<void()> action) {
    if (loop.now() < end) {
      action();
      loop.After(interval, [this, interval, end, action] {
        Every(interval, end, action);
      });
    }
  }

 private:
  const std::uint32_t net_;
  const std::uint16_t port_;

 public:
  Loop loop;
  Record record;
  Store store;
  Fleet fleet;
};

}  // namespace review2

#endif  // REVIEW_STAND_INS_2_DEPLOYMENT_H_
