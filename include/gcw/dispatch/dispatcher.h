#ifndef GCW_DISPATCH_DISPATCHER_H_
#define GCW_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/config/snapshot.h"
#include "gcw/dispatch/messages.h"
#include "gcw/dispatch/options.h"
#include "gcw/dispatch/peer_messages.h"
#include "gcw/dispatch/status.h"

namespace gcw::dispatch {

enum class MemberState : std::uint8_t {
  kLive,
  kLeaving,  // Shutting down: finishes its requests and takes no new ones.
  kSuspect,  // May be dead, but keeps its work until it is declared dead.
};

// A daemon as the membership protocol sees it. Dead daemons are absent.
struct Member {
  std::string name;
  std::string zone;
  MemberState state = MemberState::kLive;
  // Different for each start of the daemon.
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

// Action: send one datagram from the `dispatch` port to a backend server.
struct SendToServer {
  Endpoint server;
  Message message;  // Request, Cancel or LoadQuery.
};

// Action: send one datagram through the fabric, from `service_address` to
// `caller`.
struct SendToCaller {
  Endpoint caller;
  Endpoint service_address;
  Message message;  // AnswerPart or Refusal.
};

enum class Channel : std::uint8_t {
  kData,     // Datagram to the `peer` port. May be lost.
  kControl,  // Message that counts against the control budget. May be lost.
};

// Action: send one message to the dispatcher of the daemon `member`.
struct SendToPeer {
  std::string member;
  Channel channel = Channel::kData;
  PeerMessage message;
};

// The kind of a decision in the log.
enum class DecisionKind : std::uint8_t {
  kServerChosen,
  kHomeChosen,
  kQueued,
  kRetried,
  kRefused,
  kAnswered,
  kAnswerDropped,
  kCancelled,
  kServerCold,
  kServerWarm,
  kServerEjected,
  kServerReadmitted,
};

// Returns the words that the log shows for `kind`. Thread-safe.
std::string_view ToString(DecisionKind kind);

// Action: log one decision.
struct Decision {
  DecisionKind kind = DecisionKind::kServerChosen;
  std::string id;  // Request id; empty if the decision concerns a server.
  std::string service;
  std::string target;  // The server or daemon that the decision concerns.
  ResultCode code = ResultCode::kOk;
  std::string reason;  // A short phrase for operators.
};

// What the user of a dispatcher has to carry out.
using Action = std::variant<SendToServer, SendToCaller, SendToPeer, Decision>;

// Dispatches requests on one daemon: admission, queueing, attempts and answers.
// It reads no clock and owns no socket. After each event that its user passes
// in, the user calls TakeActions and carries out the actions in order. `now`
// must not decrease from one call to the next. Not thread-safe: all calls come
// from one task.
class Dispatcher {
 public:
  // Makes a dispatcher with the slot policy `options.policy`: "home", "random",
  // "least_loaded" or "divided". The policy decides which backend servers this
  // daemon sends requests to and how many of their slots it may use; a slot
  // lets a server process one request at a time. Fails with kSettingsInvalid
  // and the path of the invalid field.
  static Result<std::unique_ptr<Dispatcher>> Make(
      const DispatchOptions& options);

  virtual ~Dispatcher() = default;

  // Applies a new configuration. Revisions older than the current one are
  // ignored.
  virtual void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) = 0;

  // Applies the list of all daemons that are not dead, in any order. If this
  // daemon is not in the list, it counts as live.
  virtual void ApplyMembers(std::span<const Member> members,
                            absl::Time now) = 0;

  // `caller` sent a request, or a repeat of one, to `service_address`.
  virtual void OnRequest(Endpoint caller,
                         Endpoint service_address,
                         Request request,
                         absl::Time now) = 0;

  // The caller cancelled a request.
  virtual void OnCancel(Endpoint caller,
                        Endpoint service_address,
                        const Cancel& cancel,
                        absl::Time now) = 0;

  // The backend server at address `server` sent an AnswerPart, Shed or
  // LoadReport. Other messages are dropped and counted.
  virtual void OnServerMessage(Endpoint server,
                               const Message& message,
                               absl::Time now) = 0;

  // The backend server at address `server` no longer knows its established
  // flows, so it may have restarted and count as cold.
  virtual void OnFlowsLost(Endpoint server, absl::Time now) = 0;

  // The dispatcher of the daemon `member` sent a message.
  virtual void OnPeerMessage(std::string_view member,
                             const PeerMessage& message,
                             absl::Time now) = 0;

  // Acts on timeouts. Must be called by NextTick, normally at most 1 ms late.
  virtual void OnTick(absl::Time now) = 0;

  // When OnTick is due; InfiniteFuture if no timeout is pending.
  virtual absl::Time NextTick() const = 0;

  // Starts draining: requests in progress finish, new ones go to other daemons.
  // Idempotent.
  virtual void BeginShutdown(absl::Time now) = 0;

  // Whether BeginShutdown was called and no request is in progress any more.
  virtual bool drained() const = 0;

  // Returns all actions since the last call, in order.
  virtual std::vector<Action> TakeActions() = 0;

  // Counters, latencies and the state of the servers that this daemon manages.
  virtual DispatchStatus status() const = 0;

  // The backend servers that can take less than their normal load, for the
  // routing of new flows. All other servers can take their normal load.
  virtual std::vector<ServerCapacity> reduced_capacities() const = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_DISPATCHER_H_
