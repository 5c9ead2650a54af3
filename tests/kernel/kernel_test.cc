#include "gcw/kernel/kernel.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "gcw/kernel/task.h"
#include "gcw/kernel/udp_socket.h"

namespace gcw::kernel {
namespace {

struct Add {
  int value;
};
struct Finish {};
using SumMessage = std::variant<Add, Finish>;

// Adds the numbers sent to its service "sum" until a Finish message arrives.
class SumTask : public Task {
 public:
  explicit SumTask(Kernel& kernel) : Task("sum"), kernel_(kernel) {}
  ~SumTask() override { Stop(); }

  int WaitForSum() {
    finished_.WaitForNotification();
    return sum_;
  }

 protected:
  Status Setup(EventLoop& loop) override {
    auto mailbox = Mailbox<SumMessage>::Make(1000);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = mailbox.value();
    const Status attach_status =
        mailbox_->Attach(loop, [this](SumMessage& m) { OnMessage(m); });
    if (!attach_status.ok()) {
      return attach_status;
    }
    return kernel_.Register<SumMessage>("sum", mailbox_);
  }

 private:
  void OnMessage(const SumMessage& message) {
    if (const auto* add = std::get_if<Add>(&message)) {
      sum_ += add->value;
      return;
    }
    finished_.Notify();
  }

  Kernel& kernel_;
  std::shared_ptr<Mailbox<SumMessage>> mailbox_;
  int sum_ = 0;
  absl::Notification finished_;
};

TEST_CASE("a task looked up by name receives all messages in order") {
  Kernel kernel;
  SumTask task(kernel);
  REQUIRE(task.Start().ok());
  const auto sink = kernel.Find<SumMessage>("sum");
  REQUIRE(sink.ok());
  for (int i = 1; i <= 100; ++i) {
    CHECK(sink.value()->Send(Add{i}));
  }
  CHECK(sink.value()->Send(Finish{}));
  CHECK(task.WaitForSum() == 5050);
}

TEST_CASE("service names are unique, typed and can be unregistered") {
  Kernel kernel;
  auto mailbox = Mailbox<int>::Make(1);
  REQUIRE(mailbox.ok());
  const std::shared_ptr<Sink<int>> sink = mailbox.value();
  REQUIRE(kernel.Register<int>("a", sink).ok());
  CHECK_FALSE(kernel.Register<int>("a", sink).ok());
  CHECK(kernel.Find<SumMessage>("a").error().code == ResultCode::kInternal);
  CHECK(kernel.Find<int>("b").error().code == ResultCode::kNotFound);
  kernel.Unregister("a");
  CHECK(kernel.Find<int>("a").error().code == ResultCode::kNotFound);
}

TEST_CASE("a full mailbox rejects further messages") {
  auto mailbox = Mailbox<int>::Make(2);
  REQUIRE(mailbox.ok());
  CHECK(mailbox.value()->Send(1));
  CHECK(mailbox.value()->Send(2));
  CHECK_FALSE(mailbox.value()->Send(3));
}

TEST_CASE("datagrams of several batches keep order, content and sender") {
  const Endpoint a{0x7f4d0001, 9123};
  const Endpoint b{0x7f4d0001, 9124};
  auto sender = UdpSocket::Make(a);
  auto receiver = UdpSocket::Make(b);
  REQUIRE(sender.ok());
  REQUIRE(receiver.ok());
  constexpr std::uint8_t kCount = 100;
  const std::vector<std::uint8_t> head{7};
  for (std::uint8_t i = 0; i < kCount; ++i) {
    const std::vector<std::uint8_t> body{i};
    sender.value()->Queue(b, head, body);
  }
  sender.value()->Flush();
  std::uint8_t next = 0;
  const auto check = [&](const Endpoint& from,
                         std::span<const std::uint8_t> datagram) {
    CHECK(from == a);
    REQUIRE(datagram.size() == 2);
    CHECK(datagram[0] == 7);
    CHECK(datagram[1] == next);
    ++next;
  };
  while (receiver.value()->Receive(check) > 0) {
  }
  CHECK(next == kCount);
  CHECK(sender.value()->datagrams_sent() == kCount);
  const std::vector<std::uint8_t> oversized(UdpSocket::kMaxDatagram + 1);
  sender.value()->Queue(b, oversized);
  CHECK(sender.value()->datagrams_dropped() == 1);
}

// After a handler or the whole process was paused, a timer that is late made up
// for the lost time with a second call at once.
TEST_CASE("a late timer runs once, and then again after its period") {
  constexpr absl::Duration kPeriod = absl::Milliseconds(100);
  auto loop = EventLoop::Make();
  REQUIRE(loop.ok());
  std::vector<absl::Time> calls;
  loop.value()->AddTimer(kPeriod, [&] {
    calls.push_back(MonotonicNow());
    if (calls.size() == 1) {
      absl::SleepFor(3 * kPeriod);
    }
    if (calls.size() == 3) {
      loop.value()->Stop();
    }
  });
  loop.value()->Run();
  REQUIRE(calls.size() == 3);
  CHECK(calls[2] - calls[1] >= kPeriod);
}

TEST_CASE("binding an address in use fails and names the address") {
  const Endpoint a{0x7f4d0001, 9125};
  const auto first = UdpSocket::Make(a);
  REQUIRE(first.ok());
  const auto second = UdpSocket::Make(a);
  REQUIRE_FALSE(second.ok());
  CHECK(second.error().code == ResultCode::kBindFailed);
  CHECK(second.error().message.find("127.77.0.1:9125") != std::string::npos);
  CHECK(second.error().retry == Retry::kAlways);
}

// A task that was out of file descriptors reported a fault that stays.
TEST_CASE("a lack of file descriptors passes") {
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlimit none{0, limit.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  const auto loop = EventLoop::Make();
  const auto wake = WakeFd::Make();
  const auto socket = UdpSocket::Make({0x7f4d0001, 9126});
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  REQUIRE_FALSE(loop.ok());
  CHECK(loop.error().retry == Retry::kAlways);
  REQUIRE_FALSE(wake.ok());
  CHECK(wake.error().retry == Retry::kAlways);
  REQUIRE_FALSE(socket.ok());
  CHECK(socket.error().retry == Retry::kAlways);
}

}  // namespace
}  // namespace gcw::kernel
