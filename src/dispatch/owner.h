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

// The role of the daemon that decides about a request: it claims the request
// at the witnesses, hands it to homes, keeps what became of it for repeats,
// and is the only one that says "not run". docs/design/dispatch.md has the
// proof. Not thread-safe.
class Owner {
 public:
  // `context` must outlive the owner. `claims`: whether requests are claimed;
  // without, this daemon takes each request for a first arrival.
  Owner(Context& context, bool claims);

  // A request, or a repeat, that arrived at `ingress`.
  void OnForward(const std::string& ingress,
                 RoutedRequest routed,
                 absl::Time now);
  void OnForwardCancel(const std::string& id, absl::Time now);
  void OnClaimReply(const std::string& member,
                    const ClaimReply& reply,
                    absl::Time now);
  void OnAssignmentAnswer(const std::string& home,
                          AssignmentAnswer answer,
                          absl::Time now);
  void OnAssignmentOutcome(const std::string& home,
                           const AssignmentOutcome& outcome,
                           absl::Time now);
  // `home` has not acknowledged a hand-over for long.
  void OnAssignmentOverdue(const std::string& home,
                           const AssignRequest& message,
                           absl::Time now);
  // The context has newer members or zones.
  void Refresh(absl::Time now);
  // `home` is not a member any more; it may still finish what it holds.
  void OnHomeGone(const std::string& home, absl::Time now);
  // `home` was started anew, and forgot what it was handed.
  void OnHomeRestarted(const std::string& home, absl::Time now);

  // Whether it holds a record of the request.
  bool HasRecord(const std::string& id) const { return entries_.contains(id); }
  void OnTick(absl::Time now);
  bool idle() const { return open_ids_.empty(); }

 private:
  // kElsewhere: another owner was first and does not react.
  enum class Phase {
    kClaiming,
    kWaitingForHome,
    kAssigned,
    kRefusing,
    kOwnedElsewhere,
    kCompleted
  };

  // Where an answer is to go, once for each copy of the request.
  struct Copy {
    std::string ingress;
    Endpoint caller;
    Endpoint service_address;
  };

  struct Entry {
    Phase phase = Phase::kClaiming;
    RoutedRequest routed;
    std::vector<Copy> copies;
    std::uint64_t fingerprint = 0;
    absl::Time arrived;
    absl::Time deadline;
    absl::Time retry_at;
    // Zones whose witness recorded the claim, and of them those that are
    // certain that no other owner had a grant.
    std::set<std::string> recorded_zones;
    std::set<std::string> granted_zones;
    // Zones whose witness recorded another owner, and which.
    std::map<std::string, std::string> other_owners;
    std::set<std::string> asked_zones;
    std::uint32_t assignment_number = 0;
    std::uint32_t attempts = 0;
    std::string home;
    std::string avoid_home;
    std::string avoid_server;
    // Some hand-over may have reached a server without proof of "not run".
    bool may_have_run = false;
    ResultCode refusal = ResultCode::kOutcomeUnknown;
    std::string_view reason;
    AnswerCollector collector;
    std::vector<AnswerPart> answer;
    bool answer_dropped = false;  // To save memory.
    std::string transferred_to;   // Another owner was first.
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
  // Asks the witnesses of zones that were not asked yet.
  void AskWitnesses(Entry& entry, absl::Time now);
  void CountVotes(Entry& entry, absl::Time now);
  // The other owner that a majority of zones recorded; empty if none.
  std::string OtherOwner(const Entry& entry, absl::Time now) const;
  bool MayRun(const Entry& entry, absl::Time now) const;
  bool MayPromiseNotRun(const Entry& entry, absl::Time now) const;
  void Transfer(Entry& entry, const std::string& to, absl::Time now);
  void Assign(Entry& entry, absl::Time now);
  // `why`: a literal for the log.
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
  std::deque<std::string> completed_order_;  // Settled, oldest first.
  std::deque<std::string> answer_order_;     // Of them, those with an answer.
  std::uint64_t answer_bytes_ = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_OWNER_H_
