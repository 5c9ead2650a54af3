#ifndef GCW_BASE_RESULT_H_
#define GCW_BASE_RESULT_H_

#include <cassert>
#include <string>
#include <utility>
#include <variant>

#include "gcw/base/result_code.h"

namespace gcw {

// Why an operation failed: its code, the path of the field at fault (may be
// empty) and a sentence for people.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string field;
  std::string message;

  bool operator==(const Error&) const = default;
};

// One line for a log or a terminal: number, name, field and message.
// Thread-safe.
std::string ToString(const Error& error);

// The value of an operation that succeeded, or why it failed.
// Not thread-safe; values of this type belong to one thread.
template <typename T>
class [[nodiscard]] Result {
 public:
  // A return statement names either a value or an error.
  // NOLINTBEGIN(google-explicit-constructor)
  Result(T value) : state_(std::move(value)) {}
  Result(Error error) : state_(std::move(error)) {}
  // NOLINTEND(google-explicit-constructor)

  bool ok() const { return std::holds_alternative<T>(state_); }

  // Precondition: ok().
  const T& value() const& {
    assert(ok());
    return std::get<T>(state_);
  }
  // Precondition: ok().
  T& value() & {
    assert(ok());
    return std::get<T>(state_);
  }
  // Precondition: ok().
  T&& value() && {
    assert(ok());
    return std::get<T>(std::move(state_));
  }

  // Precondition: !ok().
  const Error& error() const {
    assert(!ok());
    return std::get<Error>(state_);
  }

 private:
  std::variant<T, Error> state_;
};

// The outcome of an operation without a value.
using Status = Result<std::monostate>;

// The successful Status.
inline Status OkStatus() {
  return Status(std::monostate{});
}

}  // namespace gcw

#endif  // GCW_BASE_RESULT_H_
