#ifndef GCW_BALANCER_DISPATCH_TASK_H_
#define GCW_BALANCER_DISPATCH_TASK_H_

#include <memory>

#include "gcw/auth/signer.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/balancer/messages.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Owns the sockets for requests to backend servers and between daemons, and
// drives the dispatcher, which assigns each request to a backend server.
class DispatchTask : public kernel::Task {
 public:
  // `kernel` must outlive the task. `seed` seeds all random choices.
  DispatchTask(const Settings& settings,
               std::shared_ptr<auth::Signer> signer,
               std::uint64_t seed,
               kernel::Kernel& kernel);
  ~DispatchTask() override;

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_DISPATCH_TASK_H_
