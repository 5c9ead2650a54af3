#ifndef GCW_KERNEL_EVENT_LOOP_H_
#define GCW_KERNEL_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "gcw/base/result.h"

namespace gcw::kernel {

// Waits for file descriptors and timers and calls their handlers on the thread
// that runs the loop. Only Stop() may be called from other threads.
class EventLoop {
 public:
  using Handler = std::function<void()>;

  // Fails with kInternal if the process is out of file descriptors.
  static Result<std::unique_ptr<EventLoop>> Make();

  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls `handler` repeatedly while `fd` is readable (level-triggered). The
  // caller keeps ownership of `fd` and calls Unwatch before closing it. Fails
  // with kInternal if epoll rejects `fd`. Not thread-safe.
  Status WatchReadable(int fd, Handler handler);

  // Calls `handler` repeatedly while `fd` is writable or has an error. Reports
  // the end of a pending connect() this way, whether it succeeded or failed.
  // Otherwise like WatchReadable. A file descriptor can be watched either for
  // reading or for writing, not for both. Not thread-safe.
  Status WatchWritable(int fd, Handler handler);

  // Stops watching `fd`; does nothing if `fd` is not watched. Not thread-safe.
  void Unwatch(int fd);

  // Calls `handler` every `period`, first after one period. After a delay of
  // several periods, `handler` is called at most twice in a row; the other
  // missed calls are skipped. Precondition: period > 0. Not thread-safe.
  void AddTimer(absl::Duration period, Handler handler);

  // Calls handlers until Stop(). Not thread-safe.
  void Run();

  // Makes Run() return after the current handler. Thread-safe.
  void Stop();

 private:
  class Impl;
  explicit EventLoop(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

// A monotonic clock that also advances while the machine is suspended. Changes
// of the system time do not affect it. Only differences between two readings
// are meaningful. Thread-safe.
absl::Time MonotonicNow();

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_EVENT_LOOP_H_
