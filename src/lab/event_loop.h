#ifndef SRC_LAB_EVENT_LOOP_H_
#define SRC_LAB_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "gcw/base/result.h"
#include "src/lab/scheduler.h"

namespace gcw::lab {

// An event loop over sockets (by epoll) and timers. Not thread-safe: use it
// only on the thread that runs it.
class EventLoop : public Scheduler {
 public:
  using FdHandler = std::function<void(std::uint32_t events)>;

  // Fails with kInternal when the kernel gives no epoll descriptor.
  static Result<std::unique_ptr<EventLoop>> Make();
  ~EventLoop() override;

  // The time at which the handlers of the current round began to run, so that
  // all of them see the same time.
  absl::Time now() const override;
  void At(absl::Time when, std::function<void()> action) override;

  // Calls `handler` with the epoll events of `fd`. Precondition: `fd` is open
  // and not yet watched.
  void Watch(int fd, std::uint32_t events, FdHandler handler);
  // Replaces the epoll events that `fd` is watched for. Precondition: `fd` is
  // watched.
  void SetWatchedEvents(int fd, std::uint32_t events);
  // Stops watching `fd`. Call this before `fd` is closed.
  void Unwatch(int fd);
  // Runs `action` at the end of the current round. Used to send the datagrams
  // of one round in batches.
  void Defer(std::function<void()> action);

  // Runs handlers and timers until `deadline` or Stop().
  void RunUntil(absl::Time deadline);
  // Makes RunUntil() return at the end of the current round.
  void Stop();

 private:
  class Impl;
  explicit EventLoop(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::lab

#endif  // SRC_LAB_EVENT_LOOP_H_
