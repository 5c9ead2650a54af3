#ifndef GCW_BALANCER_CLUSTER_TASK_H_
#define GCW_BALANCER_CLUSTER_TASK_H_

#include <memory>

#include "gcw/auth/signer.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/balancer/messages.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Owns the membership socket and the control transport, and drives the
// membership and the versioned relay. Tells the other tasks about the members
// and the current configuration.
class ClusterTask : public kernel::Task {
 public:
  // `kernel` must outlive the task. `seed` seeds all random choices.
  ClusterTask(const Settings& settings,
              std::shared_ptr<auth::Signer> signer,
              std::uint64_t seed,
              kernel::Kernel& kernel);
  ~ClusterTask() override;

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_CLUSTER_TASK_H_
