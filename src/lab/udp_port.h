#ifndef SRC_LAB_UDP_PORT_H_
#define SRC_LAB_UDP_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/base/result.h"
#include "src/lab/event_loop.h"

namespace gcw::lab {

using Bytes = std::vector<std::uint8_t>;

// A bound UDP socket that reads and writes in batches. Not thread-safe: use it
// only on the thread of its event loop. The event loop must outlive the port.
class UdpPort {
 public:
  using Handler =
      std::function<void(std::span<const std::uint8_t>, const Endpoint& from)>;

  // Binds `bind` and calls `handler` with each datagram and its sender. Fails
  // with kBindFailed.
  static Result<std::unique_ptr<UdpPort>> Make(EventLoop& loop,
                                               const Endpoint& bind,
                                               Handler handler);
  ~UdpPort();

  // Queues `payload` to be sent at the end of the loop's current round. A
  // datagram that the kernel rejects is lost, as on a real network.
  void Send(Bytes payload, const Endpoint& to);

 private:
  class Impl;
  explicit UdpPort(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_UDP_PORT_H_
