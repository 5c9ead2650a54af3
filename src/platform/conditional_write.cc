#include "gcw/platform/conditional_write.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace gcw::platform {
namespace {

Error OutcomeUnknown() {
  return {ResultCode::kPlatformOutcomeUnknown, "",
          "the write may have been made; read the object before retrying"};
}

}  // namespace

std::string OperationIdOf(const std::string& value) {
  const nlohmann::json parsed = nlohmann::json::parse(value, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("op")) {
    return "";
  }
  const nlohmann::json& op = parsed.at("op");
  return op.is_string() ? op.get<std::string>() : "";
}

class ConditionalWrite::Impl {
 public:
  Impl(WriteRequest request,
       const WriteOptions& options,
       std::uint64_t seed,
       absl::Time now)
      : request_(std::move(request)),
        options_(options),
        backoff_(options.backoff, seed),
        conflict_backoff_(options.conflict_backoff, seed + 1),
        deadline_(now + options.time_limit),
        searched_up_to_(request_.repeat_after) {}

  WriteStep OnObject(Result<Object> object, absl::Time now) {
    if (!object.ok() && object.error().code != ResultCode::kNotFound) {
      return Retry(ReadObject{}, object.error(), now);
    }
    current_.reset();
    if (object.ok()) {
      current_ = std::move(object).value();
    }
    if (current_.has_value() && OperationIdOf(current_->value) == request_.op) {
      return Finish{WriteOutcome{current_->version, true, false}};
    }
    if (unanswered_.has_value()) {
      return ResolveUnansweredWrite();
    }
    const bool has_changed =
        !current_.has_value() || current_->version > searched_up_to_;
    if (request_.search_events_first && has_changed) {
      return SearchEvents(searched_up_to_);
    }
    return Evaluate();
  }

  WriteStep OnEvents(const Result<WatchAnswer>& answer, absl::Time now) {
    if (!answer.ok() && answer.error().code == ResultCode::kPlatformCompacted) {
      return OnEventsCompacted();
    }
    const ReadEvents retry_step{search_after_};
    if (!answer.ok()) {
      return Retry(retry_step, answer.error(), now);
    }
    const Version seen = current_.has_value() ? current_->version : 0;
    if (answer.value().revision < seen) {
      // The events end before the version of the object that was read, so they
      // come from an older state of the platform.
      return Retry(retry_step, {ResultCode::kPlatformUnavailable, "", "stale"},
                   now);
    }
    for (const WatchEvent& event : answer.value().events) {
      if (event.object.key == request_.key &&
          OperationIdOf(event.object.value) == request_.op) {
        return Finish{WriteOutcome{event.object.version, true, true}};
      }
    }
    searched_up_to_ = std::max(searched_up_to_, answer.value().revision);
    if (intent_error_.has_value()) {
      return Finish{*intent_error_};
    }
    return Evaluate();
  }

  WriteStep OnWritten(const Result<Version>& version, absl::Time now) {
    if (version.ok()) {
      return Finish{WriteOutcome{version.value(), false, false}};
    }
    switch (version.error().code) {
      case ResultCode::kPlatformConflict:
      case ResultCode::kNotFound:
        return OnConflict(now);
      case ResultCode::kPlatformRateLimited:
        return Retry(attempt_, version.error(), now);
      case ResultCode::kPlatformOutcomeUnknown:
      case ResultCode::kPlatformUnavailable:
        RecordUnansweredWrite();
        return Retry(ReadObject{}, version.error(), now);
      default:
        return Finish{version.error()};
    }
  }

  WriteStep OnPaused() { return std::move(after_pause_); }

 private:
  // A write without an answer. The record is kept until the end, since a
  // delayed packet may still deliver the write to the platform.
  struct UnansweredWrite {
    Version if_version = 0;
    // `created` of the object before the write; 0 if the object did not exist.
    Version created = 0;
    bool is_delete = false;
  };

  // Determines whether the unanswered write was made. To be called after the
  // object has been read and found not to have the operation id.
  WriteStep ResolveUnansweredWrite() {
    if (unanswered_->is_delete) {
      // A restored platform gives all objects new versions, so another
      // `created` then says nothing.
      const bool is_gone =
          !current_.has_value() ||
          (current_->created > unanswered_->created &&
           EpochOf(current_->created) == EpochOf(unanswered_->created));
      return is_gone ? WriteStep(Finish{WriteOutcome{0, true, false}})
                     : Evaluate();
    }
    const bool is_unchanged =
        current_.has_value() && current_->version == unanswered_->if_version;
    if (is_unchanged) {
      return Evaluate();
    }
    const bool was_absent = unanswered_->if_version == 0;
    return SearchEvents(was_absent ? request_.base_revision
                                   : unanswered_->if_version);
  }

