#ifndef REVIEW_STAND_INS_3_WORLD_H_
#define REVIEW_STAND_INS_3_WORLD_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "review/stand-ins-3/consumer.h"
#include "review/stand-ins-3/daemon.h"
#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/record.h"
#include "review/stand-ins-3/server.h"
#include "review/stand-ins-3/site.h"
#include "review/stand-ins-3/store.h"

namespace review3 {

// How a case ends.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// The servers of one zone, and the new flows a second of its consumers.
struct ZonePlan {
  std::string name;
  std::uint32_t servers = 0;
  double flows_per_second = 0;
};

// A small deployment: a store, one service with one route, a daemon, servers
// and consumers in each zone, and the platform's routers.
class World {
 public:
  static constexpr double kWarmup = 2.0;
  static constexpr double kBudget = 3.0;

  World(const std::string& record_path, std::vector<ZonePlan> zones)
      : record(loop, record_path),
        router(loop, record, site.Ip(9)),
        store(loop, StoreAddress()),
        zones_(std::move(zones)) {}

  // Starts all, with the first daemon of each zone, and waits until the daemons
  // are ready. Returns whether they are.
  bool SetUp(double ready_by) {
    if (!record.open() || !store.open() || folder.path().empty()) {
      return false;
    }
    PutConfiguration(1, 1);
    std::uint32_t count = 0;
    for (const ZonePlan& zone : zones_) {
      for (std::uint32_t i = 0; i < zone.servers; ++i, ++count) {
        Server& server = AddServer(zone.name);
        // The beats of the servers are spread over their interval.
        loop.At(0.23 * count,
                [this, &server] { failed_ = failed_ || !server.Start(0); });
      }
    }
    for (std::uint32_t i = 0; i < zones_.size(); ++i) {
      AddDaemon(zones_[i].name, 1 + i);
      consumers.push_back(std::make_unique<Consumer>(
          loop, record, router, zones_[i].name,
          Address{site.Ip(100 + i), site.ports().packets}, kBudget, results,
          [](const Consumer::Reset&) {}));
      failed_ = failed_ || !consumers.back()->open();
    }
    for (const auto& daemon : daemons) {
      seeds.push_back(daemon->control());
    }
    for (const auto& daemon : daemons) {
      StartDaemon(*daemon);
    }
    loop.RunUntil(ready_by);
    for (const auto& daemon : daemons) {
      if (!router.InRotation(*daemon)) {
        record.Say(daemon->name() + " did not get ready");
        return false;
      }
    }
    CheckDaemons();
    return !failed_;
  }

  // A server with an id and an address of its own, which is not started.
  Server& AddServer(const std::string& zone,
                    const std::string& service = "dispatch") {
    const auto count = static_cast<std::uint32_t>(servers.size());
    servers.push_back(std::make_unique<Server>(
        loop, record, store, 0xa1000 + count * 0x35, service,
        Address{site.Ip(50 + count), 8080}, zone, site.ports().packets,
        [](const FlowKey&, Server&) {}));
    return *servers.back();
  }
  // A machine at the host number `host`, which is not started.
  Daemon& AddDaemon(const std::string& zone, std::uint32_t host) {
    daemons.push_back(std::make_unique<Daemon>(
        loop, record, folder.path(),
        "front-" + zone + "-" + std::to_string(host), zone, site.Ip(host),
        site.ports(), StoreAddress()));
    return *daemons.back();
  }
  void StartDaemon(Daemon& daemon) {
    daemon.WriteSettings(seeds);
    daemon.Start();
    router.Add(daemon);
  }

  // Opens flows from `begin` to `end`, in each zone as many as its plan has.
  // Each flow carries one request.
  void PlanFlows(double begin, double end) {
    for (std::size_t i = 0; i < zones_.size(); ++i) {
      PlanFlows(begin, end, i, zones_[i].flows_per_second, 0);
    }
  }
  // The same for the zone with the number `zone` and one route.
  void PlanFlows(double begin,
                 double end,
                 std::size_t zone,
                 double flows_per_second,
                 std::uint32_t route) {
    if (flows_per_second <= 0) {
      return;
    }
    std::exponential_distribution<double> pause(flows_per_second);
    for (double at = begin; at < end; at += pause(random)) {
      loop.At(at, [this, zone, route] {
        consumers[zone]->OpenFlow(Route(route), {});
      });
    }
  }

