#include "gcw/base/thread.h"

#include <system_error>
#include <utility>

#include "gcw/base/system_error.h"

namespace gcw {

Result<std::thread> StartThread(std::function<void()> body) {
  try {
    return std::thread(std::move(body));
  } catch (const std::system_error& error) {
    return SystemError(ResultCode::kInternal, "cannot start a thread",
                       error.code().value());
  }
}

}  // namespace gcw
