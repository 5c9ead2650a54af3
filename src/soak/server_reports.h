#ifndef GCW_SOAK_SERVER_REPORTS_H_
#define GCW_SOAK_SERVER_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gcw/direct/resources.h"
#include "src/fake_platform/fake_platform.h"
#include "src/lab/scheduler.h"
#include "src/lab/topology.h"
#include "src/lab/udp_port.h"
#include "src/soak/server.h"

namespace gcw::soak {

// How often a server reports to the store.
inline constexpr absl::Duration kReportInterval = absl::Milliseconds(1200);

// State of one simulated backend server and its entry in the store.
struct ServerRecord {
  std::size_t zone = 0;
  std::uint64_t number = 0;  // Its id in the store; changes after a drain.
  std::uint64_t incarnation = 1;
  Endpoint address;
  std::unique_ptr<Server> server;
  std::unique_ptr<ProbeTarget> probes;
  std::unique_ptr<lab::UdpPort> port;
  bool up = true;  // While false, the server drops all packets.
  absl::Time draining_since = absl::InfiniteFuture();
  // Until when the server bears only few flows a second.
  absl::Time cold_until = absl::InfinitePast();
  config::Version version = 0;  // Of the store entry; 0 if there is none.
  std::uint64_t reports = 0;    // Reports of this incarnation so far.
  // The server's reports do not reach the store, so it has no entry.
  bool unreported = false;

  // Whether the server is up, has a store entry and is not draining.
  bool in_service() const {
    return up && version != 0 && draining_since == absl::InfiniteFuture();
  }
};

// A report of a server, as it is written to the store.
struct ServerEntryText {
  std::string key;
  std::string value;
};

// Writes the entries of the simulated backend servers in the store, as the
// servers report themselves. Servers are named by their index. Not thread-safe.
class ServerReports {
 public:
  // The arguments must outlive this object.
  ServerReports(lab::Scheduler& scheduler,
                fake_platform::FakePlatform& store,
                const lab::Topology& topology,
                std::vector<ServerRecord>& servers)
      : scheduler_(scheduler),
        store_(store),
        topology_(topology),
        servers_(servers) {}

  // Writes the server's present state to its entry.
  void Put(std::size_t server);
  // Removes the server's entry.
  void Delete(std::size_t server);
  // The report that the server would make now. The next one has a higher
  // number.
  ServerEntryText Make(std::size_t server);
  // Lets the store execute `report` of the server late, if it still has the
  // entry. The server reports again after kReportInterval.
  void ExecuteLate(std::size_t server, const ServerEntryText& report);
  // Makes a server that is up cold for `cold_for` from now on. It reports that
  // at once, and then regularly until it is warm.
  void BecomeCold(std::size_t server, absl::Duration cold_for);

  // Reads the versions of all entries from the store, which was restored.
  void ReadVersions();
  // Writes again what the store has lost of the servers' entries in a restore,
  // and removes entries of servers that have left. Leaves out unreported
  // servers.
  void WriteAllAgain();
  // Removes the entry of a server that goes on serving.
  void Lose(std::size_t server);
  // Lets the reports of a server reach the store again.
  void ReportAgain(std::size_t server);

 private:
  // The key of the server's entry.
  std::string KeyOf(std::size_t server) const;
  // The entry that the server would report now.
  direct::BackendServer EntryOf(std::size_t server) const;
  // Whether the store's entry of the server says what the server would report.
  bool IsCurrent(std::size_t server) const;
  // Reports again after kReportInterval, until the server has reported that it
  // is warm, unless it has started anew.
  void ReportUntilWarm(std::size_t server);

  lab::Scheduler& scheduler_;
  fake_platform::FakePlatform& store_;
  const lab::Topology& topology_;
  std::vector<ServerRecord>& servers_;
};

}  // namespace gcw::soak

#endif  // GCW_SOAK_SERVER_REPORTS_H_
