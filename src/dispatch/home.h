#ifndef GCW_DISPATCH_HOME_H_
#define GCW_DISPATCH_HOME_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/dispatch/answer_collector.h"
#include "src/dispatch/context.h"
#include "src/dispatch/request_queue.h"
#include "src/dispatch/retry_budget.h"
#include "src/dispatch/server_pool.h"
#include "src/dispatch/service_stats.h"
#include "src/dispatch/slot_policy.h"

namespace gcw::dispatch {

// The role of a home daemon: it queues requests that owners hand to it, sends
// them to its backend servers within their slots, collects the answers and
// tells the owner truly how each hand-over ended. Not thread-safe.
class Home {
 public:
  // Both must outlive the home.
  Home(Context& context, const SlotPolicy& policy);

  // The context has newer configuration or members.
  void Refresh(absl::Time now);

  void OnHand(const std::string& owner, AssignRequest hand, absl::Time now);
  void OnHandCancel(const std::string& owner,
                    const AssignmentCancel& cancel,
                    absl::Time now);

  void OnAnswer(AnswerPart part, absl::Time now);
  void OnShed(const Shed& shed, absl::Time now);
  void OnLoadReport(const LoadReport& report, absl::Time now);
  // Another daemon says what it knows of a server.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  void OnFlowsLost(Endpoint server, absl::Time now);

  void OnTick(absl::Time now);
  // Returns what waits to its owners; what runs finishes.
  void BeginShutdown(absl::Time now);
  bool idle() const { return held_.empty(); }

  SlotHint Hint(const std::string& service, absl::Time now) const;
  SlotHints AllHints(absl::Time now) const;
  std::vector<ServerStatus> servers(absl::Time now) const;
  std::uint32_t queued(std::string_view service) const;
  const ServiceStatsMap& stats() const { return stats_; }

 private:
  struct Held {
    std::string owner;
    std::uint64_t owner_boot = 0;
    AssignRequest hand;
    absl::Time received;
    absl::Time deadline;
    // Of the present attempt; an empty server: it waits in the queue.
    std::string server;
    std::string attempt_id;
    absl::Time sent;
    absl::Time last_part;
    AnswerCollector answer;
    // An earlier attempt ended without proof of "not run".
    bool may_have_run = false;

    const std::string& id() const { return hand.routed.request.id; }
    const std::string& service() const { return hand.routed.request.service; }
    bool running() const { return !server.empty(); }
  };
  using Handle = std::uint64_t;

  // Why an attempt has to be made again, or the hand-over ends.
  struct Ending {
    AssignmentOutcomeKind kind;
    ResultCode code;
  };

  void Enqueue(Handle handle, Held& held, absl::Time now);
  void Pump(absl::Time now);
  bool PumpOne(absl::Time now);
  double Priority(const Held& held, absl::Time now) const;
  void Start(Handle handle, ServerState& server, absl::Time now);
  void TryAgain(Handle handle, const Ending& otherwise, absl::Time now);
  void LeaveServer(Held& held, bool slot_is_free, absl::Time now);
  void OnLost(Handle handle, absl::Time now);
  void OnWhole(Handle handle, absl::Time now);
  void Finish(Handle handle, const Ending& ending, absl::Time now);
  void Erase(Handle handle);
  // `sent`: when the attempt was sent that showed the change.
  void Judge(ServerState& server,
             ServerState::Change change,
             absl::Time sent,
             absl::Time now);
  void LoseEarlier(const ServerState& server, absl::Time sent, absl::Time now);
  bool IsOwnerGone(const Held& held) const;
  void EndOverdue(absl::Time now);
  void EndHopeless(absl::Time now);
  void ReturnMisplaced(absl::Time now);
  Held* FindAttempt(const std::string& attempt_id, Handle* handle);
  static std::string KeyOf(std::string_view owner,
                           std::string_view id,
                           std::uint32_t assignment_number);

  Context& context_;
  const SlotPolicy& policy_;
  ServerPool pool_;
  RetryBudget budget_;
  OrganisationShares shares_;
  ServiceStatsMap stats_;
  std::map<std::string, RequestQueue, std::less<>> queues_;
  Handle next_handle_ = 1;
  std::map<Handle, Held> held_;
  absl::flat_hash_map<std::string, Handle> by_key_;
  absl::flat_hash_map<std::string, Handle> by_attempt_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_HOME_H_