  // The route with the number `index`, from 0 on.
  Address Route(std::uint32_t index = 0) const {
    return {site.Ip(250), static_cast<std::uint16_t>(8443 + index)};
  }

  // The operator writes a manifest with the first `routes` routes. If
  // `with_archive`, the last one leads to the service "archive", all others to
  // "dispatch".
  void PutConfiguration(int version,
                        std::uint32_t routes,
                        bool with_archive = false) {
    Store::Json list = Store::Json::array();
    for (std::uint32_t i = 0; i < routes; ++i) {
      list.push_back(
          {{"name", "r-" + std::to_string(i)},
           {"host", IpText(Route(i).ip)},
           {"path_prefix", "/" + std::to_string(Route(i).port) + "/"},
           {"kind", "non_idempotent"},
           {"timeout_ms", 3000},
           {"target_latency_ms", 250},
           {"priority", 1},
           {"service",
            with_archive && i + 1 == routes ? "archive" : "dispatch"},
           {"attempts", 2}});
    }
    Store::Json services = Store::Json::array();
    for (const char* name : {"dispatch", "archive"}) {
      services.push_back({{"name", name},
                          {"health_path", "/health"},
                          {"max_conns", 2000},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"warmup_s", kWarmup},
                          {"warmup_per_s", 0.0}});
    }
    store.Put("config", "main",
              {{"version", version},
               {"routes", list},
               {"services", services},
               {"limits", {{"idle_timeout_ms", 15000}}}});
  }

  // FAILBACK: more than `warmup_per_s` x `warmup_overage` + `warmup_slack`
  // requests in one second, that is 0 x 1.5 + 5. A request of a flow is judged
  // by its first packet. Says how many each server of `zone` got and returns
  // how many servers got too many.
  int CountFlooded(const std::string& zone,
                   const std::string& service = "dispatch") {
    int flooded = 0;
    for (const auto& server : servers) {
      if (server->zone() == zone && server->service() == service &&
          server->running()) {
        const std::size_t most = server->MostOpenings();
        record.Say("server " + server->id() + " got while cold at most " +
                   std::to_string(most) + " requests in one second");
        flooded += most > 5 ? 1 : 0;
      }
    }
    return flooded;
  }

  // The end of a case in which `broken` servers or flows show the rule broken.
  int Judge(int broken) {
    record.Say(
        "requests sent " + std::to_string(results.sent) + ", answered " +
        std::to_string(results.answered) + ", timed out " +
        std::to_string(results.timed_out) + ", flows never opened " +
        std::to_string(results.never_opened) + ", reset by their server " +
        std::to_string(results.reset_by_server) + ", reset by the system " +
        std::to_string(results.reset_by_system) + "; rule broken " +
        std::to_string(broken) + " times");
    for (const auto& daemon : daemons) {
      if (daemon->crashed()) {
        return kNotRun;
      }
    }
    return 2 * results.answered < results.sent ? kNotRun
                                               : (broken > 0 ? kBroken : kHeld);
  }

  Loop loop;
  Record record;
  Site site;
  TemporaryFolder folder;
  Router router;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Consumer>> consumers;
  std::vector<Address> seeds;
  Results results;
  std::minstd_rand random{11};

 private:
  Address StoreAddress() const { return {site.Ip(8), site.ports().packets}; }

  void CheckDaemons() {
    for (const auto& daemon : daemons) {
      daemon->CheckAlive();
    }
    loop.After(0.1, [this] { CheckDaemons(); });
  }

  const std::vector<ZonePlan> zones_;
  bool failed_ = false;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_WORLD_H_
