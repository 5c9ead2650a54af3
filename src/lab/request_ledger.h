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
  kDelivered,   // The whole right answer, in time.
  kLate,        // The whole right answer, after the deadline.
  kRefused,     // Refused as "not run".
  kUnknown,     // Refused as "outcome unknown" or with a cut answer.
  kUnanswered,  // No word until well after the deadline.
  kCancelled,   // The caller gave it up.
};

struct RequestTotals {
  std::uint64_t sent = 0;
  std::uint64_t delivered = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t unknown_outcome = 0;  // Unknown, cut and unanswered.
  std::uint64_t run_twice = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t wrong_answer = 0;
  std::uint64_t cut_by_planned_stop = 0;
  std::uint64_t attempts = 0;  // Requests that reached a server.
  std::uint64_t sheds = 0;
};

struct RequestInfo {
  ServiceIndex service = 0;
  double worth = 1;
  bool idempotent = true;
  absl::Duration deadline = absl::Seconds(1);
};

// Follows every request over all callers and servers. Not thread-safe.
class RequestLedger {
 public:
  // All must outlive this ledger; `notes` gets the faults.
  RequestLedger(const Scheduler& scheduler, const World& world, Ledger& notes);

  // A caller sent a request, or a repeat of it, through `daemon`.
  void Sent(const std::string& id,
            const RequestInfo& info,
            std::optional<DaemonIndex> daemon);

  // A server began, shed or lost (by its own death) a run.
  void RunBegan(const std::string& id,
                ServerIndex server,
                std::optional<DaemonIndex> daemon);
  void RunLost(const std::string& id);
  void AttemptArrived() { ++totals_.attempts; }
  void Shed() { ++totals_.sheds; }

  // A caller was told that the request was not run.
  void ToldNotRun(const std::string& id);
  // A caller got an answer that is not its own request's.
  void WrongAnswer(const std::string& what);
  // Precondition: not kPending. Only the first outcome of an id counts.
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
    bool counted_false = false;
    bool counted_twice = false;
    bool hit_by_fault = false;
    RequestOutcome outcome = RequestOutcome::kPending;
  };

  Record& FindOrAdd(const std::string& id);
  void Judge(const std::string& id, Record& record);
  // A request ended without a word on its outcome.
  void NoteLost(const std::string& id, const Record& record);
  bool TouchedByPlannedStop(const Record& record) const;
  bool TouchedByFault(const Record& record) const;

  const Scheduler& scheduler_;
  const World& world_;
  Ledger& notes_;
  RequestTotals totals_;
  absl::flat_hash_map<std::string, Record> records_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_REQUEST_LEDGER_H_
