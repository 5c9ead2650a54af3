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

// The messages of docs/WIRE.md, section "Requests". All are values; they are
// thread-safe as long as one object stays on one thread.

using Bytes = std::vector<std::uint8_t>;

// Bytes of the body that one answer part carries at most.
inline constexpr std::size_t kMaxPartBytes = 1100;
// Parts of one answer at most, so that collecting an answer is bounded.
inline constexpr std::uint32_t kMaxAnswerParts = 1024;
// Bytes of an identifier (id, rid, organisation, service, server) at most.
inline constexpr std::size_t kMaxIdBytes = 128;

// Wire "req". `attempt` is 0 and `attempt_id` empty as it comes from a caller.
struct Request {
  std::string id;
  std::string organisation;
  std::string service;
  absl::Duration deadline;  // Time left, at least 0; whole milliseconds.
  double worth = 0;
  bool idempotent = false;
  Bytes body;
  std::optional<std::uint32_t> answer_bytes;  // As the caller expects.
  std::uint32_t attempt = 0;
  std::string attempt_id;  // Wire "rid".

  bool operator==(const Request&) const = default;
};

// Wire "can".
struct Cancel {
  std::string id;
  std::string attempt_id;  // Empty from a caller.

  bool operator==(const Cancel&) const = default;
};

// Wire "ans".
struct AnswerPart {
  std::string id;
  std::string service;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  Bytes body;
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t sum = 0;   // StableHash of the whole answer's body.
  std::string attempt_id;  // Empty towards a caller.
  absl::Duration service_time;

  bool operator==(const AnswerPart&) const = default;
};

// Wire "ref".
struct Refusal {
  std::string id;
  ResultCode code = ResultCode::kInternal;
  bool not_run = false;

  bool operator==(const Refusal&) const = default;
};

// Wire "shed".
struct Shed {
  std::string id;
  std::string attempt_id;
  std::string server;
  std::uint64_t incarnation = 0;

  bool operator==(const Shed&) const = default;
};

// Wire "load?".
struct LoadQuery {
  std::uint64_t nonce = 0;

  bool operator==(const LoadQuery&) const = default;
};

// Wire "load".
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
