#include "gcw/base/result_code.h"

#include <algorithm>
#include <array>

namespace gcw {
namespace {

constexpr auto kResultCodes = std::to_array<ResultCodeInfo>({
    {ResultCode::kOk, "ok", "Done."},
    {ResultCode::kInternal, "internal",
     "A fault of the program itself; please report it."},
    {ResultCode::kUsage, "usage", "The command line is wrong; see --help."},
    {ResultCode::kSettingsUnreadable, "settings_unreadable",
     "The settings file cannot be read."},
    {ResultCode::kSettingsInvalid, "settings_invalid",
     "The settings hold wrong or unknown fields; each is named with its path."},
    {ResultCode::kBindFailed, "bind_failed",
     "An address or port of the settings cannot be bound."},
    {ResultCode::kApiUnreachable, "api_unreachable",
     "The resource API or the platform does not answer."},
    {ResultCode::kApiRefused, "api_refused",
     "The resource API refused the operation; its own code is printed."},
    {ResultCode::kWaitTimedOut, "wait_timed_out",
     "The change was accepted but is not in force everywhere within the wait."},
    {ResultCode::kScenarioInvalid, "scenario_invalid",
     "The scenario holds wrong or unknown fields; each is named with its "
     "path."},
    {ResultCode::kCheckFailed, "check_failed",
     "A scenario or matrix missed a stated bound."},
    {ResultCode::kInvalidField, "invalid_field",
     "A field has a wrong type or value."},
    {ResultCode::kUnknownField, "unknown_field",
     "A field is not part of the resource."},
    {ResultCode::kMissingField, "missing_field", "A required field is absent."},
    {ResultCode::kMalformedJson, "malformed_json", "The text is not JSON."},
    {ResultCode::kNotFound, "not_found", "No such resource."},
    {ResultCode::kVersionConflict, "version_conflict",
     "The resource has changed since the stated version; read it again."},
    {ResultCode::kUnauthenticated, "unauthenticated",
     "The token is missing or wrong."},
    {ResultCode::kForbidden, "forbidden",
     "The resource belongs to another organisation or to the platform."},
    {ResultCode::kAddressClaimed, "address_claimed",
     "The address and port belong to another service or backend server."},
    {ResultCode::kBrokenReference, "broken_reference",
     "The resource names another that does not exist."},
    {ResultCode::kTooLarge, "too_large",
     "The resource or the request exceeds its size limit."},
    {ResultCode::kVersionRequired, "version_required",
     "The operation needs If-Match."},
    {ResultCode::kUnsupportedMethod, "unsupported_method",
     "The path does not support this method."},
    {ResultCode::kStillReferenced, "still_referenced",
     "Another resource still names this one."},
    {ResultCode::kPlatformUnavailable, "platform_unavailable",
     "The platform does not answer."},
    {ResultCode::kPlatformRateLimited, "platform_rate_limited",
     "The platform refused the call for its rate."},
    {ResultCode::kPlatformConflict, "platform_conflict",
     "The object has changed since the stated version."},
    {ResultCode::kPlatformCompacted, "platform_compacted",
     "The watch position is too old; list again."},
    {ResultCode::kPlatformOutcomeUnknown, "platform_outcome_unknown",
     "The answer to a write was lost; read before trying again."},
    {ResultCode::kPlatformBadAnswer, "platform_bad_answer",
     "The platform answered something outside its protocol."},
    {ResultCode::kUnknownService, "unknown_service",
     "No service owns the address and port of the packet."},
    {ResultCode::kNoServer, "no_server",
     "No backend server can take the flow."},
    {ResultCode::kFlowGivenUp, "flow_given_up",
     "The flow ended with its availability zone or backend server."},
    {ResultCode::kMalformedPacket, "malformed_packet",
     "The packet is cut or has wrong headers."},
    {ResultCode::kRelayLoop, "relay_loop",
     "A relayed packet has passed too many daemons."},
    {ResultCode::kFlowTableFull, "flow_table_full",
     "The flow table is full of flows that cannot be derived again."},
    {ResultCode::kRefusedDeadline, "refused_deadline",
     "Not run: the deadline cannot be met."},
    {ResultCode::kRefusedQueueFull, "refused_queue_full",
     "Not run: the queue is full."},
    {ResultCode::kRefusedNoServer, "refused_no_server",
     "Not run: no backend server can take the request."},
    {ResultCode::kRefusedShed, "refused_shed",
     "Not run: every backend server tried has shed it."},
    {ResultCode::kRefusedShuttingDown, "refused_shutting_down",
     "Not run: the daemon is shutting down."},
    {ResultCode::kRefusedBadRequest, "refused_bad_request",
     "Not run: the request is malformed."},
    {ResultCode::kRefusedRetryBudget, "refused_retry_budget",
     "Not run: shed, and the retry budget is spent."},
    {ResultCode::kRefusedLowWorth, "refused_low_worth",
     "Not run: overloaded, and other requests are worth more."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown",
     "The request may or may not have run."},
    {ResultCode::kAnswerCut, "answer_cut",
     "The request ran but its answer is incomplete."},
    {ResultCode::kCancelled, "cancelled", "The caller cancelled the request."},
    {ResultCode::kBadSignature, "bad_signature",
     "The message is not signed with a current cluster key."},
    {ResultCode::kReplayed, "replayed",
     "The message was seen before or is too old."},
    {ResultCode::kMalformedMessage, "malformed_message",
     "The message cannot be decoded."},
    {ResultCode::kLeaseHeld, "lease_held", "Another holder has the lease."},
    {ResultCode::kLeaseLost, "lease_lost",
     "The lease lapsed or was taken over; the write was not made."},
    {ResultCode::kStaleRevision, "stale_revision",
     "The state is older than what is already known."},
    {ResultCode::kUnknownMember, "unknown_member", "No such member."},
});

const ResultCodeInfo* FindInfo(std::uint16_t number) {
  const auto* it = std::find_if(
      kResultCodes.begin(), kResultCodes.end(), [&](const auto& info) {
        return static_cast<std::uint16_t>(info.code) == number;
      });
  return it == kResultCodes.end() ? nullptr : it;
}

}  // namespace

std::span<const ResultCodeInfo> ResultCodes() {
  return kResultCodes;
}

std::string_view ResultCodeName(ResultCode code) {
  const ResultCodeInfo* info = FindInfo(static_cast<std::uint16_t>(code));
  return info == nullptr ? "unknown" : info->name;
}

std::optional<ResultCode> ResultCodeFromNumber(std::uint16_t number) {
  const ResultCodeInfo* info = FindInfo(number);
  if (info == nullptr) {
    return std::nullopt;
  }
  return info->code;
}

}  // namespace gcw
