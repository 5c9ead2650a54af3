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

  void OnAssign(const std::string& owner,
                AssignRequest message,
                absl::Time now);
  void OnAssignmentCancel(const std::string& owner,
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
  bool idle() const { return assignments_.empty(); }

  SlotHint Hint(const std::string& service, absl::Time now) const;
  SlotHints AllHints(absl::Time now) const;
  std::vector<ServerStatus> servers(absl::Time now) const;
  std::uint32_t queued(std::string_view service) const;
  const ServiceStatsMap& stats() const { return stats_; }

 private:
  struct Assignment {
    std::string owner;
    std::uint64_t owner_boot_id = 0;
    AssignRequest message;
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

    const std::string& id() const { return message.routed.request.id; }
    const std::string& service() const {
      return message.routed.request.service;
    }
    bool running() const { return !server.empty(); }
  };
  using Handle = std::uint64_t;

  // Why an attempt has to be made again, or the hand-over ends.
  struct EndReason {
    AssignmentOutcomeKind kind;
    ResultCode code;
  };

  void Enqueue(Handle handle, Assignment& assignment, absl::Time now);
  void DispatchQueued(absl::Time now);
  bool DispatchNext(absl::Time now);
  double Priority(const Assignment& assignment, absl::Time now) const;
  void Start(Handle handle, ServerState& server, absl::Time now);
  void RetryOrFinish(Handle handle,
                     const EndReason& final_reason,
                     absl::Time now);
  void EndAttempt(Assignment& assignment,
                  bool slot_is_released,
                  absl::Time now);
  void OnServerRemoved(Handle handle, absl::Time now);
  void OnAnswerComplete(Handle handle, absl::Time now);
  void Finish(Handle handle, const EndReason& reason, absl::Time now);
  void Erase(Handle handle);
  // `sent`: when the attempt was sent that showed the change.
  void HandleServerChange(ServerState& server,
                          ServerState::Change change,
                          absl::Time sent,
                          absl::Time now);
  void RetryEarlierAttempts(const ServerState& server,
                            absl::Time sent,
                            absl::Time now);
  bool IsOwnerGone(const Assignment& assignment) const;
  void EndTimedOutAttempts(absl::Time now);
  void RefuseNearDeadline(absl::Time now);
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
