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

// Opens the mailbox of a task, serves it on `loop` and makes it known as
// `name`. Fails with kInternal. Belongs to the thread of `loop`. Preconditions:
// capacity > 0, and both `kernel` and `loop` outlive the mailbox's use.
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
  const Status attached = mailbox.value()->Attach(loop, std::move(handler));
  if (!attached.ok()) {
    return attached.error();
  }
  const Status known = kernel.Register<T>(name, mailbox.value());
  if (!known.ok()) {
    return known.error();
  }
  return mailbox;
}

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_SERVICE_H_
