#include "src/direct_balancer/state_task.h"

#include <catch2/catch.hpp>

#include "absl/synchronization/notification.h"
#include "gcw/base/event_log.h"
#include "src/direct_balancer/messages.h"
#include "tests/direct_balancer/daemon_fixture.h"

namespace gcw::direct_balancer {
namespace {

// Longer than the pause after the first failed call to the platform.
constexpr absl::Duration kRetryDue = absl::Milliseconds(400);

// Stands in for the packet task. The first report of a failed call blocks the
// thread that sends it until Release() is called.
class BlockingSink : public kernel::Sink<PacketMessage> {
 public:
  bool Send(PacketMessage message) override {
    if (std::holds_alternative<FeedFailed>(message) &&
        !blocked_.HasBeenNotified()) {
      blocked_.Notify();
      released_.WaitForNotification();
    }
    return true;
  }

  void WaitUntilBlocked() { blocked_.WaitForNotification(); }
  void Release() { released_.Notify(); }

 private:
  absl::Notification blocked_;
  absl::Notification released_;
};

// The state thread may be in the middle of its work when the daemon ends. It
// called a platform caller that was already destroyed, and the daemon crashed
// at the end of a graceful shutdown.
TEST_CASE("a state task that ends can still call the platform") {
  DaemonFixture fixture;
  fixture.platform->SetOutage(fake_platform::Outage::kRefusing);
  auto log = EventLog::Make({.level = LogLevel::kError});
  REQUIRE(log.ok());
  EventWriter writer(*log.value());
  Metrics metrics;
  kernel::Kernel kernel;
  const auto sink = std::make_shared<BlockingSink>();
  REQUIRE(kernel.Register<PacketMessage>(kPacketService, sink).ok());
  auto task = std::make_unique<StateTask>(fixture.SettingsOf(0), 1, kernel,
                                          writer, metrics);
  REQUIRE(task->Start().ok());
  sink->WaitUntilBlocked();
  std::thread end([&] { task.reset(); });
  absl::SleepFor(kRetryDue);
  sink->Release();
  end.join();
  CHECK(task == nullptr);
}

}  // namespace
}  // namespace gcw::direct_balancer
