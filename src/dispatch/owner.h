#ifndef GCW_DISPATCH_OWNER_H_
#define GCW_DISPATCH_OWNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/dispatch/answer_collector.h"
#include "src/dispatch/context.h"

namespace gcw::dispatch {

// The role of the daemon that is responsible for a request. The owner claims
// the request at the witnesses, assigns it to a home and keeps the result to
// reply to repeats. Only the owner may refuse a request as "not run", which
// guarantees to the caller that the request did not run.
// docs/design/dispatch.md has the proof. Not thread-safe.
class Owner {
 public:
  // `context` must outlive the owner. `claims`: whether requests are claimed at
  // witnesses. Without claims, every request counts as a first arrival and is
  // assigned to this daemon's own home.
  Owner(Context& context, bool claims);

  // Handles a request, or a repeat of one, that the daemon `ingress` received.
  void OnForward(const std::string& ingress,
                 RoutedRequest routed,
                 absl::Time now);
  // The caller cancelled request `id`. Completes the request with a refusal.
  void OnForwardCancel(const std::string& id, absl::Time now);
  // Counts a vote of the witness on daemon `member`.
  void OnClaimReply(const std::string& member,
                    const ClaimReply& reply,
                    absl::Time now);
  // Adds one part of the answer. Parts that do not belong to the current
  // assignment are dropped and counted.
  void OnAssignmentAnswer(const std::string& home,
                          AssignmentAnswer answer,
                          absl::Time now);
  // The current assignment ended without an answer: assigns the request again
  // or refuses it.
  void OnAssignmentOutcome(const std::string& home,
                           const AssignmentOutcome& outcome,
                           absl::Time now);
  // `home` did not acknowledge an assignment within PeerLink's overdue time. An
  // idempotent request is assigned to another home.
  void OnAssignmentOverdue(const std::string& home,
                           const AssignRequest& message,
                           absl::Time now);
  // Asks witnesses that joined for the votes that are still missing. To be
  // called when the context has newer members.
  void Refresh(absl::Time now);
  // `home` is no longer a member, but it may still finish its assignments.
  // Idempotent requests are assigned to other homes.
  void OnHomeGone(const std::string& home, absl::Time now);
  // `home` restarted and lost its assignments. Idempotent requests are assigned
  // to other homes, all others are refused as "outcome unknown".
  void OnHomeRestarted(const std::string& home, absl::Time now);

  // Whether this owner holds a record of request `id`.
  bool HasRecord(const std::string& id) const { return entries_.contains(id); }
  // Acts on timeouts and drops expired records.
  void OnTick(absl::Time now);
  // Whether no request is in progress.
  bool idle() const { return open_ids_.empty(); }

 private:
  enum class Phase {
    kClaiming,        // Waits for votes of the witnesses.
    kWaitingForHome,  // No home can take the request now.
    kAssigned,        // A home queues or runs the request.
    kRefusing,        // To be refused; waits for votes that prove "not run".
    kOwnedElsewhere,  // Claimed by another owner, which is unresponsive.
    kCompleted        // The caller has been answered or refused.
  };

  // The return path of one received copy of the request.
  struct Copy {
    std::string ingress;
    Endpoint caller;
    Endpoint service_address;
  };

  // The state of one request.
  struct Entry {
    Phase phase = Phase::kClaiming;
    RoutedRequest routed;
    std::vector<Copy> copies;
    std::uint64_t fingerprint = 0;
    absl::Time arrived;
    absl::Time deadline;
    absl::Time retry_at;
    // Zones whose witness recorded this owner's claim; granted_zones are the
    // subset whose witness is certain that no other owner had a grant.
    std::set<std::string> recorded_zones;
    std::set<std::string> granted_zones;
    // The other owner that a zone's witness had recorded earlier, by zone.
    std::map<std::string, std::string> other_owners;
    std::set<std::string> asked_zones;
    std::uint32_t assignment_number = 0;
    std::uint32_t attempts = 0;
    std::string home;
    std::string avoid_home;
    std::string avoid_server;
    // The request may have reached a server, and nothing proves "not run".
    bool may_have_run = false;
    ResultCode refusal = ResultCode::kOutcomeUnknown;
    std::string_view reason;
    AnswerCollector collector;
    std::vector<AnswerPart> answer;
    bool answer_dropped = false;  // Evicted from the answer cache.
    std::string transferred_to;   // Owner with the earlier claim, or empty.
    absl::Time completed_at;
  };
  using Entries = absl::flat_hash_map<std::string, Entry>;

  Entry& Add(const std::string& ingress, RoutedRequest routed, absl::Time now);
  void AddCopy(Entry& entry,
               const std::string& ingress,
               const RoutedRequest& routed);
  void OnRepeat(Entry& entry,
                const std::string& ingress,
                RoutedRequest routed,
                absl::Time now);
  // Sends claims to the witnesses of zones that have not been asked yet.
  void AskWitnesses(Entry& entry, absl::Time now);
  void CountVotes(Entry& entry, absl::Time now);
  // Returns the other owner that a majority of zones recorded and that is still
  // a member, or an empty string.
  std::string OtherOwner(const Entry& entry, absl::Time now) const;
  bool MayRun(const Entry& entry, absl::Time now) const;
  bool MayPromiseNotRun(const Entry& entry, absl::Time now) const;
  void Transfer(Entry& entry, const std::string& to, absl::Time now);
  void Assign(Entry& entry, absl::Time now);
  // Refuses the request, or waits for votes that prove "not run" first.
  // `reason` must be a string literal; it is logged.
  void Refuse(Entry& entry,
              ResultCode code,
              std::string_view reason,
              absl::Time now);
  void CompleteWithRefusal(Entry& entry, absl::Time now);
  void CompleteWithAnswer(Entry& entry, absl::Time now);
  void Complete(Entry& entry, absl::Time now);
  void SendRefusal(const Entry& entry, const Copy& copy);
  void SendAnswer(const Entry& entry, const Copy& copy);
  void CheckTimeouts(Entry& entry, absl::Time now);
  void DropOldRecords(absl::Time now);
  void DropOldAnswers();
  Entry* Find(std::string_view id);
  std::vector<std::string> AssignedTo(const std::string& home) const;
  Entry* FindAssigned(std::string_view id,
                      const std::string& home,
                      std::uint32_t assignment_number);

  Context& context_;
  bool claims_;
  Entries entries_;
  std::set<std::string> open_ids_;
  // Ids of completed requests and of those with a cached answer, oldest first.
  std::deque<std::string> completed_order_;
  std::deque<std::string> answer_order_;
  std::uint64_t answer_bytes_ = 0;  // Body bytes of all cached answers.
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_OWNER_H_
