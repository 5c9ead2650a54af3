#ifndef GCW_DISPATCH_OUTBOX_H_
#define GCW_DISPATCH_OUTBOX_H_

#include <string>
#include <utility>
#include <vector>

#include "gcw/dispatch/dispatcher.h"

namespace gcw::dispatch {

// Collects the actions and counters of the ingress, owner, witness and home of
// one dispatcher. Not thread-safe.
class Outbox {
 public:
  // Each of the next four functions appends one action.
  void ToServer(Endpoint server, Message message) {
    actions_.push_back(SendToServer{server, std::move(message)});
  }

  // Sends to the caller of `routed`, from the address the request was sent to.
  void ToCaller(const RoutedRequest& routed, Message message) {
    actions_.push_back(SendToCaller{routed.caller, routed.service_address,
                                    std::move(message)});
  }

  void ToPeer(std::string member, Channel channel, PeerMessage message) {
    actions_.push_back(
        SendToPeer{std::move(member), channel, std::move(message)});
  }

  void LogDecision(Decision decision) {
    actions_.push_back(std::move(decision));
  }

  // Returns and clears the collected actions, in order.
  std::vector<Action> Take() { return std::exchange(actions_, {}); }

  DispatchCounters& counters() { return counters_; }
  const DispatchCounters& counters() const { return counters_; }

 private:
  std::vector<Action> actions_;
  DispatchCounters counters_;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_OUTBOX_H_
