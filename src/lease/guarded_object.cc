#include "src/lease/guarded_object.h"

#include <utility>

namespace gcw::lease {

void GuardedObject::BeginTerm(Version token) {
  token_ = token;
  read_needed_ = true;
  fenced_ = false;
  outcome_unknown_ = false;
  operation_id_.clear();
}

std::optional<StoreCall> GuardedObject::NextCall(
    const std::string& new_operation_id) {
  StoreCall call;
  call.key = key_;
  if (read_needed_) {
    call.type = CallType::kRead;
    return call;
  }
  if (fenced_ && !requested_data_) {
    return std::nullopt;
  }
  if (operation_id_.empty()) {
    operation_id_ = new_operation_id;
    confirmed_by_read_ = false;
  }
  // A retry keeps the operation id of the first attempt, so that an attempt
  // that takes effect late is recognised when the object is read.
  call.type = CallType::kPut;
  call.if_version = version_;
  call.json = ToJson(GuardedRecord{token_, operation_id_,
                                   fenced_ ? *requested_data_ : read_data_});
  return call;
}

GuardedObject::AnswerEffect GuardedObject::OnWriteCompleted(Version version) {
  version_ = version;
  operation_id_.clear();
  outcome_unknown_ = false;
  if (!std::exchange(fenced_, true)) {
    return AnswerEffect::kNone;
  }
  requested_data_.reset();
  return AnswerEffect::kWriteCompleted;
}

GuardedObject::AnswerEffect GuardedObject::OnRead(const StoredObject& object) {
  const GuardedRecord record =
      object.version == 0 ? GuardedRecord() : ParseGuarded(object.json);
  if (record.fence > token_) {
    return AnswerEffect::kSuperseded;
  }
  read_needed_ = false;
  if (!operation_id_.empty() && record.op == operation_id_) {
    confirmed_by_read_ = true;
    return OnWriteCompleted(object.version);
  }
  version_ = object.version;
  if (!fenced_) {
    read_data_ = record.data;
  }
  return AnswerEffect::kNone;
}

GuardedObject::AnswerEffect GuardedObject::OnPut(
    const Result<Version>& result) {
  if (result.ok()) {
    return OnWriteCompleted(result.value());
  }
  const ResultCode code = result.error().code;
  outcome_unknown_ |= code == ResultCode::kPlatformOutcomeUnknown;
  read_needed_ = code == ResultCode::kPlatformOutcomeUnknown ||
                 code == ResultCode::kPlatformConflict;
  return AnswerEffect::kNone;
}

std::optional<Error> GuardedObject::EndTerm() {
  const bool had_request = requested_data_.has_value();
  const bool outcome_unknown = outcome_unknown_ && fenced_;
  requested_data_.reset();
  fenced_ = false;
  operation_id_.clear();
  outcome_unknown_ = false;
  if (!had_request) {
    return std::nullopt;
  }
  if (outcome_unknown) {
    return Error{ResultCode::kPlatformOutcomeUnknown, key_,
                 "the last write was not answered and may have taken effect"};
  }
  return Error{ResultCode::kLeaseLost, key_,
               "the lease was lost before the write took effect"};
}

}  // namespace gcw::lease
