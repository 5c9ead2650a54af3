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

// A request with where it came from and what it was sent to.
struct RoutedRequest {
  Request request;
  Endpoint caller;
  Endpoint service_address;

  bool operator==(const RoutedRequest&) const = default;
};

// Ingress to owner: a request, or a repeat of one, arrived.
struct ForwardRequest {
  RoutedRequest routed;

  bool operator==(const ForwardRequest&) const = default;
};

// Ingress to owner: the caller gave up.
struct ForwardCancel {
  std::string id;

  bool operator==(const ForwardCancel&) const = default;
};

// Owner to ingress: the caller has been answered or refused.
struct RequestCompleted {
  std::string id;

  bool operator==(const RequestCompleted&) const = default;
};

// Owner to witness: may this owner decide about the request?
struct Claim {
  std::string id;

  bool operator==(const Claim&) const = default;
};

enum class ClaimVerdict : std::uint8_t {
  kGranted = 0,    // Recorded, and no other owner can have had a grant here.
  kUncertain = 1,  // Recorded, but an earlier grant may have been forgotten.
  kTaken = 2,      // Another owner has claimed it.
};

// Witness to owner.
struct ClaimReply {
  std::string id;
  ClaimVerdict verdict = ClaimVerdict::kUncertain;
  std::string owner;  // Who has claimed it, with kTaken.

  bool operator==(const ClaimReply&) const = default;
};

// What a home daemon knows of its free slots for one service.
struct SlotHint {
  std::string service;
  std::uint32_t free = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;  // In use and free, as far as the servers bear it.

  bool operator==(const SlotHint&) const = default;
};

// Owner to home daemon: run this on a server of yours.
struct AssignRequest {
  RoutedRequest routed;
  std::uint32_t assignment_number = 0;  // Number of this hand-over, from 1.
  std::uint32_t attempts = 0;  // Attempts that servers have shed so far.
  std::string avoid;           // Server that shed the last attempt.

  bool operator==(const AssignRequest&) const = default;
};

// Owner to home daemon: stop it.
struct AssignmentCancel {
  std::string id;
  std::uint32_t assignment_number = 0;

  bool operator==(const AssignmentCancel&) const = default;
};

// Home daemon to owner: one part of the whole answer.
struct AssignmentAnswer {
  std::uint32_t assignment_number = 0;
  AnswerPart part;
  SlotHint hint;
  // For the home alone, not sent: where the answer goes if the owner is dead.
  Endpoint caller;
  Endpoint service_address;

  bool operator==(const AssignmentAnswer&) const = default;
};

enum class AssignmentOutcomeKind : std::uint8_t {
  kNotSent = 0,           // No server has seen it.
  kShed = 1,              // Every attempt was shed: it did not run.
  kUnknown = 2,           // Sent to a server that never answered.
  kAnswerIncomplete = 3,  // The answer began and did not end.
};

// Home daemon to owner: how a hand-over ended without an answer.
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

// What a home knows of one of its servers: for the routing of flows, and for
// the next home, which thereby sees a restart that nobody announced.
struct ServerHint {
  std::string server;
  std::uint64_t incarnation = 0;  // 0: it has not answered yet.
  bool ejected = false;
  absl::Duration warm_up_left;  // Until it bears its full load again.

  bool operator==(const ServerHint&) const = default;
};

// Home daemon to all: free slots of its servers (control).
struct SlotHints {
  std::vector<SlotHint> hints;
  std::vector<ServerHint> servers;

  bool operator==(const SlotHints&) const = default;
};

// The record of one claim.
struct ClaimRecord {
  std::string id;
  std::string owner;

  bool operator==(const ClaimRecord&) const = default;
};

// Leaving witness to its successor in the zone: what it has recorded (control).
struct ClaimRecords {
  std::vector<ClaimRecord> records;
  bool last = false;

  bool operator==(const ClaimRecords&) const = default;
};

// Receiver to sender: the message with this sequence number arrived.
struct PeerAck {
  std::uint64_t sequence = 0;

  bool operator==(const PeerAck&) const = default;
};

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
                              ClaimRecords,
                              PeerAck>;

// One datagram between two dispatchers. A message with a sequence number other
// than 0 is repeated until it is acknowledged. One that is meant for another
// start of the receiver is dropped: that start may have acted on it already.
struct PeerMessage {
  std::uint64_t sequence = 0;
  std::uint64_t sender_boot_id = 0;  // Start of the sender that sent it.
  std::uint64_t receiver_boot_id =
      0;  // Start of the receiver it is for; 0: any.
  PeerBody body;

  bool operator==(const PeerMessage&) const = default;
};

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_PEER_MESSAGES_H_
