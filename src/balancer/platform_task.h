#ifndef GCW_BALANCER_PLATFORM_TASK_H_
#define GCW_BALANCER_PLATFORM_TASK_H_

#include <memory>

#include "gcw/kernel/kernel.h"
#include "src/balancer/messages.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Makes the calls to the platform that the cluster task asks for, on a thread
// of its own, since the calls block. Not thread-safe.
class PlatformTask {
 public:
  // `kernel` must outlive the task.
  PlatformTask(const Settings& settings, kernel::Kernel& kernel);
  // Aborts a call in progress and waits for the thread.
  ~PlatformTask();
  PlatformTask(const PlatformTask&) = delete;
  PlatformTask& operator=(const PlatformTask&) = delete;

  // Starts the thread and registers the service. Fails with kInternal.
  Status Start();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_PLATFORM_TASK_H_
