#include "src/balancer/open_socket.h"

#include <utility>

namespace gcw::balancer {

Status OpenSocket(kernel::EventLoop& loop,
                  const Endpoint& address,
                  std::function<void(kernel::UdpSocket&)> on_readable,
                  std::unique_ptr<kernel::UdpSocket>& target) {
  auto socket = kernel::UdpSocket::Make(address);
  if (!socket.ok()) {
    return socket.error();
  }
  target = std::move(socket).value();
  kernel::UdpSocket* opened = target.get();
  return loop.WatchReadable(
      opened->fd(),
      [opened, handler = std::move(on_readable)] { handler(*opened); });
}

}  // namespace gcw::balancer
