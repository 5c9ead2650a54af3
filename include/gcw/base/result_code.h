#ifndef GCW_BASE_RESULT_CODE_H_
#define GCW_BASE_RESULT_CODE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace gcw {

// The outcome of an operation. The numbers are part of the public interface:
// they appear in answers, logs and exit codes and never change their meaning.
// docs/ERRORS.md lists them; result_code_test.cc checks that the list matches
// this code.
enum class ResultCode : std::uint16_t {
  kOk = 0,

  // 1-19: programs. These numbers are also used as process exit codes.
  kInternal = 1,
  kUsage = 2,
  kSettingsUnreadable = 3,
  kSettingsInvalid = 4,
  kBindFailed = 5,
  kApiUnreachable = 6,
  kApiRefused = 7,
  kWaitTimedOut = 8,
  kScenarioInvalid = 9,
  kCheckFailed = 10,

  // 100-199: the resource API and configuration.
  kInvalidField = 100,
  kUnknownField = 101,
  kMissingField = 102,
  kMalformedJson = 103,
  kNotFound = 104,
  kVersionConflict = 105,
  kUnauthenticated = 106,
  kForbidden = 107,
  kAddressClaimed = 108,
  kBrokenReference = 109,
  kTooLarge = 110,
  kVersionRequired = 111,
  kUnsupportedMethod = 112,
  kStillReferenced = 113,

  // 200-299: the platform's object API.
  kPlatformUnavailable = 200,
  kPlatformRateLimited = 201,
  kPlatformConflict = 202,
  kPlatformCompacted = 203,
  kPlatformOutcomeUnknown = 204,
  kPlatformBadAnswer = 205,

  // 300-399: flows and packets.
  kUnknownService = 300,
  kNoServer = 301,
  kFlowGivenUp = 302,
  kMalformedPacket = 303,
  kRelayLoop = 304,
  kFlowTableFull = 305,

  // 400-499: requests. A kRefused* code guarantees that the request did not
  // run.
  kRefusedDeadline = 400,
  kRefusedQueueFull = 401,
  kRefusedNoServer = 402,
  kRefusedShed = 403,
  kRefusedShuttingDown = 404,
  kRefusedBadRequest = 405,
  kRefusedRetryBudget = 406,
  kRefusedLowWorth = 407,
  kOutcomeUnknown = 420,
  kAnswerCut = 421,
  kCancelled = 422,

  // 500-599: members, leases and relays.
  kBadSignature = 500,
  kReplayed = 501,
  kMalformedMessage = 502,
  kLeaseHeld = 503,
  kLeaseLost = 504,
  kStaleRevision = 505,
  kUnknownMember = 506,
};

// A result code with its name in snake case and its description in one
// sentence.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  std::string_view text;
};

// All result codes in ascending order. Thread-safe; never fails.
std::span<const ResultCodeInfo> ResultCodes();

// The name of `code`, or "unknown" if `code` is not in ResultCodes().
// Thread-safe.
std::string_view ResultCodeName(ResultCode code);

// The code whose number is `number`, or nullopt if there is none. Thread-safe.
std::optional<ResultCode> ResultCodeFromNumber(std::uint16_t number);

// Whether `code` guarantees that the request did not run. Thread-safe.
constexpr bool IsNotRun(ResultCode code) {
  const auto number = static_cast<std::uint16_t>(code);
  return number >= 400 && number < 420;
}

}  // namespace gcw

#endif  // GCW_BASE_RESULT_CODE_H_
