#ifndef GCW_DIRECT_BALANCER_STATE_TASK_H_
#define GCW_DIRECT_BALANCER_STATE_TASK_H_

#include <memory>
#include <vector>

#include "gcw/base/endpoint.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/direct_balancer/event_writer.h"
#include "src/direct_balancer/metrics.h"
#include "src/direct_balancer/settings.h"

namespace gcw::direct_balancer {

// Keeps the state that packets are routed by: the configuration, the backend
// servers and the zones that operators have taken out of service. A few daemons
// of the fleet read this state from the platform, and all daemons relay it to
// each other. Sends changes to the packet task. Also runs the membership of
// this daemon in the fleet.
class StateTask : public kernel::Task {
 public:
  // `kernel`, `log` and `metrics` must outlive the task. `seed` is that of
  // random choices. The packet task must have registered its mailbox with
  // `kernel` before this task starts.
  StateTask(const Settings& settings,
            std::uint64_t seed,
            kernel::Kernel& kernel,
            EventWriter& log,
            Metrics& metrics);
  ~StateTask() override;

  // Contacts the daemons at `seeds`, too, to find the fleet. Replaces the seeds
  // of the last call. Thread-safe.
  void SetSeeds(std::vector<Endpoint> seeds);

  // Tells the other daemons that this daemon leaves the fleet. Blocks for
  // 50 ms, so that the message can be sent. Thread-safe.
  void Leave();

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_STATE_TASK_H_
