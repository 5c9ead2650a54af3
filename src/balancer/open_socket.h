#ifndef GCW_BALANCER_OPEN_SOCKET_H_
#define GCW_BALANCER_OPEN_SOCKET_H_

#include <functional>
#include <memory>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/udp_socket.h"

namespace gcw::balancer {

// Opens a UDP socket at `address` and stores it in `target`, which must outlive
// the watch on `loop`. The loop calls `on_readable` with the socket while
// datagrams wait. Fails with kBindFailed if the address cannot be bound, and
// with kInternal if the loop cannot watch the socket. Not thread-safe.
Status OpenSocket(kernel::EventLoop& loop,
                  const Endpoint& address,
                  std::function<void(kernel::UdpSocket&)> on_readable,
                  std::unique_ptr<kernel::UdpSocket>& target);

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_OPEN_SOCKET_H_
