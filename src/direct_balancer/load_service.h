#ifndef GCW_DIRECT_BALANCER_LOAD_SERVICE_H_
#define GCW_DIRECT_BALANCER_LOAD_SERVICE_H_

#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "absl/time/time.h"
#include "gcw/base/result.h"
#include "gcw/kernel/event_loop.h"
#include "gcw/kernel/kernel.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/membership/member.h"
#include "src/direct_balancer/load_exchange.h"
#include "src/direct_balancer/messages.h"
#include "src/direct_balancer/metrics.h"
#include "src/direct_balancer/settings.h"

namespace gcw::direct_balancer {

// Connects the load exchange with the packet task: receives the load of this
// daemon under kLoadService and passes on the load of the fleet. Not
// thread-safe: used on the thread of its event loop.
class LoadService {
 public:
  // Receives the load of the fleet four times a second.
  using OnTotal = std::function<void(FleetLoadSummed total)>;

  // `secret` signs the messages; `on_delayed` as for LoadExchange. Fails as
  // LoadExchange::Make and kernel::OpenService do. `kernel`, `loop` and
  // `metrics` must outlive the service.
  static Result<std::unique_ptr<LoadService>> Make(
      const Settings& settings,
      std::string_view secret,
      kernel::Kernel& kernel,
      kernel::EventLoop& loop,
      Metrics& metrics,
      LoadExchange::OnDelayed on_delayed,
      OnTotal on_total);
  ~LoadService();
  LoadService(const LoadService&) = delete;
  LoadService& operator=(const LoadService&) = delete;

  // Replaces the members of the fleet. Only live ones take part.
  void SetMembers(std::span<const membership::Member> members, absl::Time now);
  // Sends what is due to the other daemons and the packet task. Call this about
  // every 50 ms.
  void OnTick(absl::Time now);

 private:
  LoadService(std::unique_ptr<LoadExchange> exchange,
              kernel::Kernel& kernel,
              Metrics& metrics,
              OnTotal on_total);

  const std::unique_ptr<LoadExchange> exchange_;
  kernel::Kernel& kernel_;
  Metrics& metrics_;
  const OnTotal on_total_;
  std::shared_ptr<kernel::Mailbox<OwnLoadMeasured>> mailbox_;
  absl::Time last_total_ = absl::InfinitePast();
};

}  // namespace gcw::direct_balancer

#endif  // GCW_DIRECT_BALANCER_LOAD_SERVICE_H_
