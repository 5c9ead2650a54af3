#ifndef SRC_LAB_REQUEST_LEDGER_H_
#define SRC_LAB_REQUEST_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/lab/ledger.h"
#include "src/lab/world.h"

namespace gcw::lab {

// How a request ended, as its caller saw it.
enum class RequestOutcome {
  kPending,
  kDelivered,   // The complete, correct answer arrived in time.
  kLate,        // The complete, correct answer arrived after the deadline.
  kRefused,     // Every copy was refused as "not run".
  kUnknown,     // Refused as "outcome unknown", or the answer was wrong.
  kUnanswered,  // No final answer until well after the deadline.
  kCancelled,   // Cancelled by the caller.
};

// Counts over all requests. A request counts once, under its first outcome.
struct RequestTotals {
  std::uint64_t sent = 0;
  std::uint64_t delivered = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t unknown_outcome = 0;  // Ended as kUnknown or kUnanswered.
  std::uint64_t run_twice = 0;  // Non-idempotent requests run more than once.
  std::uint64_t false_not_run = 0;  // Refused as "not run" although run.
  std::uint64_t wrong_answer = 0;   // Misdirected or corrupt answers.
  // Requests with an unknown outcome after a drain or a graceful shutdown that
  // no fault explains.
  std::uint64_t cut_by_planned_stop = 0;
  std::uint64_t attempts = 0;  // Attempts that reached a backend server.
  std::uint64_t sheds = 0;     // Attempts that a backend server shed.
};

// The properties of a request that its caller chose.
struct RequestInfo {
  ServiceIndex service = 0;
  double worth = 1;  // The value of an answer to the caller.
  bool idempotent = true;
  // Counts from when the request was first sent.
  absl::Duration deadline = absl::Seconds(1);
};

// Tracks every request across all callers and backend servers, and counts those
// that ran twice, were lost or got a wrong answer. Not thread-safe.
class RequestLedger {
 public:
  // `scheduler`, `world` and `notes` must outlive this ledger. A description of
  // each fault found is added to `notes`.
  RequestLedger(const Scheduler& scheduler, const World& world, Ledger& notes);

  // A caller sent a request, or sent it again, through `daemon`.
  void Sent(const std::string& id,
            const RequestInfo& info,
            std::optional<DaemonIndex> daemon);

  // A server began to process the request, which `daemon` sent.
  void RunBegan(const std::string& id,
                ServerIndex server,
                std::optional<DaemonIndex> daemon);
  // A server died or restarted while it processed the request.
  void RunLost(const std::string& id);
  // An attempt of a request reached a server.
  void AttemptArrived() { ++totals_.attempts; }
  // A server shed (refused because of overload) an attempt of a request.
  void Shed() { ++totals_.sheds; }

  // A caller was told that the request was not run.
  void ToldNotRun(const std::string& id);
  // A caller got a corrupt answer or the answer to another request; `what`
  // describes the answer.
  void WrongAnswer(const std::string& what);
  // A request ended for its caller. Only the first outcome of an id counts.
  // Precondition: `outcome` is not kPending.
  void Ended(const std::string& id, RequestOutcome outcome);

  const RequestTotals& totals() const { return totals_; }

 private:
  struct Run {
    ServerIndex server;
    absl::Time began;
  };
  struct Record {
    RequestInfo info;
    absl::Time sent;
    std::vector<DaemonIndex> daemons;
    std::vector<Run> runs;
    bool told_not_run = false;
    bool counted_false_not_run = false;
    bool counted_run_twice = false;
    bool run_lost = false;
    RequestOutcome outcome = RequestOutcome::kPending;
  };

  Record& FindOrAdd(const std::string& id);
  // Counts a non-idempotent request that ran twice, and a request that ran
  // although its caller was told that it did not; each request at most once.
  void CheckRuns(const std::string& id, Record& record);
  // Adds notes for a request that ended as kUnknown or kUnanswered, and counts
  // it as cut by a planned stop where only such a stop explains the end.
  void RecordUnknownOutcome(const std::string& id, const Record& record);
  // Whether, up to the deadline, a daemon that had the request shut down
  // gracefully or a server that ran the request was drained.
  bool AffectedByPlannedStop(const Record& record) const;
  // Whether a daemon that had the request was killed or paused, or a server
  // died while it ran the request.
  bool AffectedByFault(const Record& record) const;

  const Scheduler& scheduler_;
  const World& world_;
  Ledger& notes_;
  RequestTotals totals_;
  absl::flat_hash_map<std::string, Record> records_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_REQUEST_LEDGER_H_