  // Calls the intent with the current state and returns the write it asks for.
  WriteStep Evaluate() {
    const Result<DesiredState> desired =
        request_.intent(current_.has_value() ? &*current_ : nullptr);
    if (!desired.ok()) {
      return OnIntentFailure(desired.error());
    }
    const Version if_version = current_.has_value() ? current_->version : 0;
    if (desired.value().value.has_value()) {
      attempt_ = PutObject{*desired.value().value, if_version};
    } else {
      attempt_ = DeleteObject{if_version};
    }
    return attempt_;
  }

  // Handles an error of the intent. If an earlier process may have made the
  // same operation, that write may be the reason for the error, so the events
  // are searched for the operation id first.
  WriteStep OnIntentFailure(const Error& error) {
    if (!request_.may_be_repeat || intent_error_.has_value() ||
        !current_.has_value()) {
      return Finish{error};
    }
    intent_error_ = error;
    const Version before_creation = current_->created - 1;
    return SearchEvents(std::max(request_.repeat_after, before_creation));
  }

  // Ends the write because the platform no longer has the events to search.
  WriteStep OnEventsCompacted() {
    if (intent_error_.has_value() && !unanswered_.has_value()) {
      return Finish{*intent_error_};
    }
    return Finish{OutcomeUnknown()};
  }

  // Returns the step that reads the events after version `after`.
  WriteStep SearchEvents(Version after) {
    search_after_ = after;
    return ReadEvents{after};
  }

  WriteStep OnConflict(absl::Time now) {
    const Error error{ResultCode::kVersionConflict, "",
                      "other writers changed the object before each attempt"};
    if (++conflicts_ > options_.max_conflicts) {
      return Finish{unanswered_.has_value() ? OutcomeUnknown() : error};
    }
    if (conflicts_ == 1) {
      return ReadObject{};
    }
    return RetryAfter(conflict_backoff_.Next(), ReadObject{}, error, now);
  }

  // Records that the last attempt got no answer.
  void RecordUnansweredWrite() {
    if (unanswered_.has_value()) {
      return;
    }
    unanswered_ =
        UnansweredWrite{current_.has_value() ? current_->version : 0,
                        current_.has_value() ? current_->created : 0,
                        std::holds_alternative<DeleteObject>(attempt_)};
  }

  // Repeats `step` after a pause, or fails with `error` if the time limit would
  // expire during the pause.
  WriteStep Retry(WriteStep step, const Error& error, absl::Time now) {
    return RetryAfter(backoff_.Next(), std::move(step), error, now);
  }

  WriteStep RetryAfter(absl::Duration pause,
                       WriteStep step,
                       const Error& error,
                       absl::Time now) {
    if (now + pause > deadline_) {
      return Finish{unanswered_.has_value() ? OutcomeUnknown() : error};
    }
    after_pause_ = std::move(step);
    return Pause{pause};
  }

  const WriteRequest request_;
  const WriteOptions options_;
  Backoff backoff_;
  Backoff conflict_backoff_;
  const absl::Time deadline_;
  // The events up to this version do not contain the operation id.
  Version searched_up_to_ = 0;
  int conflicts_ = 0;
  std::optional<Object> current_;
  std::optional<UnansweredWrite> unanswered_;
  // Error of the intent, set while the events are searched for its reason.
  std::optional<Error> intent_error_;
  Version search_after_ = 0;
  WriteStep attempt_ = ReadObject{};
  WriteStep after_pause_ = ReadObject{};
};

ConditionalWrite::ConditionalWrite(WriteRequest request,
                                   const WriteOptions& options,
                                   std::uint64_t seed,
                                   absl::Time now)
    : impl_(std::make_unique<Impl>(std::move(request), options, seed, now)) {}
ConditionalWrite::~ConditionalWrite() = default;

WriteStep ConditionalWrite::Start() {
  return ReadObject{};
}

WriteStep ConditionalWrite::OnObject(Result<Object> object, absl::Time now) {
  return impl_->OnObject(std::move(object), now);
}

WriteStep ConditionalWrite::OnEvents(const Result<WatchAnswer>& answer,
                                     absl::Time now) {
  return impl_->OnEvents(answer, now);
}

WriteStep ConditionalWrite::OnWritten(const Result<Version>& version,
                                      absl::Time now) {
  return impl_->OnWritten(version, now);
}

WriteStep ConditionalWrite::OnPaused(absl::Time /*now*/) {
  return impl_->OnPaused();
}

}  // namespace gcw::platform
