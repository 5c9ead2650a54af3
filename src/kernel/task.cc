#include "gcw/kernel/task.h"

#include <pthread.h>
#include <time.h>

#include <cassert>
#include <utility>

#include "gcw/base/thread.h"

namespace gcw::kernel {

Task::Task(std::string name) : name_(std::move(name)) {}

Task::~Task() {
  assert(!thread_.joinable());
}

Status Task::Start() {
  assert(!loop_);
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Make();
  if (!loop.ok()) {
    return loop.error();
  }
  loop_ = std::move(loop).value();
  Status setup_status = Setup(*loop_);
  if (!setup_status.ok()) {
    return setup_status;
  }
  Result<std::thread> thread = StartThread([this] { loop_->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  thread_ = std::move(thread).value();
  pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
  return OkStatus();
}

absl::Duration Task::cpu_time() const {
  clockid_t clock{};
  timespec used{};
  // native_handle() is not const, although it does not modify the thread.
  const auto handle = const_cast<std::thread&>(thread_).native_handle();
  if (pthread_getcpuclockid(handle, &clock) != 0 ||
      clock_gettime(clock, &used) != 0) {
    return absl::ZeroDuration();
  }
  return absl::DurationFromTimespec(used);
}

void Task::Stop() {
  if (thread_.joinable()) {
    loop_->Stop();
    thread_.join();
  }
}

}  // namespace gcw::kernel
