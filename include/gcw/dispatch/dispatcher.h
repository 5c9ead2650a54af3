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
  kLeaving,  // Finishes what it holds and takes nothing new.
  kSuspect,  // May be dead; still gets what it already owns.
};

// A daemon, itself included, as membership sees it. Dead ones are absent.
struct Member {
  std::string name;
  std::string zone;
  MemberState state = MemberState::kLive;
  // Grows or changes with each start of the daemon.
  std::uint64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

// One datagram from the `dispatch` port to a backend server.
struct SendToServer {
  Endpoint server;
  Message message;  // Request, Cancel or LoadQuery.
};

// One datagram through the fabric, from `service_address` to `caller`.
struct SendToCaller {
  Endpoint caller;
  Endpoint service_address;
  Message message;  // AnswerPart or Refusal.
};

enum class Channel : std::uint8_t {
  kData,     // The `peer` port; loss is tolerated.
  kControl,  // The control budget; loss is tolerated.
};

struct SendToPeer {
  std::string member;
  Channel channel = Channel::kData;
  PeerMessage message;
};

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

std::string_view ToString(DecisionKind kind);

// One decision for the log.
struct Decision {
  DecisionKind kind = DecisionKind::kServerChosen;
  std::string id;  // Of the request; empty for decisions on servers.
  std::string service;
  std::string target;  // Server or daemon chosen or judged.
  ResultCode code = ResultCode::kOk;
  std::string reason;  // A short phrase.
};

using Action = std::variant<SendToServer, SendToCaller, SendToPeer, Decision>;

// Decides about requests on one daemon: admission, queue, attempts, answers.
// Pure: it reads no clock and owns no socket. The owner passes events in, then
// calls TakeActions and carries them out in order. `now` never decreases from
// one call to the next.
// Not thread-safe: all calls come from one task.
class Dispatcher {
 public:
  // Makes the dispatcher of `options.policy`: "home", "random", "least_loaded"
  // or "divided". Fails with kSettingsInvalid and the field's path.
  static Result<std::unique_ptr<Dispatcher>> Make(
      const DispatchOptions& options);

  virtual ~Dispatcher() = default;

  // A newer configuration is in force. Older revisions are ignored.
  virtual void ApplySnapshot(config::SnapshotPtr snapshot, absl::Time now) = 0;

  // All daemons that are not dead, in any order. Without an entry of this
  // daemon itself it is taken as live.
  virtual void ApplyMembers(std::span<const Member> members,
                            absl::Time now) = 0;

  // A request, or a repeat of one, arrived from `caller` at `service_address`.
  virtual void OnRequest(Endpoint caller,
                         Endpoint service_address,
                         Request request,
                         absl::Time now) = 0;

  // The caller gave up on a request.
  virtual void OnCancel(Endpoint caller,
                        Endpoint service_address,
                        const Cancel& cancel,
                        absl::Time now) = 0;

  // AnswerPart, Shed or LoadReport from a backend server's address; other
  // messages are dropped and counted.
  virtual void OnServerMessage(Endpoint server,
                               const Message& message,
                               absl::Time now) = 0;

  // The backend server at `server` no longer knows flows that it held, so it
  // may have restarted and be cold.
  virtual void OnFlowsLost(Endpoint server, absl::Time now) = 0;

  // A message from the dispatcher of another daemon.
  virtual void OnPeerMessage(std::string_view member,
                             const PeerMessage& message,
                             absl::Time now) = 0;

  // Time passes. To be called at NextTick at the latest, at most 1 ms late in
  // the normal case.
  virtual void OnTick(absl::Time now) = 0;

  // When OnTick is due; InfiniteFuture if nothing waits for time to pass.
  virtual absl::Time NextTick() const = 0;

  // Stops taking new requests; those held finish. Idempotent.
  virtual void BeginShutdown(absl::Time now) = 0;

  // Whether BeginShutdown was called and nothing is held any more.
  virtual bool drained() const = 0;

  // All actions since the last call, in order.
  virtual std::vector<Action> TakeActions() = 0;

  // Counters, latencies and servers.
  virtual DispatchStatus status() const = 0;

  // What new flows should know of backend servers that are not at full
  // strength. Servers that are absent may take their full share.
  virtual std::vector<ServerCapacity> reduced_capacities() const = 0;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_DISPATCHER_H_
