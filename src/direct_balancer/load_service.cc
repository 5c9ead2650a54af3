#include "src/direct_balancer/load_service.h"

#include <utility>

#include "gcw/kernel/service.h"

namespace gcw::direct_balancer {
namespace {

// The load exchange uses the port this far above that of the members, whose TCP
// port the control transport uses.
constexpr std::uint16_t kPortOffset = 1;
constexpr std::size_t kMailboxCapacity = 10;
// How often the packet task is told the load of the fleet.
constexpr absl::Duration kTotalInterval = absl::Milliseconds(250);

}  // namespace

Result<std::unique_ptr<LoadService>> LoadService::Make(
    const Settings& settings,
    std::string_view secret,
    kernel::Kernel& kernel,
    kernel::EventLoop& loop,
    Metrics& metrics,
    LoadExchange::OnDelayed on_delayed,
    OnTotal on_total) {
  LoadExchange::Options options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.listen = {
      settings.packets.ip,
      static_cast<std::uint16_t>(settings.members_port + kPortOffset)};
  options.secret = secret;
  auto exchange = LoadExchange::Make(options, loop, std::move(on_delayed));
  if (!exchange.ok()) {
    return exchange.error();
  }
  std::unique_ptr<LoadService> service(new LoadService(
      std::move(exchange).value(), kernel, metrics, std::move(on_total)));
  auto mailbox = kernel::OpenService<OwnLoadMeasured>(
      kernel, loop, kLoadService, kMailboxCapacity,
      [&exchange = *service->exchange_](OwnLoadMeasured& message) {
        exchange.SetOwn(std::move(message.figures), kernel::MonotonicNow());
      });
  if (!mailbox.ok()) {
    return mailbox.error();
  }
  service->mailbox_ = std::move(mailbox).value();
  return service;
}

LoadService::LoadService(std::unique_ptr<LoadExchange> exchange,
                         kernel::Kernel& kernel,
                         Metrics& metrics,
                         OnTotal on_total)
    : exchange_(std::move(exchange)),
      kernel_(kernel),
      metrics_(metrics),
      on_total_(std::move(on_total)) {}

LoadService::~LoadService() {
  kernel_.Unregister(kLoadService);
}

void LoadService::SetMembers(std::span<const membership::Member> members,
                             absl::Time now) {
  exchange_->SetMembers(members, now);
}

void LoadService::OnTick(absl::Time now) {
  exchange_->OnTick(now);
  if (now - last_total_ < kTotalInterval) {
    return;
  }
  last_total_ = now;
  metrics_.SetLoadExchangeStats(exchange_->stats());
  if (auto total = exchange_->Total(now)) {
    on_total_({*std::move(total), now});
  }
}

}  // namespace gcw::direct_balancer
