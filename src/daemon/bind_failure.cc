#include "src/daemon/bind_failure.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "gcw/base/system_error.h"

namespace gcw::daemon {
namespace {

// The error number of binding and listening on `address`, or 0.
int TryListen(const Endpoint& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return errno;
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in raw = address.ToSockaddr();
  int error = 0;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 ||
      listen(fd, 1) != 0) {
    error = errno;
  }
  close(fd);
  return error;
}

}  // namespace

Error ExplainBindFailure(const Endpoint& address) {
  const int error = TryListen(address);
  // Whoever held the address has just released it.
  return SystemError(ResultCode::kBindFailed,
                     fmt::format("cannot bind TCP {}", ToString(address)),
                     error != 0 ? error : EADDRINUSE);
}

}  // namespace gcw::daemon
