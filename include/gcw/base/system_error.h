#ifndef GCW_BASE_SYSTEM_ERROR_H_
#define GCW_BASE_SYSTEM_ERROR_H_

#include <string_view>

#include "gcw/base/result.h"

namespace gcw {

// Whether a system call that failed with `error_number` (a value of errno) may
// succeed later. Thread-safe.
Retry RetryOf(int error_number);

// The error of a system call: "WHAT: text of the error number", with `code` and
// RetryOf(error_number). Thread-safe.
Error SystemError(ResultCode code, std::string_view what, int error_number);

}  // namespace gcw

#endif  // GCW_BASE_SYSTEM_ERROR_H_
