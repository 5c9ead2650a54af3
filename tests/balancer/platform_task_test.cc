#include "src/balancer/platform_task.h"

#include <catch2/catch.hpp>

#include "absl/synchronization/mutex.h"
#include "src/fake_platform/fake_platform.h"

namespace gcw::balancer {
namespace {

constexpr Endpoint kPlatform{0x7f500002, 8080};  // 127.80.0.2
constexpr std::uint32_t kDaemonIp = 0x7f500101;

// Receives the outcomes of platform calls in place of the cluster task and
// keeps the id of the last call that was answered and of the last that failed.
class AnswerSink : public kernel::Sink<ClusterMessage> {
 public:
  bool Send(ClusterMessage message) override {
    absl::MutexLock lock(&mutex_);
    if (const auto* listed = std::get_if<PlatformListed>(&message)) {
      listed_ = listed->id;
    }
    if (const auto* failed = std::get_if<PlatformFailed>(&message)) {
      failed_ = failed->id;
    }
    return true;
  }

  bool WaitForList(std::uint64_t id, absl::Duration timeout) {
    absl::MutexLock lock(&mutex_);
    const auto is_listed = [&]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
      return listed_ == id;
    };
    return mutex_.AwaitWithTimeout(absl::Condition(&is_listed), timeout);
  }

  std::uint64_t failed() {
    absl::MutexLock lock(&mutex_);
    return failed_;
  }

 private:
  absl::Mutex mutex_;
  std::uint64_t listed_ ABSL_GUARDED_BY(mutex_) = 0;
  std::uint64_t failed_ ABSL_GUARDED_BY(mutex_) = 0;
};

// A platform that accepts a call and does not answer would block the task's
// thread until the call times out. The next call must abort the first one.
TEST_CASE("a new call aborts one that the platform does not answer") {
  fake_platform::FakePlatformOptions options;
  options.listen = kPlatform;
  auto platform = fake_platform::FakePlatform::Make(options);
  REQUIRE(platform.ok());
  platform.value()->SetOutage(fake_platform::Outage::kSilent);

  kernel::Kernel kernel;
  const auto answers = std::make_shared<AnswerSink>();
  REQUIRE(kernel.Register<ClusterMessage>(kClusterService, answers).ok());
  Settings settings;
  settings.bind = kDaemonIp;
  settings.platform = kPlatform;
  PlatformTask task(settings, kernel);
  REQUIRE(task.Start().ok());
  const auto calls = kernel.Find<PlatformMessage>(kPlatformService);
  REQUIRE(calls.ok());

  relay::PlatformCall call;
  call.id = 1;
  calls.value()->Send(call);
  CHECK_FALSE(answers->WaitForList(1, absl::Milliseconds(300)));
  platform.value()->SetOutage(fake_platform::Outage::kNone);
  call.id = 2;
  calls.value()->Send(call);
  // If call 1 were not aborted, it would block the task for 3 s.
  CHECK(answers->WaitForList(2, absl::Seconds(2)));
  CHECK(answers->failed() == 1);
}

}  // namespace
}  // namespace gcw::balancer
