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

// The role of a home daemon, which manages the slots of some backend servers.
// It queues the requests that owners assign to it, sends them to its servers
// within their slots, collects the answers and reports to the owner how each
// assignment ended. It reports "not run" only if that is certain. Not
// thread-safe.
class Home {
 public:
  // `context` and `policy` must outlive the home.
  Home(Context& context, const SlotPolicy& policy);

  // To be called when the context has a newer configuration or newer members.
  // Ends attempts on servers that were taken out and returns queued requests
  // that no server of this daemon can run any more.
  void Refresh(absl::Time now);

  // `owner` assigns a request. A copy of an assignment that is in progress is
  // ignored.
  void OnAssign(const std::string& owner,
                AssignRequest message,
                absl::Time now);
  // `owner` cancels an assignment. Ignored if the assignment has ended.
  void OnAssignmentCancel(const std::string& owner,
                          const AssignmentCancel& cancel,
                          absl::Time now);

  // Messages from backend servers. Those that match no running attempt are
  // dropped and counted.
  void OnAnswer(AnswerPart part, absl::Time now);
  void OnShed(const Shed& shed, absl::Time now);
  void OnLoadReport(const LoadReport& report, absl::Time now);
  // Another daemon reports the state of a server.
  void OnServerHint(const ServerHint& hint, absl::Time now);
  // The server at this address no longer knows its flows and may have
  // restarted.
  void OnFlowsLost(Endpoint server, absl::Time now);

  // Acts on timeouts and dispatches queued requests.
  void OnTick(absl::Time now);
  // Returns queued requests to their owners. Running attempts finish.
  void BeginShutdown(absl::Time now);
  // Whether no assignment is in progress.
  bool idle() const { return assignments_.empty(); }

  // Free slots and queue length of one service, and of all services.
  SlotHint Hint(const std::string& service, absl::Time now) const;
  SlotHints AllHints(absl::Time now) const;
  // The state of the servers that this daemon manages.
  std::vector<ServerStatus> servers(absl::Time now) const;
  // Number of queued requests of `service`.
  std::uint32_t queued(std::string_view service) const;
  const ServiceStatsMap& stats() const { return stats_; }

 private:
  // A request that an owner assigned to this daemon and that has not ended.
  struct Assignment {
    std::string owner;
    std::uint64_t owner_boot_id = 0;
    AssignRequest message;
    absl::Time received;
    absl::Time deadline;
    // The current attempt. `server` is empty while the request is queued.
    std::string server;
    std::string attempt_id;
    absl::Time sent;
    absl::Time last_part;
    AnswerCollector answer;
    // An earlier attempt ended without proof of "not run".
    bool may_have_run = false;

    const std::string& id() const { return message.routed.request.id; }
    const std::string& service() const {
      return message.routed.request.service;
    }
    bool running() const { return !server.empty(); }
  };
  using Handle = std::uint64_t;

  // How an attempt or an assignment ended.
  struct EndReason {
    AssignmentOutcomeKind kind;
    ResultCode code;
  };

  void Enqueue(Handle handle, Assignment& assignment, absl::Time now);
  // Starts queued requests while servers have free slots.
  void DispatchQueued(absl::Time now);
  // Starts the queued request with the highest priority on a server with a free
  // slot. Returns whether there was one.
  bool DispatchNext(absl::Time now);
  double Priority(const Assignment& assignment, absl::Time now) const;
  void Start(Handle handle, ServerState& server, absl::Time now);
  // Queues the request for another attempt, or finishes the assignment with
  // `final_reason` if no further attempt is allowed.
  void RetryOrFinish(Handle handle,
                     const EndReason& final_reason,
                     absl::Time now);
  // Ends the current attempt. Unless its slot is released already, cancels the
  // attempt on the server and releases the slot a little later.
  void EndAttempt(Assignment& assignment,
                  bool slot_is_released,
                  absl::Time now);
  void OnServerRemoved(Handle handle, absl::Time now);
  void OnAnswerComplete(Handle handle, absl::Time now);
  // Reports the outcome to the owner and erases the assignment.
  void Finish(Handle handle, const EndReason& reason, absl::Time now);
  void Erase(Handle handle);
  // Logs a change of a server and acts on it. `sent` is the time at which the
  // attempt that revealed the change was sent.
  void HandleServerChange(ServerState& server,
                          ServerState::Change change,
                          absl::Time sent,
                          absl::Time now);
  // Retries idempotent attempts on a restarted server that were sent before
  // `sent`.
  void RetryEarlierAttempts(const ServerState& server,
                            absl::Time sent,
                            absl::Time now);
  bool IsOwnerGone(const Assignment& assignment) const;
  void EndTimedOutAttempts(absl::Time now);
  // Refuses queued requests that are too close to their deadline to finish.
  void RefuseNearDeadline(absl::Time now);
  // Returns a queued request to its owner if another home has a free slot.
  void ReturnForFreeHome(absl::Time now);
  Assignment* FindAttempt(const std::string& attempt_id, Handle* handle);
  static std::string KeyOf(std::string_view owner,
                           std::string_view id,
                           std::uint32_t assignment_number);

  Context& context_;
  const SlotPolicy& policy_;
  ServerPool pool_;
  RetryBudget budget_;
  OrganisationShares organisation_shares_;
  ServiceStatsMap stats_;
  std::map<std::string, RequestQueue, std::less<>> queues_;
  Handle next_handle_ = 1;
  std::map<Handle, Assignment> assignments_;
  absl::flat_hash_map<std::string, Handle> handle_by_key_;
  absl::flat_hash_map<std::string, Handle> handle_by_attempt_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_HOME_H_
