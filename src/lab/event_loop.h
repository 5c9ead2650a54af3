#ifndef SRC_LAB_EVENT_LOOP_H_
#define SRC_LAB_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "gcw/base/result.h"
#include "src/lab/scheduler.h"

namespace gcw::lab {

// One thread's sockets and timers: epoll and a timer queue. Belongs to the
// thread that runs it.
class EventLoop : public Scheduler {
 public:
  using FdHandler = std::function<void(std::uint32_t events)>;

  // Fails with kInternal when the kernel gives no epoll descriptor.
  static Result<std::unique_ptr<EventLoop>> Make();
  ~EventLoop() override;

  // The time at which the current round of events began.
  absl::Time now() const override;
  void At(absl::Time when, std::function<void()> action) override;

  // Calls `handler` with the epoll events of `fd`. Precondition: `fd` is open
  // and not yet watched.
  void Watch(int fd, std::uint32_t events, FdHandler handler);
  // Precondition: `fd` is watched.
  void Rewatch(int fd, std::uint32_t events);
  // Forgets `fd`; call it before closing.
  void Unwatch(int fd);
  // Runs `action` at the end of the current round, so that writes go out in
  // batches.
  void Defer(std::function<void()> action);

  // Serves events until `deadline` or Stop().
  void RunUntil(absl::Time deadline);
  void Stop();

 private:
  class Impl;
  explicit EventLoop(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_LOOP_H_
