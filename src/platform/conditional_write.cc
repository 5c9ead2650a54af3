#include "gcw/platform/conditional_write.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace gcw::platform {
namespace {

Error OutcomeUnknown() {
  return {ResultCode::kPlatformOutcomeUnknown, "",
          "the write may have been made; read before trying again"};
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
        searched_(request_.repeat_after) {}

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
    if (doubt_.has_value()) {
      return ResolveDoubt();
    }
    const bool has_changed =
        !current_.has_value() || current_->version > searched_;
    if (request_.search_events_first && has_changed) {
      return LookUpEvents(searched_);
    }
    return Evaluate();
  }

  WriteStep OnEvents(const Result<WatchAnswer>& answer, absl::Time now) {
    if (!answer.ok() && answer.error().code == ResultCode::kPlatformCompacted) {
      return EventsAreGone();
    }
    const ReadEvents again{events_after_};
    if (!answer.ok()) {
      return Retry(again, answer.error(), now);
    }
    const Version seen = current_.has_value() ? current_->version : 0;
    if (answer.value().revision < seen) {
      return Retry(again, {ResultCode::kPlatformUnavailable, "", "stale"}, now);
    }
    for (const WatchEvent& event : answer.value().events) {
      if (event.object.key == request_.key &&
          OperationIdOf(event.object.value) == request_.op) {
        return Finish{WriteOutcome{event.object.version, true, true}};
      }
    }
    searched_ = std::max(searched_, answer.value().revision);
    if (refusal_.has_value()) {
      return Finish{*refusal_};
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
        NoteDoubt();
        return Retry(ReadObject{}, version.error(), now);
      default:
        return Finish{version.error()};
    }
  }

  WriteStep OnPaused() { return std::move(after_pause_); }

 private:
  // A write without an answer. Once there was one, the doubt stays: a late
  // packet may still bring it about.
  struct Doubt {
    Version if_version = 0;
    Version created = 0;  // Of the object before; 0: there was none.
    bool is_delete = false;
  };

  // The write may have been made. The object is as read, without its id.
  WriteStep ResolveDoubt() {
    if (doubt_->is_delete) {
      const bool is_gone =
          !current_.has_value() || current_->created > doubt_->created;
      return is_gone ? WriteStep(Finish{WriteOutcome{0, true, false}})
                     : Evaluate();
    }
    const bool is_unchanged =
        current_.has_value() && current_->version == doubt_->if_version;
    if (is_unchanged) {
      return Evaluate();
    }
    const bool was_absent = doubt_->if_version == 0;
    return LookUpEvents(was_absent ? request_.base_revision
                                   : doubt_->if_version);
  }

  WriteStep Evaluate() {
    const Result<DesiredState> desired =
        request_.intent(current_.has_value() ? &*current_ : nullptr);
    if (!desired.ok()) {
      return OnRefusal(desired.error());
    }
    const Version if_version = current_.has_value() ? current_->version : 0;
    if (desired.value().value.has_value()) {
      attempt_ = PutObject{*desired.value().value, if_version};
    } else {
      attempt_ = DeleteObject{if_version};
    }
    return attempt_;
  }

  // The intent does not hold. If an earlier process may have written the same
  // operation, that may be the very reason.
  WriteStep OnRefusal(const Error& error) {
    if (!request_.may_be_repeat || refusal_.has_value() ||
        !current_.has_value()) {
      return Finish{error};
    }
    refusal_ = error;
    const Version before_creation = current_->created - 1;
    return LookUpEvents(std::max(request_.repeat_after, before_creation));
  }

  WriteStep EventsAreGone() {
    if (refusal_.has_value() && !doubt_.has_value()) {
      return Finish{*refusal_};
    }
    return Finish{OutcomeUnknown()};
  }

  WriteStep LookUpEvents(Version after) {
    events_after_ = after;
    return ReadEvents{after};
  }

  WriteStep OnConflict(absl::Time now) {
    const Error error{ResultCode::kVersionConflict, "",
                      "other writers were faster each time"};
    if (++conflicts_ > options_.max_conflicts) {
      return Finish{doubt_.has_value() ? OutcomeUnknown() : error};
    }
    if (conflicts_ == 1) {
      return ReadObject{};
    }
    return RetryAfter(conflict_backoff_.Next(), ReadObject{}, error, now);
  }

  void NoteDoubt() {
    if (doubt_.has_value()) {
      return;
    }
    doubt_ = Doubt{current_.has_value() ? current_->version : 0,
                   current_.has_value() ? current_->created : 0,
                   std::holds_alternative<DeleteObject>(attempt_)};
  }

  WriteStep Retry(WriteStep step, const Error& error, absl::Time now) {
    return RetryAfter(backoff_.Next(), std::move(step), error, now);
  }

  WriteStep RetryAfter(absl::Duration pause,
                       WriteStep step,
                       const Error& error,
                       absl::Time now) {
    if (now + pause > deadline_) {
      return Finish{doubt_.has_value() ? OutcomeUnknown() : error};
    }
    after_pause_ = std::move(step);
    return Pause{pause};
  }

  const WriteRequest request_;
  const WriteOptions options_;
  Backoff backoff_;
  Backoff conflict_backoff_;
  const absl::Time deadline_;
  // Up to here the events do not hold the operation.
  Version searched_ = 0;
  int conflicts_ = 0;
  std::optional<Object> current_;
  std::optional<Doubt> doubt_;
  std::optional<Error> refusal_;
  Version events_after_ = 0;
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
