#include "gcw/base/system_error.h"

#include <fmt/format.h>

#include <cerrno>
#include <system_error>

namespace gcw {

Retry RetryOf(int error_number) {
  switch (error_number) {
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:
      return Retry::kAlways;
    case EADDRNOTAVAIL:
      return Retry::kBriefly;
    default:
      return Retry::kNever;
  }
}

Error SystemError(ResultCode code, std::string_view what, int error_number) {
  return {code, "",
          fmt::format("{}: {}", what,
                      std::generic_category().message(error_number)),
          RetryOf(error_number)};
}

}  // namespace gcw
