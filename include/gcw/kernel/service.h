#ifndef GCW_KERNEL_SERVICE_H_
#define GCW_KERNEL_SERVICE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/mailbox.h"

namespace gcw::kernel {

// Makes a mailbox for up to `capacity` messages, calls `handler` for each
// message on the thread of `loop`, and registers the mailbox in `kernel` under
// `name`. Fails with kInternal if `name` is already registered or the process
// is out of file descriptors. Must be called on the thread of `loop` or before
// `loop` runs. Preconditions: capacity > 0; `kernel` and `loop` exist for as
// long as the returned mailbox is used.
template <typename T>
Result<std::shared_ptr<Mailbox<T>>> OpenService(
    Kernel& kernel,
    EventLoop& loop,
    std::string_view name,
    std::size_t capacity,
    std::function<void(T&)> handler) {
  auto mailbox = Mailbox<T>::Make(capacity);
  if (!mailbox.ok()) {
    return mailbox.error();
  }
  const Status attach_status =
      mailbox.value()->Attach(loop, std::move(handler));
  if (!attach_status.ok()) {
    return attach_status.error();
  }
  const Status register_status = kernel.Register<T>(name, mailbox.value());
  if (!register_status.ok()) {
    return register_status.error();
  }
  return mailbox;
}

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_SERVICE_H_
