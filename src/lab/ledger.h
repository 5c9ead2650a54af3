#ifndef SRC_LAB_LEDGER_H_
#define SRC_LAB_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/lab/scheduler.h"
#include "src/lab/world.h"

namespace gcw::lab {

// How long daemons may still act against an operator's change, for example send
// new flows to a draining server, after the platform accepted it.
inline constexpr absl::Duration kOperatorChangeGrace = absl::Seconds(3);

// A description of one counted fault, for people who look for the cause of the
// fault.
struct Note {
  double at_s = 0;   // Seconds since the start of the scenario.
  std::string kind;  // Name of the Total in the report that counts the fault.
  std::string text;
};

// Counts of flows, as callers saw them.
struct FlowTotals {
  std::uint64_t opened = 0;
  std::uint64_t broken = 0;
  std::uint64_t given_up = 0;
  std::uint64_t not_opened = 0;     // No SYN was answered.
  std::uint64_t refused = 0;        // Reset before established.
  std::uint64_t silent = 0;         // See BackendServer::SilenceFlows().
  std::uint64_t silent_stuck = 0;   // Silent flows not reset in time.
  std::uint64_t second_server = 0;  // Two servers accepted the SYN.
};

// Counts of datagrams that reached a backend server.
struct PacketTotals {
  std::uint64_t at_servers = 0;
  // Flow packets and requests for a service that the server doesn't serve.
  std::uint64_t misdelivered = 0;
  // Datagrams that reached a server whose zone was out for longer than
  // kOperatorChangeGrace.
  std::uint64_t to_out_zone_late = 0;
  std::uint64_t malformed = 0;
};

// Counts of new flows and requests that reached a server.
struct WorkTotals {
  std::uint64_t accepted = 0;
  // New flows and requests for a server that was draining for longer than
  // kOperatorChangeGrace.
  std::uint64_t to_leaving_late = 0;
};

// Counts packets and flows as the emulated servers and callers see them, and
// keeps a Note of each of the first faults of each kind. Not thread-safe.
class Ledger {
 public:
  // `scheduler` and `world` must outlive the ledger.
  Ledger(const Scheduler& scheduler, const World& world);

  // Sets the start of the scenario, from which Note::at_s counts.
  void set_start(absl::Time start) { start_ = start; }

  // A datagram of any kind reached `server`; `daemon` is its sender, or nothing
  // if no daemon has the sender's address.
  void PacketAtServer(ServerIndex server, std::optional<DaemonIndex> daemon);
  // `server` received a packet or request of a service that it doesn't serve.
  void Misdelivered(ServerIndex server, const std::string& what);
  // A server received bytes that are neither a packet nor a message.
  void Malformed(const std::string& what);
  // `server` received a new flow or request from `daemon`. `what` describes the
  // flow or request.
  void NewWork(ServerIndex server,
               std::optional<DaemonIndex> daemon,
               const std::string& what);

  // FlowOpened() to FlowAtSecondServer() each count one flow in the FlowTotals
  // field that the function's name ends with, for example `broken` for
  // FlowBroken(). `why` and `what` become the text of a Note, which describes
  // the counted fault in the report.
  void FlowOpened() { ++flows_.opened; }
  void FlowBroken(const std::string& why);
  void FlowGivenUp() { ++flows_.given_up; }
  void FlowNotOpened() { ++flows_.not_opened; }
  void FlowRefused() { ++flows_.refused; }
  void FlowSilent() { ++flows_.silent; }
  void FlowSilentStuck(const std::string& what);
  void FlowAtSecondServer(const std::string& what);

  // Adds a Note, a description of one counted fault, unless there are 10 notes
  // of this `kind` already.
  void AddNote(const std::string& kind, const std::string& text);

  const FlowTotals& flows() const { return flows_; }
  const PacketTotals& packets() const { return packets_; }
  const WorkTotals& work() const { return work_; }
  const std::vector<Note>& notes() const { return notes_; }

 private:
  // Whether the daemon should have applied by now a change that an operator
  // made at `since`.
  bool IsOverdue(absl::Time since, std::optional<DaemonIndex> daemon) const;
  std::string NameOf(std::optional<DaemonIndex> daemon) const;

  const Scheduler& scheduler_;
  const World& world_;
  absl::Time start_ = absl::UnixEpoch();
  FlowTotals flows_;
  PacketTotals packets_;
  WorkTotals work_;
  std::vector<Note> notes_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_LEDGER_H_
