#ifndef GCW_DISPATCH_ROLE_DISPATCHER_H_
#define GCW_DISPATCH_ROLE_DISPATCHER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gcw/dispatch/dispatcher.h"
#include "src/dispatch/context.h"
#include "src/dispatch/home.h"
#include "src/dispatch/ingress.h"
#include "src/dispatch/owner.h"
#include "src/dispatch/slot_policy.h"
#include "src/dispatch/witness.h"

namespace gcw::dispatch {

// The dispatcher of one daemon. A daemon has four roles, each with its own
// class: ingress, owner, witness and home. RoleDispatcher passes events to the
// roles and delivers the messages that roles of this daemon send to each other.
// Not thread-safe.
class RoleDispatcher : public Dispatcher {
 public:
  RoleDispatcher(const DispatchOptions& options,
                 std::unique_ptr<SlotPolicy> policy);

  void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) override;
  void ApplyMembers(std::span<const Member> members, absl::Time now) override;
  void OnRequest(Endpoint caller,
                 Endpoint service_address,
                 Request request,
                 absl::Time now) override;
  void OnCancel(Endpoint caller,
                Endpoint service_address,
                const Cancel& cancel,
                absl::Time now) override;
  void OnServerMessage(Endpoint server,
                       const Message& message,
                       absl::Time now) override;
  void OnFlowsLost(Endpoint server, absl::Time now) override;
  void OnPeerMessage(std::string_view member,
                     const PeerMessage& message,
                     absl::Time now) override;
  void OnTick(absl::Time now) override;
  absl::Time NextTick() const override;
  void BeginShutdown(absl::Time now) override;
  bool drained() const override;
  std::vector<Action> TakeActions() override;
  DispatchStatus status() const override;
  std::vector<ServerCapacity> reduced_capacities() const override;

 private:
  // To be called first on each event. Advances now_ and detects a long pause of
  // this daemon.
  void BeginEvent(absl::Time now);
  // To be called last on each event. Delivers the messages that the ingress,
  // owner, witness and home of this daemon send to each other until none is
  // left.
  void DeliverLocalMessages(absl::Time now);
  // Passes a message from the daemon `member` to the part of this daemon that
  // processes messages of its type: the ingress, owner, witness or home.
  void Handle(const std::string& member, PeerBody body, absl::Time now);
  void OnForward(const std::string& member,
                 RoutedRequest routed,
                 absl::Time now);
  void OnHints(const std::string& member,
               const SlotHints& hints,
               absl::Time now);
  // The receiver of `overdue` did not acknowledge the message in time: marks
  // the receiver as unresponsive, and lets the ingress, owner or home of this
  // daemon that sent the message react.
  void OnOverdue(const PeerLink::Overdue& overdue, absl::Time now);
  void SendHints(absl::Time now);
  // The interval between hints that keeps their rate within the limit.
  absl::Duration HintInterval() const;

  Context context_;
  std::unique_ptr<SlotPolicy> policy_;
  Home home_;
  Owner owner_;
  Witness witness_;
  Ingress ingress_;
  // The last hints of another home about its servers.
  struct RemoteServerHints {
    std::vector<ServerHint> servers;
    absl::Time received;
  };
  std::map<std::string, RemoteServerHints> remote_server_hints_;
  std::size_t hint_bytes_ = 0;  // Size of the last encoded hints.
  absl::Time now_ = absl::InfinitePast();
  absl::Time last_hints_ = absl::InfinitePast();
  absl::Time shutdown_began_ = absl::InfiniteFuture();
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_ROLE_DISPATCHER_H_
