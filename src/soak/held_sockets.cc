#include "src/soak/held_sockets.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace gcw::soak {

Result<std::unique_ptr<PortHolder>> PortHolder::Make(const Endpoint& address,
                                                     PortType type) {
  const bool tcp = type == PortType::kTcp;
  const int fd =
      socket(AF_INET, (tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_CLOEXEC, 0);
  const int on = 1;
  const sockaddr_in raw = address.ToSockaddr();
  // Connections of the previous process may still be in TIME_WAIT.
  const bool bound =
      fd >= 0 &&
      (!tcp ||
       setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0) &&
      bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0 &&
      (!tcp || listen(fd, 1) == 0);
  if (!bound) {
    if (fd >= 0) {
      close(fd);
    }
    return Error{ResultCode::kBindFailed, "",
                 fmt::format("cannot hold {}", ToString(address))};
  }
  return std::unique_ptr<PortHolder>(new PortHolder(fd));
}

PortHolder::~PortHolder() {
  close(socket_);
}

IdleConnections::IdleConnections(const Endpoint& address, std::size_t count) {
  const sockaddr_in raw = address.ToSockaddr();
  for (std::size_t i = 0; i < count; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      return;
    }
    if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
            0 &&
        errno != EINPROGRESS) {
      close(fd);
      return;
    }
    sockets_.push_back(fd);
  }
}

IdleConnections::~IdleConnections() {
  for (const int fd : sockets_) {
    close(fd);
  }
}

}  // namespace gcw::soak
