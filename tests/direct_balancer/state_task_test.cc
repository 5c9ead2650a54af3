#include "src/direct_balancer/state_task.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
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

// Stands in for the packet task. Counts the confirmations by the platform and
// the reports of failed calls for the configuration.
class CountingSink : public kernel::Sink<PacketMessage> {
 public:
  bool Send(PacketMessage message) override {
    if (const auto* read = std::get_if<ConfigurationRead>(&message)) {
      configuration = read->configuration.version;
    }
    if (const auto* confirmed = std::get_if<FeedConfirmed>(&message)) {
      confirmations += confirmed->by_platform &&
                       confirmed->feed == direct::Feed::kConfiguration;
    }
    failures += std::holds_alternative<FeedFailed>(message);
    return true;
  }

  std::atomic<std::uint64_t> configuration = 0;  // The latest version.
  std::atomic<int> confirmations = 0;
  std::atomic<int> failures = 0;
};

// The number of lines of `file` that contain `text`.
int CountLines(std::FILE& file, std::string_view text) {
  std::rewind(&file);
  std::array<char, 4096> line{};
  int count = 0;
  while (std::fgets(line.data(), line.size(), &file) != nullptr) {
    count += std::string_view(line.data()).find(text) != std::string_view::npos;
  }
  return count;
}

// An answer that is older than the state says nothing about its age. Servers
// counted as gone because such answers confirmed that their entries were
// missing.
TEST_CASE("a stale answer of the platform does not confirm the state") {
  DaemonFixture fixture;
  auto log = EventLog::Make({.level = LogLevel::kError});
  REQUIRE(log.ok());
  EventWriter writer(*log.value());
  Metrics metrics;
  kernel::Kernel kernel;
  const auto sink = std::make_shared<CountingSink>();
  REQUIRE(kernel.Register<PacketMessage>(kPacketService, sink).ok());
  StateTask task(fixture.SettingsOf(0), 1, kernel, writer, metrics);
  REQUIRE(task.Start().ok());
  const auto has_configuration = [&](std::uint64_t version) {
    const absl::Time deadline = absl::Now() + kTimeout;
    while (sink->configuration != version && absl::Now() < deadline) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    return sink->configuration == version;
  };
  REQUIRE(has_configuration(1));
  fixture.platform->SaveStaleState();
  REQUIRE(
      fixture.platform
          ->Put("config/main", R"({"version":2,"routes":[],"services":[]})", 1)
          .ok());
  REQUIRE(has_configuration(2));
  absl::SleepFor(absl::Milliseconds(300));
  // The next watch fails, and the list that follows has the stale state.
  fixture.platform->SetStaleReads(1);
  sink->confirmations = 0;
  REQUIRE(fixture.platform->Put("other/object", "1", 0).ok());
  fixture.platform->Compact();
  absl::SleepFor(absl::Milliseconds(700));
  CHECK(sink->confirmations == 0);
  CHECK(sink->configuration == 2);
  // A platform that answers, if only that its events are gone, is not lost.
  CHECK(sink->failures == 0);
}

// A feed without objects keeps its revision when the store is restored. Each of
// the store's answers for it then read like another restore in the log.
TEST_CASE("a restore of the store is logged once for each feed") {
  DaemonFixture fixture;
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(),
                                                             std::fclose);
  REQUIRE(file != nullptr);
  auto log = EventLog::Make({.descriptor = fileno(file.get())});
  REQUIRE(log.ok());
  EventWriter writer(*log.value());
  Metrics metrics;
  kernel::Kernel kernel;
  const auto sink = std::make_shared<CountingSink>();
  REQUIRE(kernel.Register<PacketMessage>(kPacketService, sink).ok());
  StateTask task(fixture.SettingsOf(0), 1, kernel, writer, metrics);
  REQUIRE(task.Start().ok());
  absl::SleepFor(kRetryDue);
  fixture.platform->SaveCopy();
  fixture.platform->Restore();
  // Two watches of each feed are answered in this time.
  absl::SleepFor(absl::Seconds(6));
  log.value()->Close();
  CHECK(CountLines(*file, R"("event":"store_epoch_changed","feed":"zones")") ==
        1);
}

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

// Stands in for the packet task. Notes the kinds of the messages about servers.
class ServersSink : public kernel::Sink<PacketMessage> {
 public:
  bool Send(PacketMessage message) override {
    absl::MutexLock lock(&mutex_);
    if (std::holds_alternative<ServersListed>(message)) {
      order_ += 'L';
    }
    if (const auto* confirmed = std::get_if<FeedConfirmed>(&message)) {
      order_ += confirmed->feed == direct::Feed::kServers ? "C" : "";
    }
    if (const auto* include = std::get_if<ServersInclude>(&message)) {
      included_ = include->version;
    }
    return true;
  }

  // "L" for each list and "C" for each confirmation.
  std::string order() {
    absl::MutexLock lock(&mutex_);
    return order_;
  }
  // Waits until the list includes `version`. Returns false after `timeout`.
  bool WaitUntilIncluded(direct::Version version, absl::Duration timeout) {
    absl::MutexLock lock(&mutex_);
    const auto included = [&] { return included_ >= version; };
    return mutex_.AwaitWithTimeout(absl::Condition(&included), timeout);
  }

 private:
  absl::Mutex mutex_;
  std::string order_;
  direct::Version included_ = 0;
};

struct ServersFixture : DaemonFixture {
  ServersFixture()
      : log(EventLog::Make({.level = LogLevel::kError}).value()),
        writer(*log),
        task(SettingsOf(0), 1, kernel, writer, metrics) {
    REQUIRE(kernel.Register<PacketMessage>(kPacketService, sink).ok());
    REQUIRE(task.Start().ok());
    REQUIRE(sink->WaitUntilIncluded(1, kTimeout));
  }

  std::unique_ptr<EventLog> log;
  EventWriter writer;
  Metrics metrics;
  kernel::Kernel kernel;
  std::shared_ptr<ServersSink> sink = std::make_shared<ServersSink>();
  StateTask task;
};

// While the servers do not change, a watch of them is answered after more than
// a second.
TEST_CASE("a wanted version of the servers is read without delay") {
  ServersFixture f;
  absl::SleepFor(absl::Milliseconds(200));
  const auto written = f.platform->Put("other/object", "1", 0);
  REQUIRE(written.ok());
  CHECK_FALSE(
      f.sink->WaitUntilIncluded(written.value(), absl::Milliseconds(100)));
  const auto state =
      f.kernel.Find<ServersVersionWanted>(kServersVersionService);
  REQUIRE(state.ok());
  state.value()->Send({written.value()});
  CHECK(f.sink->WaitUntilIncluded(written.value(), absl::Milliseconds(500)));
}

// The packet task took its older state for confirmed, as long as the newer one
// was under way.
TEST_CASE("a state is confirmed after it was sent") {
  ServersFixture f;
  absl::SleepFor(absl::Milliseconds(100));
  CHECK(f.sink->order().substr(0, 2) == "LC");
}

}  // namespace
}  // namespace gcw::direct_balancer
