#ifndef GCW_DISPATCH_MESSAGES_H_
#define GCW_DISPATCH_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gcw/base/endpoint.h"
#include "gcw/base/result_code.h"

namespace gcw::dispatch {

// The messages of docs/WIRE.md, section "Requests". All are plain value types:
// different objects may be used on different threads.

using Bytes = std::vector<std::uint8_t>;

// Maximum size of the body of one answer part.
inline constexpr std::size_t kMaxPartBytes = 1100;
// Maximum number of parts of one answer. Bounds the memory to collect an
// answer.
inline constexpr std::uint32_t kMaxAnswerParts = 1024;
// Maximum size of an identifier: id, rid, organisation, service or server.
inline constexpr std::size_t kMaxIdBytes = 128;

// Wire "req": a request from a caller, or one attempt to run it on a server.
// From a caller, `attempt` is 0 and `attempt_id` empty.
struct Request {
  std::string id;
  std::string organisation;
  std::string service;
  absl::Duration deadline;  // Time left, at least 0; whole milliseconds.
  // The value of an answer to the caller: under overload, requests of lower
  // worth are refused first.
  double worth = 0;
  bool idempotent = false;
  Bytes body;
  std::optional<std::uint32_t> answer_bytes;  // Size that the caller expects.
  std::uint32_t attempt = 0;
  std::string attempt_id;  // Wire "rid".

  bool operator==(const Request&) const = default;
};

// Wire "can": a caller cancels a request, or a daemon cancels an attempt.
struct Cancel {
  std::string id;
  std::string attempt_id;  // Empty in a message from a caller.

  bool operator==(const Cancel&) const = default;
};

// Wire "ans": one part of the answer of a backend server.
struct AnswerPart {
  std::string id;
  std::string service;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  Bytes body;
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t sum = 0;   // StableHash of the body of the complete answer.
  std::string attempt_id;  // Empty in a message to a caller.
  absl::Duration service_time;

  bool operator==(const AnswerPart&) const = default;
};

// Wire "ref": a daemon refuses a caller's request.
struct Refusal {
  std::string id;
  ResultCode code = ResultCode::kInternal;
  bool not_run = false;  // Guarantees that the request did not run.

  bool operator==(const Refusal&) const = default;
};

// Wire "shed": a backend server rejects an attempt because it is overloaded.
struct Shed {
  std::string id;
  std::string attempt_id;
  std::string server;
  std::uint64_t incarnation = 0;

  bool operator==(const Shed&) const = default;
};

// Wire "load?": a daemon asks a backend server for its load.
struct LoadQuery {
  std::uint64_t nonce = 0;

  bool operator==(const LoadQuery&) const = default;
};

// Wire "load": the reply to a LoadQuery with the same nonce.
struct LoadReport {
  std::uint64_t nonce = 0;
  std::string server;
  std::uint32_t used = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool healthy = true;
  std::uint64_t incarnation = 0;

  bool operator==(const LoadReport&) const = default;
};

// Any message between callers, daemons and backend servers.
using Message = std::
    variant<Request, Cancel, AnswerPart, Refusal, Shed, LoadQuery, LoadReport>;

}  // namespace gcw::dispatch

#endif  // GCW_DISPATCH_MESSAGES_H_
