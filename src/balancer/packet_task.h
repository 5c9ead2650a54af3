#ifndef GCW_BALANCER_PACKET_TASK_H_
#define GCW_BALANCER_PACKET_TASK_H_

#include <memory>

#include "gcw/auth/signer.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/task.h"
#include "src/balancer/messages.h"
#include "src/balancer/settings.h"

namespace gcw::balancer {

// Owns the sockets that exchange packets with the fabric, with backend servers
// and with other daemons, and drives the routing policy. Routes TCP packets of
// flows; passes UDP datagrams, which carry requests, to the dispatch task.
class PacketTask : public kernel::Task {
 public:
  // `kernel` must outlive the task.
  PacketTask(const Settings& settings,
             std::shared_ptr<auth::Signer> signer,
             kernel::Kernel& kernel);
  ~PacketTask() override;

 protected:
  Status Setup(kernel::EventLoop& loop) override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::balancer

#endif  // GCW_BALANCER_PACKET_TASK_H_
