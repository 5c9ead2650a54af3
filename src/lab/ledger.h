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

// How long after an operator's wish was accepted it may still be disregarded.
inline constexpr absl::Duration kOperatorChangeGrace = absl::Seconds(3);

// One thing that went wrong, for people who look for its cause.
struct Note {
  double at_s = 0;  // Since the start of the scenario.
  std::string kind;
  std::string text;
};

struct FlowTotals {
  std::uint64_t opened = 0;
  std::uint64_t broken = 0;
  std::uint64_t given_up = 0;
  std::uint64_t not_opened = 0;     // No answer to any first packet.
  std::uint64_t refused = 0;        // Reset before it was established.
  std::uint64_t silent = 0;         // Forgotten by the network's state.
  std::uint64_t silent_stuck = 0;   // Of these, not reset in time.
  std::uint64_t second_server = 0;  // First packets taken by two servers.
};

struct PacketTotals {
  std::uint64_t at_servers = 0;
  std::uint64_t misdelivered = 0;
  std::uint64_t to_out_zone_late = 0;
  std::uint64_t malformed = 0;
};

struct WorkTotals {
  std::uint64_t accepted = 0;
  std::uint64_t to_leaving_late = 0;
};

// Counts what the fakes saw of packets and flows, and keeps notes of faults.
// Not thread-safe.
class Ledger {
 public:
  // Both must outlive the ledger. Times of notes count from `start`.
  Ledger(const Scheduler& scheduler, const World& world);

  void set_start(absl::Time start) { start_ = start; }

  // A datagram of any kind from a daemon reached a server.
  void PacketAtServer(ServerIndex server, std::optional<DaemonIndex> daemon);
  void Misdelivered(ServerIndex server, const std::string& what);
  void Malformed(const std::string& what);
  // A new flow or request, that `daemon` sent, was taken by a server.
  void NewWork(ServerIndex server,
               std::optional<DaemonIndex> daemon,
               const std::string& what);

  void FlowOpened() { ++flows_.opened; }
  void FlowBroken(const std::string& why);
  void FlowGivenUp() { ++flows_.given_up; }
  void FlowNotOpened() { ++flows_.not_opened; }
  void FlowRefused() { ++flows_.refused; }
  void FlowSilent() { ++flows_.silent; }
  void FlowSilentStuck(const std::string& what);
  void FlowAtSecondServer(const std::string& what);

  // Keeps the first notes of each kind.
  void AddNote(const std::string& kind, const std::string& text);

  const FlowTotals& flows() const { return flows_; }
  const PacketTotals& packets() const { return packets_; }
  const WorkTotals& work() const { return work_; }
  const std::vector<Note>& notes() const { return notes_; }

 private:
  // Whether an operator's wish of time `since` binds the daemon by now.
  bool Binds(absl::Time since, std::optional<DaemonIndex> daemon) const;
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
