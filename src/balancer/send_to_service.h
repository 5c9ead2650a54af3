#ifndef GCW_BALANCER_SEND_TO_SERVICE_H_
#define GCW_BALANCER_SEND_TO_SERVICE_H_

#include <string_view>
#include <utility>

#include "gcw/base/log.h"
#include "gcw/kernel/kernel.h"

namespace gcw::balancer {

// Sends `message`, converted to the service's message type T, to the service
// that is registered as `service`. If there is no such service or its mailbox
// is full, the message is lost and a warning is logged. Thread-safe.
template <typename T, typename M>
void SendToService(kernel::Kernel& kernel,
                   const Logger& log,
                   std::string_view service,
                   M message) {
  const auto sink = kernel.Find<T>(service);
  if (!sink.ok() || !sink.value()->Send(T(std::move(message)))) {
    log.Warning("message to service {} dropped: not registered or full",
                service);
  }
}

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_SEND_TO_SERVICE_H_
