// Case: servers restart under their ids, and a daemon is restarted as planned
// before it sees another packet of the flows that opened meanwhile.
//
// Usage: restarted_server RECORD. TROUBLE=0 leaves out both restarts,
// TROUBLE=servers or TROUBLE=daemon leaves out the other one.

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/stand-ins-3/consumer.h"
#include "review/stand-ins-3/daemon.h"
#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/record.h"
#include "review/stand-ins-3/server.h"
#include "review/stand-ins-3/site.h"
#include "review/stand-ins-3/store.h"

namespace review3 {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// The bounds of the small sites.
constexpr double kStabilityWindow = 4.0;
constexpr double kIdleTimeout = 15.0;
constexpr double kMaxFlow = 60.0;

constexpr double kTrafficAt = 4.0;
constexpr double kServersRestartAt = 10.0;
constexpr double kDaemonStopAt = 12.0;
constexpr double kLastFlowAt = 20.0;
constexpr double kEnd = 38.0;
constexpr double kFlowsPerSecond = 60;
// How long a server's process is away, and how far apart the servers restart.
constexpr double kAway = 0.1;
constexpr double kApart = 0.06;
constexpr double kWarmup = 2.0;
constexpr double kBudget = 3.0;

// A flow that opened at a boot of a server.
struct OpenFlow {
  Server* server = nullptr;
  int boot = 0;
  double at = 0;
};

class Case {
 public:
  Case(const std::string& record_path, const std::string& trouble)
      : record_(loop_, record_path),
        restart_servers_(trouble != "0" && trouble != "daemon"),
        restart_daemon_(trouble != "0" && trouble != "servers"),
        router_(loop_, record_, site_.Ip(9)),
        store_(loop_, {site_.Ip(8), site_.ports().packets}) {}

  int Run() {
    if (!record_.open() || !store_.open() || folder_.path().empty() ||
        !SetUp()) {
      std::printf("the case could not be set up\n");
      return kNotRun;
    }
    loop_.RunUntil(kTrafficAt);
    for (const auto& daemon : daemons_) {
      if (!router_.InRotation(*daemon)) {
        record_.Say(daemon->name() + " did not get ready");
        return kNotRun;
      }
    }
    for (double at = kTrafficAt; at < kLastFlowAt; at += 1 / kFlowsPerSecond) {
      loop_.At(at, [this] { OpenNextFlow(); });
    }
    if (restart_servers_) {
      // All but the last server of the zone.
      for (std::size_t i = 0; i + 1 < kServersOfZone; ++i) {
        const double at = kServersRestartAt + kApart * static_cast<double>(i);
        loop_.At(at, [this, i] { servers_[i]->Crash(); });
        loop_.At(at + kAway, [this, i] { servers_[i]->Start(kWarmup); });
      }
    }
    if (restart_daemon_) {
      loop_.At(kDaemonStopAt, [this] {
        daemons_[0]->Stop(
            [this] { loop_.After(0.3, [this] { daemons_[0]->Start(); }); });
      });
    }
    loop_.At(kTrafficAt, [this] { CheckDaemons(); });
    loop_.RunUntil(kEnd);
    return Judge();
  }

 private:
  static constexpr std::size_t kServersOfZone = 4;

