#ifndef GCW_KERNEL_TASK_H_
#define GCW_KERNEL_TASK_H_

#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "gcw/kernel/event_loop.h"

namespace gcw::kernel {

// A thread that runs its own event loop. A subclass owns its sockets and state.
// Only its thread accesses them; other tasks communicate with it by messages.
class Task {
 public:
  // `name` appears in logs and as the name of the thread. The operating system
  // limits thread names to 15 characters; a longer name is cut there.
  explicit Task(std::string name);
  // Precondition: the task is stopped or was never started. The destructor of
  // each subclass must call Stop() first, since the thread uses the state of
  // the subclass.
  virtual ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  std::string_view name() const { return name_; }

  // Runs Setup on the calling thread, then starts the task's thread, which runs
  // the event loop. Returns the error of Setup if it fails, or kInternal if the
  // process is out of file descriptors or the thread cannot be started.
  // Precondition: Start was not called before. Not thread-safe.
  Status Start();

  // The CPU time that the task's thread has used so far, or zero if the
  // operating system does not report it. Precondition: the task is started and
  // not stopped. Thread-safe.
  absl::Duration cpu_time() const;

  // Stops the event loop and joins the thread. Does nothing if the task is not
  // running. Not thread-safe; must not be called on the task's own thread.
  void Stop();

 protected:
  // Opens the task's sockets and adds its handlers to `loop`. Called once by
  // Start, before the task's thread exists.
  virtual Status Setup(EventLoop& loop) = 0;

 private:
  const std::string name_;
  std::unique_ptr<EventLoop> loop_;
  std::thread thread_;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_TASK_H_
