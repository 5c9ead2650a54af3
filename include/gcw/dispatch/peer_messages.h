#ifndef GCW_DISPATCH_PEER_MESSAGES_H_
#define GCW_DISPATCH_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gcw/dispatch/messages.h"

namespace gcw::dispatch {

// The messages between the dispatchers of two daemons. docs/design/dispatch.md
// says which role sends which.

// A request with the addresses of the caller and of the service.
struct RoutedRequest {
  Request request;
  Endpoint caller;
  Endpoint service_address;

  bool operator==(const RoutedRequest&) const = default;
};

// Ingress to owner: a caller sent a request, or a repeat of one.
struct ForwardRequest {
  RoutedRequest routed;

  bool operator==(const ForwardRequest&) const = default;
};

// Ingress to owner: the caller cancelled the request.
struct ForwardCancel {
  std::string id;

  bool operator==(const ForwardCancel&) const = default;
};

// Owner to ingress: the caller has been answered or refused, so the ingress
// need not forward the request to another owner.
struct RequestCompleted {
  std::string id;

  bool operator==(const RequestCompleted&) const = default;
};

// Owner to witness: asks for a vote that the sender owns the request.
struct Claim {
  std::string id;

  bool operator==(const Claim&) const = default;
};

// A witness's vote on a claim. A witness votes for its availability zone.
enum class ClaimVerdict : std::uint8_t {
  kGranted = 0,    // Recorded, and this zone never granted another claim.
  kUncertain = 1,  // Recorded, but an earlier grant may have been lost.
  kTaken = 2,      // The request was claimed before, maybe by the same owner.
};

// Witness to owner: the vote.
struct ClaimReply {
  std::string id;
  ClaimVerdict verdict = ClaimVerdict::kUncertain;
  std::string owner;  // With kTaken: the daemon with the earlier claim.

  bool operator==(const ClaimReply&) const = default;
};

// The slots and the queue of one home daemon for one service.
struct SlotHint {
  std::string service;
  std::uint32_t free = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;  // Current limit of slots, in use and free.

  bool operator==(const SlotHint&) const = default;
};

// Owner to home daemon: run the request on one of the home's servers.
struct AssignRequest {
  RoutedRequest routed;
  std::uint32_t assignment_number = 0;  // From 1 for each request of an owner.
  std::uint32_t attempts = 0;           // Attempts that servers have shed.
  std::string avoid_server;             // Server that shed the last attempt.

  bool operator==(const AssignRequest&) const = default;
};

// Owner to home daemon: cancel the assignment.
struct AssignmentCancel {
  std::string id;
  std::uint32_t assignment_number = 0;

  bool operator==(const AssignmentCancel&) const = default;
};

// Home daemon to owner: one part of the complete answer.
struct AssignmentAnswer {
  std::uint32_t assignment_number = 0;
  AnswerPart part;
  SlotHint hint;
  // Not sent. Where the home sends the answer itself if the owner is dead.
  Endpoint caller;
  Endpoint service_address;

  bool operator==(const AssignmentAnswer&) const = default;
};

// How an assignment ended. kNotSent and kShed prove that the request did not
// run.
enum class AssignmentOutcomeKind : std::uint8_t {
  kNotSent = 0,           // Not sent to any server.
  kShed = 1,              // Servers shed every attempt, so it did not run.
  kUnknown = 2,           // Sent to a server that did not answer.
  kAnswerIncomplete = 3,  // Only a part of the answer arrived.
};

// Home daemon to owner: how an assignment ended without a complete answer.
struct AssignmentOutcome {
  std::string id;
  std::uint32_t assignment_number = 0;
  AssignmentOutcomeKind kind = AssignmentOutcomeKind::kUnknown;
  ResultCode code = ResultCode::kInternal;
  std::uint32_t attempts = 0;
  std::string server;
  SlotHint hint;

  bool operator==(const AssignmentOutcome&) const = default;
};

// What a home knows about one of its servers. Other daemons use hints to route
// flows, and the next home uses them to detect an unannounced restart.
struct ServerHint {
  std::string server;
  std::uint64_t incarnation = 0;  // 0 until the server has answered.
  bool ejected = false;
  absl::Duration warm_up_left;  // Time until the warm-up ends.

  bool operator==(const ServerHint&) const = default;
};

// Home daemon to all other daemons, on the control channel: the free slots of
// its services and the state of its servers.
struct SlotHints {
  std::vector<SlotHint> hints;
  std::vector<ServerHint> servers;

  bool operator==(const SlotHints&) const = default;
};

// Receiver to sender: acknowledges the message with this sequence number.
struct PeerAck {
  std::uint64_t sequence = 0;

  bool operator==(const PeerAck&) const = default;
};

// Any message between the dispatchers of two daemons.
using PeerBody = std::variant<ForwardRequest,
                              ForwardCancel,
                              RequestCompleted,
                              Claim,
                              ClaimReply,
                              AssignRequest,
                              AssignmentCancel,
                              AssignmentAnswer,
                              AssignmentOutcome,
                              SlotHints,
                              PeerAck>;

// One datagram between two dispatchers. A message with a sequence number other
// than 0 is retransmitted until it is acknowledged. A receiver drops a message
// that is meant for another of its starts, which may already have acted on it.
struct PeerMessage {
  std::uint64_t sequence = 0;
  std::uint64_t sender_boot_id = 0;
  std::uint64_t receiver_boot_id = 0;  // 0: any start of the receiver.
  PeerBody body;

  bool operator==(const PeerMessage&) const = default;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_PEER_MESSAGES_H_
