#ifndef SRC_LAB_MESSAGES_H_
#define SRC_LAB_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "src/lab/udp_port.h"

namespace gcw::lab {

// The messages of docs/WIRE.md as the emulated callers and backend servers
// encode and decode them. The daemons have a codec of their own, so that a
// fault in either shows as a mismatch.

// A request, from a caller to a daemon or from a daemon to a server.
struct RequestMessage {
  std::string id;
  std::string organisation;
  std::string service;
  std::int64_t deadline_ms = 0;  // Time left until the deadline.
  double worth = 1;              // Under overload, low worth is refused first.
  bool idempotent = true;
  Bytes body;
  int expected_bytes = 0;  // Expected size of the answer; 0 if unknown.
  int attempt = 0;         // Number of the attempt; from daemons only.
  std::string attempt_id;  // Identifies the attempt; from daemons only.
};

// Cancels a request: the attempt `attempt_id`, or all attempts of the request
// if `attempt_id` is empty.
struct CancelMessage {
  std::string id;
  std::string attempt_id;
};

// One part of the answer to a request, from a server by way of a daemon to the
// caller.
struct AnswerMessage {
  std::string id;
  std::string attempt_id;
  std::string service;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  Bytes body;
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t checksum = 0;   // Hash of the whole body.
  std::int64_t service_us = 0;  // Time that the server took, in microseconds.
};

// A daemon's refusal of a request, to the caller.
struct RefusalMessage {
  std::string id;
  int code = 0;          // Number of a result code.
  bool not_run = false;  // No server has run the request.
};

// A server's refusal of an attempt, because it is overloaded; to a daemon.
struct ShedMessage {
  std::string id;
  std::string attempt_id;
  std::string server;
  std::uint64_t incarnation = 0;
};

// A daemon's query of a server's load.
struct LoadQuery {
  std::uint64_t nonce = 0;
};

// A server's answer to a LoadQuery with the same nonce.
struct LoadReport {
  std::uint64_t nonce = 0;
  std::string server;
  int used = 0;  // Slots in use.
  int slots = 0;
  int connections = 0;
  bool healthy = true;
  std::uint64_t incarnation = 0;
};

using Message = std::variant<RequestMessage,
                             CancelMessage,
                             AnswerMessage,
                             RefusalMessage,
                             ShedMessage,
                             LoadQuery,
                             LoadReport>;

// Encodes `message` in CBOR. Thread-safe.
Bytes Encode(const Message& message);

// Returns nothing if `bytes` is not a complete message with all required
// fields. Thread-safe.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

// The body of `size` bytes that servers answer the request `id` with; callers
// compare received bodies with this one to detect a wrong answer. Thread-safe.
Bytes AnswerBody(const std::string& id, int size);

}  // namespace gcw::lab

#endif  // SRC_LAB_MESSAGES_H_
