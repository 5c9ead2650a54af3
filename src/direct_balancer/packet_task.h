#ifndef GCW_DIRECT_BALANCER_PACKET_TASK_H_
#define GCW_DIRECT_BALANCER_PACKET_TASK_H_

#include <memory>

#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/direct_balancer/event_writer.h"
#include "src/direct_balancer/metrics.h"
#include "src/direct_balancer/settings.h"
#include "src/direct_balancer/shared_state.h"

namespace gcw::direct_balancer {

// Receives packets from the routers and forwards, resets or drops each as
// direct::DirectRouter decides. Receives routing state as PacketMessages in a
// mailbox that it registers with the kernel as kPacketService.
class PacketTask : public kernel::Task {
 public:
  // `kernel`, `log`, `shared` and `metrics` must outlive the task. `seed` is
  // that of the router's random choices.
  PacketTask(const Settings& settings,
             std::uint64_t seed,
             kernel::Kernel& kernel,
             EventWriter& log,
             SharedState& shared,
             Metrics& metrics);
  ~PacketTask() override;

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_PACKET_TASK_H_
