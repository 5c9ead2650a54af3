#ifndef GCW_BALANCER_TELL_H_
#define GCW_BALANCER_TELL_H_

#include <string_view>
#include <utility>

#include "gcw/base/log.h"
#include "gcw/kernel/kernel.h"

namespace gcw::balancer {

// Sends `message` as a T to the service of that name. A service that is absent
// or takes no more gets a line in `log`; the message is lost. Thread-safe.
template <typename T, typename M>
void Tell(kernel::Kernel& kernel,
          const Logger& log,
          std::string_view service,
          M message) {
  const auto sink = kernel.Find<T>(service);
  if (!sink.ok() || !sink.value()->Send(T(std::move(message)))) {
    log.Warning("service {} does not take messages", service);
  }
}

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_TELL_H_
