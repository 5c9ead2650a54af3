#ifndef GCW_DISPATCH_INGRESS_H_
#define GCW_DISPATCH_INGRESS_H_

#include <map>
#include <string>

#include "absl/time/time.h"
#include "src/dispatch/context.h"
#include "src/dispatch/owner.h"

namespace gcw::dispatch {

// The role of the daemon that a caller's datagram reaches: it checks it,
// passes it on to the request's owner, and to the next one if that owner does
// not react. Not thread-safe.
class Ingress {
 public:
  // Both must outlive the ingress. `shares`: whether there are other owners.
  Ingress(Context& context, Owner& owner, bool coordinated);

  void OnRequest(RoutedRequest routed, absl::Time now);
  // A request for a daemon that leaves: to the owner that follows it.
  void Relay(const RoutedRequest& routed, absl::Time now);
  void OnCancel(const std::string& id, absl::Time now);
  // The owner has answered or refused.
  void OnRequestCompleted(const std::string& id) { pending_.erase(id); }
  // `member` has not acknowledged a request for long, or is gone.
  void OnOwnerLost(const std::string& member, absl::Time now);
  void OnTick(absl::Time now);
  bool idle() const { return pending_.empty(); }

 private:
  struct Pending {
    RoutedRequest routed;
    std::string owner;
    absl::Time deadline;
  };

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