  bool SetUp() {
    const std::vector<std::string> zones = {"za", "zb", "zc"};
    const Address route{site_.Ip(250), 8443};
    route_ = route;
    store_.Put("config", "main",
               {{"version", 1},
                {"routes",
                 {{{"name", "r-1"},
                   {"host", IpText(route.ip)},
                   {"path_prefix", "/" + std::to_string(route.port) + "/"},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 3000},
                   {"target_latency_ms", 250},
                   {"priority", 1},
                   {"service", "dispatch"},
                   {"attempts", 2}}}},
                {"services",
                 {{{"name", "dispatch"},
                   {"health_path", "/health"},
                   {"max_conns", 2000},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"warmup_s", kWarmup},
                   {"warmup_per_s", 0.0}}}},
                {"limits", {{"idle_timeout_ms", 15000}}}});
    // Four servers in the zone of the consumers, and one in each other zone.
    for (std::uint32_t i = 0; i < kServersOfZone + 2; ++i) {
      const std::string zone =
          i < kServersOfZone ? zones[0] : zones[i - kServersOfZone + 1];
      servers_.push_back(std::make_unique<Server>(
          loop_, record_, store_, 0xa1000 + i * 0x35, "dispatch",
          Address{site_.Ip(50 + i), 8080}, zone, site_.ports().packets,
          [this](const FlowKey& flow, Server& server) {
            open_flows_[flow] = {&server, server.boot(), loop_.now()};
          }));
      if (!servers_.back()->Start(0)) {
        return false;
      }
    }
    for (std::uint32_t i = 0; i < zones.size(); ++i) {
      daemons_.push_back(std::make_unique<Daemon>(
          loop_, record_, folder_.path(), "front-" + zones[i] + "-1", zones[i],
          site_.Ip(1 + i), site_.ports(),
          Address{site_.Ip(8), site_.ports().packets}));
    }
    std::vector<Address> seeds;
    for (const auto& daemon : daemons_) {
      seeds.push_back(daemon->control());
    }
    for (const auto& daemon : daemons_) {
      daemon->WriteSettings(seeds);
      daemon->Start();
      router_.Add(*daemon);
    }
    for (std::uint32_t i = 0; i < 4; ++i) {
      consumers_.push_back(std::make_unique<Consumer>(
          loop_, record_, router_, zones[0],
          Address{site_.Ip(100 + i), site_.ports().packets}, kBudget, results_,
          [this](const Consumer::Reset& reset) { OnReset(reset); }));
      if (!consumers_.back()->open()) {
        return false;
      }
    }
    return true;
  }

  // Each flow carries two requests, with a pause of 7 to 13 s between them.
  void OpenNextFlow() {
    const double pause = std::uniform_real_distribution(7.0, 13.0)(random_);
    consumers_[flows_++ % consumers_.size()]->OpenFlow(route_, {pause});
  }

  void CheckDaemons() {
    for (const auto& daemon : daemons_) {
      daemon->CheckAlive();
    }
    loop_.After(0.1, [this] { CheckDaemons(); });
  }

  // FLOW (a), with its excuses. The links and the store are never harmed. A
  // reset counts even under planned work; here it counts only from a daemon
  // that is in touch.
  void OnReset(const Consumer::Reset& reset) {
    const auto it = open_flows_.find(reset.flow);
    if (it == open_flows_.end()) {
      record_.Say(reset.request + ": reset before the flow was open");
      return;
    }
    const OpenFlow& flow = it->second;
    const Server& server = *flow.server;
    std::string excuse;
    if (!server.running() || server.boot() != flow.boot) {
      excuse = "the server has ended";
    } else if (loop_.now() - server.disturbed_at() < kStabilityWindow) {
      excuse = "the server started within the stability window";
    } else if (loop_.now() - flow.at > kMaxFlow || reset.idle > kIdleTimeout) {
      excuse = "the flow is too old or was idle for too long";
    } else if (!InTouch(reset.daemon)) {
      excuse = "the daemon is not in touch";
    }
    char text[300];
    std::snprintf(text, sizeof(text),
                  "%s: open flow reset by daemon at %s; opened %.2f s ago at "
                  "boot %d of %s, which runs since %.2f s; idle %.2f s: %s",
                  reset.request.c_str(), Text(reset.daemon).c_str(),
                  loop_.now() - flow.at, flow.boot, server.id().c_str(),
                  loop_.now() - server.disturbed_at(), reset.idle,
                  excuse.empty() ? "FLOW is broken" : excuse.c_str());
    if (!excuse.empty()) {
      record_.Line(text);
      return;
    }
    record_.Say(text);
    ++broken_;
  }

  bool InTouch(const Address& address) const {
    for (const auto& daemon : daemons_) {
      if (daemon->packets() == address) {
        return daemon->Calm(kStabilityWindow);
      }
    }
    return false;
  }

  int Judge() {
    record_.Say(
        "requests sent " + std::to_string(results_.sent) + ", answered " +
        std::to_string(results_.answered) + ", timed out " +
        std::to_string(results_.timed_out) + "; flows " +
        std::to_string(flows_) + ", never opened " +
        std::to_string(results_.never_opened) + ", reset by their server " +
        std::to_string(results_.reset_by_server) + ", reset by the system " +
        std::to_string(results_.reset_by_system) + ", against FLOW " +
        std::to_string(broken_));
    for (const auto& daemon : daemons_) {
      if (daemon->crashed()) {
        return kNotRun;
      }
    }
    if (results_.answered < results_.sent / 2) {
      return kNotRun;
    }
    return broken_ > 0 ? kBroken : kHeld;
  }

  Loop loop_;
  Record record_;
  const bool restart_servers_;
  const bool restart_daemon_;
  Site site_;
  TemporaryFolder folder_;
  Router router_;
  Store store_;
  Address route_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::unique_ptr<Consumer>> consumers_;
  Results results_;
  std::map<FlowKey, OpenFlow> open_flows_;
  std::minstd_rand random_{7};
  std::size_t flows_ = 0;
  int broken_ = 0;
};

}  // namespace
}  // namespace review3

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  review3::Case run(argv[1], trouble == nullptr ? "1" : trouble);
  return run.Run();
}
