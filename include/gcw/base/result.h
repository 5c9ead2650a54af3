#ifndef GCW_BASE_RESULT_H_
#define GCW_BASE_RESULT_H_

#include <cassert>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "gcw/base/result_code.h"

namespace gcw {

// Whether an operation that failed may succeed later without a change by a
// person.
enum class Retry : std::uint8_t {
  kNever,
  // The cause passes soon or not at all, such as an address that the machine
  // does not have while its network starts.
  kBriefly,
  // The cause passes, such as a port in use or a lack of file descriptors,
  // memory or threads.
  kAlways,
};

// Why an operation failed: the result code, the path of the invalid field (may
// be empty), a message for people and whether to try again.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string field;
  std::string message;
  Retry retry = Retry::kNever;

  bool operator==(const Error&) const = default;
};

// Formats `error` as one line for a log or a terminal: number and name of the
// code, field and message. Thread-safe.
std::string ToString(const Error& error);

// Holds the value of an operation that succeeded, or the Error of one that
// failed. Not thread-safe.
template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that functions can return a T or an Error directly.
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
