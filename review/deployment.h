#ifndef GCW_REVIEW_DEPLOYMENT_H_
#define GCW_REVIEW_DEPLOYMENT_H_

#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "backend.h"
#include "client.h"
#include "loop.h"
#include "platform.h"
#include "store.h"

namespace review {

// The exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Whether the case plays the disruption: not with TROUBLE=0.
inline bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

struct RouteOptions {
  std::string name;
  Address address;
  std::string kind;
  std::string service;
  int timeout_ms = 1200;
  int priority = 2;
};

struct ServiceOptions {
  std::string name;
  double warmup_per_s = 0;
};

// A small installation on loopback addresses: the store, machines in three
// zones, servers, clients and routers.
class Deployment {
 public:
  Deployment(const std::string& record_path, std::string folder)
      : record_(record_path), folder_(std::move(folder)) {}
  ~Deployment() {
    for (const auto& machine : machines_) {
      machine->End();
    }
    clients_.clear();
    backends_.clear();
    store_.Stop();
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Chooses addresses and starts the store. Returns false if there are none.
  bool Setup() {
    std::mt19937 random(static_cast<std::uint32_t>(getpid()) * 2654435761U);
    for (int attempt = 0; attempt < 50; ++attempt) {
      base_ = (127U << 24) | ((16 + random() % 200) << 16) |
              ((random() % 256) << 8);
      const auto first = static_cast<std::uint16_t>(20'000 + random() % 8'000);
      ports_ = {first, static_cast<std::uint16_t>(first + 1),
                static_cast<std::uint16_t>(first + 2),
                static_cast<std::uint16_t>(first + 3),
                static_cast<std::uint16_t>(first + 4)};
      bool free = true;
      for (std::uint32_t host = 1; host <= 12 && free; ++host) {
        for (const std::uint16_t port : ports_) {
          free = free && IsFree({base_ + host, port});
        }
      }
      if (!free) {
        continue;
      }
      const int port = store_.Start(IpText(base_ + 200));
      platform_ = {base_ + 200, static_cast<std::uint16_t>(port)};
      return port > 0;
    }
    return false;
  }

  std::uint16_t packets_port() const { return ports_[0]; }
  std::uint32_t ip(std::uint32_t host) const { return base_ + host; }
  // The address of a route. It stands only inside packets.
  Address RouteAddress(std::uint32_t number) const {
    return {ip(220 + number), 8443};
  }

  // The machines of a small site, in this order: two in the first zone, one in
  // each other, and with `spares` one more in each. `seeds` are hosts of
  // machines, in this order.
  void AddMachines(const std::vector<std::uint32_t>& seeds,
                   const std::string& bounds = "",
                   bool spares = false) {
    std::vector<std::pair<std::string, std::string>> places = {
        {"front-scot-east-a-1", "scot-east-a"},
        {"front-scot-east-a-2", "scot-east-a"},
        {"front-scot-east-b-1", "scot-east-b"},
        {"front-scot-east-c-1", "scot-east-c"}};
    if (spares) {
      places.insert(places.end(), {{"front-scot-east-a-3", "scot-east-a"},
                                   {"front-scot-east-b-2", "scot-east-b"},
                                   {"front-scot-east-c-2", "scot-east-c"}});
    }
    std::uint32_t host = 1;
    for (const auto& [name, zone] : places) {
      MachineOptions o;
      o.name = name;
      o.zone = zone;
      o.ip = ip(host++);
      o.packets_port = ports_[0];
      o.ready_port = ports_[1];
      o.metrics_port = ports_[2];
      o.members_port = ports_[3];
      for (const std::uint32_t seed : seeds) {
        o.seeds.push_back({ip(seed), static_cast<std::uint16_t>(ports_[1])});
      }
      o.platform = platform_;
      o.folder = folder_;
      if (!bounds.empty()) {
        o.bounds = bounds;
      }
      machines_.push_back(std::make_unique<Machine>(loop_, record_, o));
      router_.Add(machines_.back().get());
    }
  }

  void StartMachines() {
    for (const auto& machine : machines_) {
      machine->Start();
    }
  }

  Backend* AddBackend(const std::string& service,
                      const std::string& zone,
                      double work_s = 0.04) {
    const auto index = static_cast<std::uint32_t>(backends_.size());
    BackendOptions o;
    o.number = 0x7f3a0000U + 37 * (index + 1);
    char id[32];
    snprintf(id, sizeof(id), "i-%08llx",
             static_cast<unsigned long long>(o.number));
    o.id = id;
    o.address = {ip(50 + index), ports_[4]};
    o.service = service;
    o.zone = zone;
    o.client_port = packets_port();
    o.work_s = work_s;
    o.loss = loss_;
    backends_.push_back(std::make_unique<Backend>(loop_, store_, record_, o));
    return backends_.back().get();
  }

  Client* AddClient(const std::string& zone) {
    const auto host = 120 + static_cast<std::uint32_t>(clients_.size());
    clients_.push_back(std::make_unique<Client>(
        loop_, record_, router_, zone, Address{ip(host), packets_port()}));
    return clients_.back()->ok() ? clients_.back().get() : nullptr;
  }

  void PutManifest(int version,
                   const std::vector<RouteOptions>& routes,
                   const std::vector<ServiceOptions>& services) {
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const RouteOptions& r : routes) {
      text += (text.back() == '[' ? "" : ",");
      text += "{\"name\":\"" + r.name + "\",\"host\":\"" +
              IpText(r.address.ip) + "\",\"path_prefix\":\"/" +
              std::to_string(r.address.port) + "/\",\"kind\":\"" + r.kind +
              "\",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
              ",\"target_latency_ms\":200,\"priority\":" +
              std::to_string(r.priority) + ",\"service\":\"" + r.service +
              "\",\"attempts\":2}";
    }
    text += "],\"services\":[";
    for (const ServiceOptions& s : services) {
      text += (text.back() == '[' ? "" : ",");
      text += "{\"name\":\"" + s.name +
              "\",\"health_path\":\"/health\",\"max_conns\":2000,"
              "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":8.0,"
              "\"warmup_per_s\":" +
              std::to_string(s.warmup_per_s) + "}";
    }
    text +=
        "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    store_.Put("config", "main", text);
  }

  // Waits up to `seconds` until all machines are in rotation.
  bool WaitUntilReady(double seconds) {
    const double end = Now() + seconds;
    while (Now() < end) {
      loop_.RunUntil(Now() + 0.1);
      bool all = true;
      for (const auto& machine : machines_) {
        all = all && machine->in_rotation();
      }
      if (all) {
        return true;
      }
    }
    return false;
  }

  // The server that holds the flow open, or null.
  const Backend* HolderOf(const Address& client, const Address& route) const {
    for (const auto& backend : backends_) {
      if (backend->alive() && backend->HasOpen(client, route)) {
        return backend.get();
      }
    }
    return nullptr;
  }

  void set_loss(double loss) { loss_ = loss; }
  Loop& loop() { return loop_; }
  Record& record() { return record_; }
  ObjectStore& store() { return store_; }
  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  std::vector<std::unique_ptr<Backend>>& backends() { return backends_; }
  std::vector<std::unique_ptr<Client>>& clients() { return clients_; }

 private:
  Loop loop_;
  Record record_;
  const std::string folder_;
  ObjectStore store_;
  Router router_;
  std::uint32_t base_ = 0;
  std::vector<std::uint16_t> ports_;
  Address platform_;
  double loss_ = 0;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace review

#endif  // GCW_REVIEW_DEPLOYMENT_H_
