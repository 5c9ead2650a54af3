#ifndef GCW_KERNEL_TASK_H_
#define GCW_KERNEL_TASK_H_

#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "gcw/kernel/event_loop.h"

namespace gcw::kernel {

// A thread with an event loop of its own. A concrete task owns its sockets and
// its state, which only its thread touches, and talks with others by messages.
class Task {
 public:
  // `name` appears in the thread list and in logs; at most 15 characters.
  explicit Task(std::string name);
  // Precondition: stopped, or never started. Concrete tasks call Stop() first
  // thing in their destructor, since the thread uses their state.
  virtual ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  std::string_view name() const { return name_; }

  // Runs Setup on the calling thread, then serves on a thread of its own.
  // Fails with what Setup fails with. Precondition: not started before.
  // Not thread-safe.
  Status Start();

  // Processor time that the task's thread has used so far. Precondition:
  // started and not stopped. Thread-safe.
  absl::Duration cpu_time() const;

  // Ends the loop and waits for the thread. May be called again. Not
  // thread-safe; not from the task's own thread.
  void Stop();

 protected:
  // Opens sockets and attaches handlers to `loop`.
  virtual Status Setup(EventLoop& loop) = 0;

 private:
  const std::string name_;
  std::unique_ptr<EventLoop> loop_;
  std::thread thread_;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_TASK_H_
