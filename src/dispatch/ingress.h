#ifndef GCW_DISPATCH_INGRESS_H_
#define GCW_DISPATCH_INGRESS_H_

#include <map>
#include <string>

#include "absl/time/time.h"
#include "src/dispatch/context.h"
#include "src/dispatch/owner.h"

namespace gcw::dispatch {

// The role of the daemon that a caller's datagram reaches. The ingress checks
// that the request is addressed to its service and forwards it to the owner, or
// to the next owner if that one does not react. Not thread-safe.
class Ingress {
 public:
  // `context` and `owner` must outlive the ingress. `coordinated`: whether
  // other daemons may own requests; otherwise this daemon owns all that it
  // receives.
  Ingress(Context& context, Owner& owner, bool coordinated);

  // A caller's request, or a repeat of one, arrived.
  void OnRequest(RoutedRequest routed, absl::Time now);
  // This daemon is shutting down, but another ingress forwarded a request to it
  // as the owner. Passes the request on to its next owner.
  void Relay(const RoutedRequest& routed, absl::Time now);
  // The caller cancelled request `id`.
  void OnCancel(const std::string& id, absl::Time now);
  // The owner has answered or refused request `id`.
  void OnRequestCompleted(const std::string& id) { pending_.erase(id); }
  // `member` restarted, is gone or did not acknowledge a request in time. Its
  // pending requests go to their next owner.
  void OnOwnerLost(const std::string& member, absl::Time now);
  // Drops requests whose deadline has passed.
  void OnTick(absl::Time now);
  // Whether no forwarded request is pending.
  bool idle() const { return pending_.empty(); }

 private:
  // A request that another daemon owns and has not completed.
  struct Pending {
    RoutedRequest routed;
    std::string owner;
    absl::Time deadline;
  };

  // Whether the request matches a service address and its organisation. If not,
  // refuses the request.
  bool IsAccepted(const RoutedRequest& routed);
  void Forward(const RoutedRequest& routed,
               const std::string& to,
               absl::Time now);

  Context& context_;
  Owner& owner_;
  bool coordinated_;
  std::map<std::string, Pending> pending_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_INGRESS_H_
