#ifndef GCW_BALANCER_STATUS_WRITER_TASK_H_
#define GCW_BALANCER_STATUS_WRITER_TASK_H_

#include <memory>

#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/balancer/messages.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Collects the status of an availability zone and writes it to the platform
// under a lease. Every daemon sends reports to the two candidates of its zone
// (see StatusWriterCandidates); the candidate that holds the lease writes the
// status. Candidates also read the platform's list of VMs.
class StatusWriterTask : public kernel::Task {
 public:
  // `kernel` must outlive the task. `seed` seeds all random choices.
  StatusWriterTask(const Settings& settings,
                   std::uint64_t seed,
                   kernel::Kernel& kernel);
  ~StatusWriterTask() override;

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_STATUS_WRITER_TASK_H_
