#include "src/lease/guarded_object.h"

#include <utility>

namespace gcw::lease {

void GuardedObject::Begin(Version token) {
  token_ = token;
  read_needed_ = true;
  claimed_ = false;
  in_doubt_ = false;
  op_.clear();
}

std::optional<StoreCall> GuardedObject::NextCall(const std::string& op) {
  StoreCall call;
  call.key = key_;
  if (read_needed_) {
    call.type = CallType::kRead;
    return call;
  }
  if (claimed_ && !wanted_) {
    return std::nullopt;
  }
  if (op_.empty()) {
    op_ = op;
    confirmed_by_read_ = false;
  }
  // A write with a lost answer is repeated under its own name: if the first one
  // arrives late after all, it is known again.
  call.type = CallType::kPut;
  call.if_version = version_;
  call.json = ToJson(GuardedRecord{token_, op_, claimed_ ? *wanted_ : data_});
  return call;
}

GuardedObject::Step GuardedObject::Complete(Version version) {
  version_ = version;
  op_.clear();
  in_doubt_ = false;
  if (!std::exchange(claimed_, true)) {
    return Step::kContinue;
  }
  wanted_.reset();
  return Step::kWritten;
}

GuardedObject::Step GuardedObject::OnRead(const StoredObject& object) {
  const GuardedRecord record =
      object.version == 0 ? GuardedRecord() : ParseGuarded(object.json);
  if (record.fence > token_) {
    return Step::kLost;
  }
  read_needed_ = false;
  if (!op_.empty() && record.op == op_) {
    confirmed_by_read_ = true;
    return Complete(object.version);
  }
  version_ = object.version;
  if (!claimed_) {
    data_ = record.data;
  }
  return Step::kContinue;
}

GuardedObject::Step GuardedObject::OnPut(const Result<Version>& result) {
  if (result.ok()) {
    return Complete(result.value());
  }
  const ResultCode code = result.error().code;
  in_doubt_ |= code == ResultCode::kPlatformOutcomeUnknown;
  read_needed_ = code == ResultCode::kPlatformOutcomeUnknown ||
                 code == ResultCode::kPlatformConflict;
  return Step::kContinue;
}

std::optional<Error> GuardedObject::Abandon() {
  const bool had_write = wanted_.has_value();
  const bool in_doubt = in_doubt_ && claimed_;
  wanted_.reset();
  claimed_ = false;
  op_.clear();
  in_doubt_ = false;
  if (!had_write) {
    return std::nullopt;
  }
  if (in_doubt) {
    return Error{ResultCode::kPlatformOutcomeUnknown, key_,
                 "the answer to the last write never came"};
  }
  return Error{ResultCode::kLeaseLost, key_, "the lease is held no more"};
}

}  // namespace gcw::lease
